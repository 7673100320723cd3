use super::*;
use std::time::Duration;

#[test]
fn a_flood_of_lines_is_cut_short_and_counted() {
    let (mut bucket, start) = (Bucket::FULL, Instant::now());
    let written = (0..1000).filter(|_| bucket.admit(start).is_some()).count();
    assert_eq!(written, BURST as usize);
    assert_eq!(bucket.admit(start + Duration::from_secs(1)), Some(960));
    assert_eq!(bucket.admit(start + Duration::from_secs(1)), Some(0));
}
