use super::*;

/// Guards against one unreadable line that fails its page, and with it all news.
#[test]
fn a_line_that_cannot_be_read_costs_nobody_else() {
    let line = |id: &str, address: &str, phase: &str| {
        format!(r#"{{"id":"{id}","host_port":"{address}","cell":1,"phase":"{phase}"}}"#)
    };
    let odd = [
        line("s-a", "10.1.0.1:9000", "active"),
        line("s-b", "nowhere", "active"),
        line("s-c", "10.1.0.2:9000", "asleep"),
        "17".into(),
        r#"{"id":null}"#.into(),
        line("s-d", "10.1.0.3:9000", "leaving"),
    ];
    let text = format!(
        r#"{{"revision":7,"complete":true,"members":[{}]}}"#,
        odd.join(",")
    );
    let news = serde_json::from_str::<EndpointListPage>(&text)
        .unwrap()
        .into_update();
    let ids: Vec<&str> = news.rows.iter().map(|row| row.id.as_str()).collect();
    assert_eq!((news.revision, ids), (7, vec!["s-a", "s-c", "s-d"]));
    assert_eq!(
        news.rows[1].state,
        ServerState::Draining,
        "an unknown phase is not 'active'"
    );
}
