//! A lease outlives an outage of the platform that is shorter than its span.

use std::time::Duration;

use turnford_fleet::LeaseAction;
use turnford_fleet::LeaseHolder;
use turnford_fleet::LeaseOutcome;
use turnford_fleet::LeaseRecord;
use turnford_fleet::LeaseSettings;
use turnford_fleet::Version;

const MS: Duration = Duration::from_millis(1);

/// Runs one holder for ten seconds with an outage; returns the milliseconds without a usable lease
/// after it was first held.
fn missing(outage: std::ops::Range<u32>) -> u32 {
    let mut holder = LeaseHolder::new("one".to_owned(), LeaseSettings::default(), 7);
    let mut stored: Option<(Version, LeaseRecord)> = None;
    let mut version = 0;
    let mut was_held = false;
    let mut missing = 0;
    for tick in 0..1000 {
        let now = MS * (tick * 10);
        let action = holder.step(now, true, true);
        let is_away = outage.contains(&(tick * 10));
        match action {
            Some(_) if is_away => holder.handle_outcome(now, LeaseOutcome::Failed),
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
            missing += 10;
        }
    }
    assert!(was_held);
    missing
}

#[test]
fn short_outage() {
    // Whenever an outage of a second and a half begins, the lease is not missed for long: its margin
    // leaves three seconds from the last renewal, and a renewal comes every second and a third.
    for begin in (1000..4000).step_by(50) {
        let missing = missing(begin..begin + 1500);
        assert!(missing <= 300, "{missing} ms missed, outage at {begin} ms");
    }
}

#[test]
fn one_failure() {
    for begin in (1000..4000).step_by(50) {
        assert_eq!(missing(begin..begin + 100), 0, "outage at {begin} ms");
    }
}
