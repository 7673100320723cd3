use super::*;
use std::time::Duration;

#[test]
fn lines_above_the_rate_are_suppressed_and_counted() {
    let (mut bucket, start) = (TokenBucket::FULL, Instant::now());
    let written = (0..1000).filter(|_| bucket.admit(start).is_some()).count();
    assert_eq!(written, BURST_LINES as usize);
    assert_eq!(bucket.admit(start + Duration::from_secs(1)), Some(960));
    assert_eq!(bucket.admit(start + Duration::from_secs(1)), Some(0));
}
