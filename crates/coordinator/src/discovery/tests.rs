use super::*;
use cairnroad_types::Time;

#[test]
fn a_list_is_understood_and_numbered_by_first_sight() {
    let text = r#"{"revision":43,"complete":false,"members":[{"id":"s-b","host_port":"10.1.0.18:9000",
        "locality":"a","flavor":"m2","cell":3,"phase":"leaving","size":1.0,"up_since_ms":1500}]}"#;
    let read = |text: &str| {
        serde_json::from_str::<EndpointListPage>(text)
            .unwrap()
            .into_update()
    };
    let news = read(text);
    assert_eq!(
        (news.revision, news.complete, news.rows[0].state),
        (43, false, ServerState::Draining)
    );
    assert_eq!(news.rows[0].ready_at, Some(Time(1_500_000)));
    let mut directory = ServerDirectory::default();
    let rows = directory.assign_ids(&news);
    assert_eq!(
        (rows[0].0, directory.assign_ids(&news)[0].0),
        (ServerId(0), ServerId(0))
    );
    assert!(matches!(
        endpoint_update(&rows, false, false),
        EndpointUpdate::Delta(_)
    ));
    assert!(
        directory
            .assign_ids(&read(&text.replace("leaving", "left")))
            .len()
            == 1
            && directory.len() == 0
    );
    assert_eq!(
        directory.assign_ids(&news)[0].0,
        ServerId(1),
        "a number is never given twice"
    );
}
