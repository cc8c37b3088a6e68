//! A node whose serving thread is stuck is not ready.

use std::time::Duration;

use turnford_policy::ThreadHeartbeat;

#[test]
fn stuck_thread() {
    let heartbeat = ThreadHeartbeat::default();
    assert!(
        heartbeat.is_alive(Duration::from_millis(500)),
        "no heartbeat yet"
    );
    heartbeat.beat(Duration::from_secs(10));
    assert!(heartbeat.is_alive(Duration::from_millis(11_500)));
    assert!(
        !heartbeat.is_alive(Duration::from_secs(13)),
        "last heartbeat too old"
    );
    heartbeat.beat(Duration::from_secs(14));
    assert!(
        heartbeat.is_alive(Duration::from_secs(14)),
        "heartbeat resumed"
    );
}
