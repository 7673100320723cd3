use super::EndpointListPayload;
use cairnroad_types::ServerState;

/// Guards against one malformed member that makes the whole update fail.
#[test]
fn a_member_that_cannot_be_decoded_is_left_out_alone() {
    let member = |id: &str, address: &str, phase: &str| {
        format!(r#"{{"id":"{id}","host_port":"{address}","cell":1,"phase":"{phase}"}}"#)
    };
    let members = [
        member("s-a", "10.1.0.1:9000", "active"),
        member("s-b", "nowhere", "active"),
        member("s-c", "10.1.0.2:9000", "asleep"),
        "17".into(),
        r#"{"id":null}"#.into(),
        member("s-d", "10.1.0.3:9000", "leaving"),
    ];
    let text = format!(
        r#"{{"revision":7,"complete":true,"members":[{}]}}"#,
        members.join(",")
    );
    let update = serde_json::from_str::<EndpointListPayload>(&text)
        .unwrap()
        .into_update();
    let ids: Vec<&str> = update.entries.iter().map(|row| row.id.as_str()).collect();
    assert_eq!((update.revision, ids), (7, vec!["s-a", "s-c", "s-d"]));
    assert_eq!(
        update.entries[1].state,
        ServerState::Draining,
        "a server with an unknown phase drains"
    );
}
