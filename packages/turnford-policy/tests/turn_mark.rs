//! A thread that does not come round is not ready.

use std::time::Duration;

use turnford_policy::ThreadHeartbeat;

#[test]
fn stuck_thread() {
    let mark = ThreadHeartbeat::default();
    assert!(mark.is_alive(Duration::from_millis(500)), "it begins");
    mark.beat(Duration::from_secs(10));
    assert!(mark.is_alive(Duration::from_millis(11_500)));
    assert!(!mark.is_alive(Duration::from_secs(13)), "it is stuck");
    mark.beat(Duration::from_secs(14));
    assert!(mark.is_alive(Duration::from_secs(14)), "it came round");
}
