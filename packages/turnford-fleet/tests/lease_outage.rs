//! A lease survives a platform outage that is shorter than its duration.

use std::time::Duration;

use turnford_fleet::LeaseAction;
use turnford_fleet::LeaseHolder;
use turnford_fleet::LeaseOutcome;
use turnford_fleet::LeaseRecord;
use turnford_fleet::LeaseSettings;
use turnford_fleet::Version;

const MS: Duration = Duration::from_millis(1);

/// Runs one holder for ten seconds with an outage. Returns the milliseconds without a usable lease
/// after it was first held.
fn time_without_lease(outage: std::ops::Range<u32>) -> u32 {
    let mut holder = LeaseHolder::new("one".to_owned(), LeaseSettings::default(), 7);
    let mut stored: Option<(Version, LeaseRecord)> = None;
    let mut version = 0;
    let mut was_held = false;
    let mut time_without_lease = 0;
    for tick in 0..1000 {
        let now = MS * (tick * 10);
        let action = holder.step(now, true, true);
        let is_unavailable = outage.contains(&(tick * 10));
        match action {
            Some(_) if is_unavailable => holder.handle_outcome(now, LeaseOutcome::Failed),
            Some(LeaseAction::Read) => {
                holder.handle_outcome(now, LeaseOutcome::Found(stored.clone()))
            }
            Some(LeaseAction::Write { record, .. }) => {
                version += 1;
                stored = Some((version, record));
                holder.handle_outcome(now, LeaseOutcome::Accepted(version));
            }
            None => {}
        }
        let is_held = holder.token(now).is_some();
        was_held |= is_held;
        if was_held && !is_held {
            time_without_lease += 10;
        }
    }
    assert!(was_held);
    time_without_lease
}

#[test]
fn short_outage() {
    // Wherever an outage of 1.5 s begins, the lease must be usable again soon. With the margin it
    // remains usable for 3 s after the last renewal, and renewals are 1 s apart.
    for start in (1000..4000).step_by(50) {
        let time_without_lease = time_without_lease(start..start + 1500);
        assert!(
            time_without_lease <= 300,
            "{time_without_lease} ms missed, outage at {start} ms"
        );
    }
}

#[test]
fn one_failure() {
    for start in (1000..4000).step_by(50) {
        assert_eq!(
            time_without_lease(start..start + 100),
            0,
            "outage at {start} ms"
        );
    }
}
