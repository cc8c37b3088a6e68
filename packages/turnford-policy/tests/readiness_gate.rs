//! A saturated node is not ready only where that takes its clients to nodes that have time.

mod common;

use std::time::Duration;

use proptest::prelude::*;
use turnford_policy::Moment;
use turnford_policy::PeerLoad;
use turnford_policy::ReadinessChange;
use turnford_policy::ReadinessGate;

/// Interval between two updates.
const STEP: Duration = Duration::from_millis(50);

/// The whole hall is saturated, the others are not.
const RELIEVED: PeerLoad = PeerLoad {
    hall_has_free: false,
    others_are_free: true,
};

/// Updates a gate for a while and returns its changes with their times.
fn run(
    gate: &mut ReadinessGate,
    now: &mut Moment,
    duration: Duration,
    is_saturated: bool,
    load: PeerLoad,
) -> Vec<(Moment, ReadinessChange)> {
    let end = *now + duration;
    let mut changes = Vec::new();
    while *now < end {
        *now += STEP;
        gate.record_peers(*now, load);
        let change = gate.update(*now, is_saturated);
        changes.extend(change.map(|change| (*now, change)));
    }
    changes
}

#[test]
fn hall_saturated() {
    let (mut gate, mut now) = (ReadinessGate::default(), Duration::ZERO);
    let left = run(
        &mut gate,
        &mut now,
        Duration::from_millis(500),
        true,
        RELIEVED,
    );
    assert!(
        matches!(left[..], [(_, ReadinessChange::Left(_))]),
        "{left:?}"
    );
    let away = run(&mut gate, &mut now, Duration::from_secs(3), false, RELIEVED);
    assert_eq!(away, [], "the balancer has not reacted for long enough");
    let back = run(&mut gate, &mut now, Duration::from_secs(2), false, RELIEVED);
    assert!(
        matches!(back[..], [(_, ReadinessChange::Returned)]),
        "{back:?}"
    );
}

/// A node whose clients can go to another node of its hall stays.
#[test]
fn hall_has_free() {
    let (mut gate, mut now) = (ReadinessGate::default(), Duration::ZERO);
    let load = PeerLoad {
        hall_has_free: true,
        others_are_free: true,
    };
    let changes = run(&mut gate, &mut now, Duration::from_secs(30), true, load);
    assert_eq!(changes, []);
}

/// No node leaves while all are saturated, and one that is away returns.
#[test]
fn all_saturated() {
    let (mut gate, mut now) = (ReadinessGate::default(), Duration::ZERO);
    let load = PeerLoad {
        hall_has_free: false,
        others_are_free: false,
    };
    assert_eq!(
        run(&mut gate, &mut now, Duration::from_secs(30), true, load),
        []
    );
    run(&mut gate, &mut now, Duration::from_secs(1), true, RELIEVED);
    assert!(gate.is_away());
    run(&mut gate, &mut now, Duration::from_millis(100), true, load);
    assert!(!gate.is_away());
}

/// A node that hears nothing of others stays.
#[test]
fn nothing_known() {
    let mut gate = ReadinessGate::default();
    for number in 1..200 {
        assert_eq!(gate.update(STEP * number, true), None);
    }
}

proptest! {
    #![proptest_config(common::proptest_config(200))]

    /// However the load changes, absences are not frequent.
    #[test]
    fn rare_changes(phases in proptest::collection::vec((any::<bool>(), any::<bool>(), 1_u32..100), 1..60)) {
        let (mut gate, mut now) = (ReadinessGate::default(), Duration::ZERO);
        let mut left_at: Vec<Moment> = Vec::new();
        for (is_saturated, hall_has_free, steps) in phases {
            let load = PeerLoad { hall_has_free, others_are_free: true };
            for (at, change) in run(&mut gate, &mut now, STEP * steps, is_saturated, load) {
                if matches!(change, ReadinessChange::Left(_)) {
                    left_at.push(at);
                }
            }
        }
        for pair in left_at.windows(2) {
            prop_assert!(pair[1] - pair[0] >= Duration::from_secs(4), "{:?}", left_at);
        }
    }
}
