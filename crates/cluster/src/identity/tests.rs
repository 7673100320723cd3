use super::*;

#[test]
fn of_two_processes_under_one_name_the_later_one_holds_it() {
    let id = |generation, rejoins, port| MemberId {
        name: NameHash::of("n1"),
        generation,
        rejoins,
        address: SocketAddr::from(([127, 0, 0, 1], port)),
    };
    assert!(id(2, 0, 1).supersedes(&id(1, 9, 2)) && !id(1, 9, 2).supersedes(&id(2, 0, 1)));
    assert!(id(1, 1, 1).supersedes(&id(1, 0, 1)) && !id(1, 1, 1).is_another_process(&id(1, 0, 1)));
    assert!(id(1, 0, 2).supersedes(&id(1, 0, 1)) && id(1, 0, 2).is_another_process(&id(1, 0, 1)));
    assert!(!id(1, 0, 1).supersedes(&id(1, 0, 1)));
    assert_ne!(id(1, 0, 1).digest(), id(1, 1, 1).digest());
}
