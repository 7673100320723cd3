use super::*;

fn at(seconds: f64) -> Time {
    Time::from_secs(seconds)
}

fn with_two_processes(test: impl FnOnce(&Path, SharedIds, SharedIds)) {
    let name = format!("cairnroad-shared-ids-{:?}", std::thread::current().id());
    let folder = std::env::temp_dir().join(name);
    let open = |process| SharedIds::new(&folder, process, at(0.0)).unwrap();
    test(&folder, open(1), open(2));
    fs::remove_dir_all(&folder).unwrap();
}

/// Guards against an id that both processes run: each sees what the other has recorded, also before it started and over the
/// end of a period, and not its own.
#[test]
fn each_process_sees_the_ids_of_the_other_one() {
    with_two_processes(|folder, mut first, mut second| {
        first.append(at(59.0), 7).unwrap();
        second.append(at(61.0), 8).unwrap();
        let ids = |found: io::Result<Vec<ForeignId>>| -> Vec<IdHash> {
            found.unwrap().iter().map(|foreign| foreign.id).collect()
        };
        assert_eq!(ids(first.read_new(at(59.5))), [8]);
        assert_eq!(ids(second.read_new(at(61.5))), [7]);
        assert!(ids(first.read_new(at(61.0))).is_empty());
        let mut third = SharedIds::new(folder, 3, at(62.0)).unwrap();
        assert_eq!(ids(third.read_new(at(62.0))), [7, 8]);
        // The files of past periods are removed, also those of earlier processes.
        assert!(ids(third.read_new(at(125.0))).is_empty());
        assert_eq!(fs::read_dir(folder).unwrap().count(), 1);
        SharedIds::new(folder, 4, at(300.0)).unwrap();
        assert_eq!(fs::read_dir(folder).unwrap().count(), 0);
    });
}

/// Guards against both processes of a crossing running an id, or neither of them: the first record wins, and over the end of
/// a period, where the order is not certain, neither does.
#[test]
fn of_two_records_at_once_at_most_one_wins() {
    with_two_processes(|_, mut first, mut second| {
        let own_first = first.append(at(10.0), 7).unwrap();
        let own_second = second.append(at(10.0), 7).unwrap();
        let seen_by_first = first.read_new(at(10.0)).unwrap();
        let seen_by_second = second.read_new(at(10.0)).unwrap();
        assert!(!seen_by_first[0].may_precede(own_first));
        assert!(seen_by_second[0].may_precede(own_second));
        let own_first = first.append(at(59.99), 9).unwrap();
        let own_second = second.append(at(60.0), 9).unwrap();
        assert!(first.read_new(at(59.99)).unwrap()[0].may_precede(own_first));
        assert!(second.read_new(at(60.0)).unwrap()[0].may_precede(own_second));
    });
}

/// Guards against a record that is read before it is complete.
#[test]
fn an_incomplete_record_is_read_once_it_is_complete() {
    with_two_processes(|folder, mut first, mut second| {
        first.append(at(10.0), 7).unwrap();
        let path = folder.join(format!("{FILE_PREFIX}0"));
        let bytes = fs::read(&path).unwrap();
        fs::write(&path, &bytes[..10]).unwrap();
        assert_eq!(second.read_new(at(10.0)).unwrap(), []);
        fs::write(&path, &bytes).unwrap();
        assert_eq!(second.read_new(at(10.0)).unwrap().len(), 1);
    });
}
