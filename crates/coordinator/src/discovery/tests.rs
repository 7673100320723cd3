use super::endpoint_list::EndpointListPayload;
use super::{endpoint_update, ServerDirectory};
use cairnroad_types::{EndpointUpdate, ServerId, ServerState, Time};

#[test]
fn listed_servers_get_ids_in_order_of_first_listing_and_ids_are_not_reused() {
    let text = r#"{"revision":43,"complete":false,"members":[{"id":"s-b","host_port":"10.1.0.18:9000",
        "locality":"a","flavor":"m2","cell":3,"phase":"leaving","size":1.0,"up_since_ms":1500}]}"#;
    let decode = |text: &str| {
        serde_json::from_str::<EndpointListPayload>(text)
            .unwrap()
            .into_update()
    };
    let update = decode(text);
    assert_eq!(
        (update.revision, update.is_snapshot, update.entries[0].state),
        (43, false, ServerState::Draining)
    );
    assert_eq!(update.entries[0].ready_at, Some(Time(1_500_000)));
    let mut directory = ServerDirectory::default();
    let rows = directory.assign_ids(&update);
    assert_eq!(
        (rows[0].0, directory.assign_ids(&update)[0].0),
        (ServerId(0), ServerId(0))
    );
    assert!(matches!(
        endpoint_update(&rows, false, false),
        EndpointUpdate::Delta(_)
    ));
    assert!(
        directory
            .assign_ids(&decode(&text.replace("leaving", "left")))
            .len()
            == 1
            && directory.len() == 0
    );
    assert_eq!(
        directory.assign_ids(&update)[0].0,
        ServerId(1),
        "a server that returns gets a new id"
    );
}
