use super::*;

/// Guards against attempts for a client that has left: bytes that stay unread may hide its disconnect, and further
/// unread bytes must not restart the time in which it still counts as connected.
#[test]
fn a_client_with_unread_bytes_is_confirmed_for_a_short_time_only() {
    let start = Time::from_secs(10.0);
    let client = ClientLiveness::default();
    assert!(client.is_confirmed(start));
    client.on_unread(start);
    client.on_unread(start + 0.04);
    assert!(client.is_confirmed(start + 0.05));
    assert!(!client.is_confirmed(start + 0.051));
    client.on_read_to_end();
    assert!(client.clone().is_confirmed(start + 9.0));
}
