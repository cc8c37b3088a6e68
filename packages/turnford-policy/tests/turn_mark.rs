//! A thread that does not come round is not ready.

use std::time::Duration;

use turnford_policy::TurnMark;

#[test]
fn stuck_thread() {
    let mark = TurnMark::default();
    assert!(mark.is_fresh(Duration::from_millis(500)), "it begins");
    mark.note(Duration::from_secs(10));
    assert!(mark.is_fresh(Duration::from_millis(11_500)));
    assert!(!mark.is_fresh(Duration::from_secs(13)), "it is stuck");
    mark.note(Duration::from_secs(14));
    assert!(mark.is_fresh(Duration::from_secs(14)), "it came round");
}
