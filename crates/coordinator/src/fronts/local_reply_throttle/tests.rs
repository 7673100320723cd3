use super::*;

/// Guards against a share of the thread that grows with the number of clients that send unsound requests.
#[test]
fn clients_together_take_a_bounded_share_of_the_thread() {
    let throttle = LocalReplyThrottle::default();
    let taken = Duration::from_micros(200);
    let mut pausing = Vec::new();
    for clients in 1..=400 {
        pausing.push(throttle.begin());
        let pause = throttle.pause_for(taken);
        assert!(pause >= taken * clients * PAUSE_FACTOR, "{clients} clients");
    }
    assert_eq!(throttle.pause_for(Duration::from_secs(1)), MAX_PAUSE);
    pausing.clear();
    assert_eq!(throttle.pause_for(taken), Duration::ZERO);
}
