use super::*;

#[test]
fn what_is_due_comes_in_its_order_and_calls_are_asked_for_once() {
    let at = Time::from_secs;
    let mut agenda = Agenda::default();
    assert_eq!(agenda.wake(at(0.0)), None);
    agenda.insert(at(3.0), 'c');
    agenda.insert(at(1.0), 'a');
    agenda.insert(at(2.0), 'b');
    agenda.remove(at(2.0), 'b');
    assert_eq!(
        (agenda.wake(at(0.0)), agenda.wake(at(0.5))),
        (Some(at(1.0)), None)
    );
    assert_eq!(
        (agenda.pop(at(0.9)), agenda.pop(at(1.1))),
        (None, Some((at(1.0), 'a')))
    );
    assert_eq!(
        (agenda.pop(at(1.1)), agenda.wake(at(1.1))),
        (None, Some(at(3.0)))
    );
    agenda.insert(at(4.0), 'd');
    assert_eq!(agenda.wake(at(1.2)), None, "the call for 3 s comes first");
    agenda.insert(at(2.0), 'e');
    assert_eq!(agenda.wake(at(1.2)), Some(at(2.0)));
}
