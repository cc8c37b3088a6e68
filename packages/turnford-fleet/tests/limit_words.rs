//! Ordering of limit signals that several nodes observed on one target.

use std::time::Duration;

use turnford_fleet::LimitAllocator;
use turnford_fleet::PermitPurpose;
use turnford_policy::LimitObservation;
use turnford_policy::LimitSignal;
use turnford_policy::LimitState;
use turnford_policy::TargetId;

const MS: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);

/// Time from which the allocator allocates the full limits.
const START: Duration = Duration::from_secs(10);

fn target() -> TargetId {
    "e1".into()
}

/// Returns the signal in the response to a call sent at `sent` that took `duration`.
fn observation(rate: Option<f64>, sent: Duration, duration: Duration) -> LimitObservation {
    LimitObservation {
        signal: rate.map_or(LimitSignal::Unlimited, LimitSignal::Rate),
        sent_at: sent,
        received_at: sent + duration,
    }
}

fn allocator() -> LimitAllocator {
    LimitAllocator::new(Duration::ZERO)
}

/// Reports an observation when the response is received.
fn observe(allocator: &mut LimitAllocator, observation: LimitObservation) {
    allocator.observe(observation.received_at, &target(), 0, observation);
}

fn state(allocator: &mut LimitAllocator, now: Duration) -> LimitState {
    allocator.take_updates(now);
    let entries = allocator.entries();
    let entry = entries.iter().find(|entry| entry.target == "e1");
    entry.map_or(LimitState::Free, |entry| entry.state)
}

#[test]
fn later_replaces() {
    let mut allocator = allocator();
    for (number, rate) in [3.0, 7.0, 2.0].into_iter().enumerate() {
        let sent = START + SECOND * number as u32;
        observe(&mut allocator, observation(Some(rate), sent, 50 * MS));
        assert_eq!(
            state(&mut allocator, sent + 50 * MS),
            LimitState::Limited(rate)
        );
    }
}

#[test]
fn overtaken_end() {
    // A long call that was sent before the limit was announced does not lift it; a call sent
    // afterwards does.
    let mut allocator = allocator();
    observe(
        &mut allocator,
        observation(Some(1.0), START + SECOND, 50 * MS),
    );
    observe(&mut allocator, observation(None, START, 2 * SECOND));
    assert_eq!(
        state(&mut allocator, START + 2 * SECOND),
        LimitState::Limited(1.0)
    );
    observe(
        &mut allocator,
        observation(None, START + 3 * SECOND, 50 * MS),
    );
    assert_eq!(
        state(&mut allocator, START + 4 * SECOND),
        LimitState::Easing
    );
}

#[test]
fn older_signal() {
    // A signal that was received before the lifting call was sent does not restore the limit.
    let mut allocator = allocator();
    observe(&mut allocator, observation(Some(1.0), START, 50 * MS));
    observe(&mut allocator, observation(None, START + SECOND, 50 * MS));
    let old = observation(Some(1.0), START + 100 * MS, 50 * MS);
    allocator.observe(START + 2 * SECOND, &target(), 0, old);
    assert_eq!(
        state(&mut allocator, START + 2 * SECOND),
        LimitState::Easing
    );
}

#[test]
fn crossing_signals() {
    // If the order of two observations is unclear, the stricter one holds.
    for rates in [(Some(2.0), Some(5.0)), (Some(5.0), Some(2.0))] {
        let mut allocator = allocator();
        observe(&mut allocator, observation(rates.0, START, 100 * MS));
        observe(
            &mut allocator,
            observation(rates.1, START + 50 * MS, 100 * MS),
        );
        assert_eq!(
            state(&mut allocator, START + SECOND),
            LimitState::Limited(2.0)
        );
    }
}

#[test]
fn by_degrees() {
    // After a limit ends, the rate ramps up until the target is unlimited.
    let mut allocator = allocator();
    observe(&mut allocator, observation(Some(1.0), START, 50 * MS));
    let end = START + SECOND;
    observe(&mut allocator, observation(None, end, Duration::ZERO));
    let mut counts = Vec::new();
    for part in 0..3 {
        let from = end + SECOND * part;
        let taken = (0..1000).filter(|step| {
            let now = from + MS * *step;
            allocator.take(now, "e1", PermitPurpose::Work).is_ok()
        });
        counts.push(taken.count());
    }
    assert!(
        counts[0] <= 12 && counts[0] < counts[1] && counts[1] < counts[2],
        "{counts:?}"
    );
    assert_eq!(state(&mut allocator, end + 4 * SECOND), LimitState::Free);
}

#[test]
fn upkeep_part() {
    // Maintenance gets at most a quarter, and both purposes together use the whole limit.
    let mut allocator = allocator();
    observe(&mut allocator, observation(Some(8.0), START, 50 * MS));
    let (mut work, mut maintenance) = (0, 0);
    for step in 0..10_000_u32 {
        let now = START + 50 * MS + MS * step;
        maintenance += u32::from(
            allocator
                .take(now, "e1", PermitPurpose::Maintenance)
                .is_ok(),
        );
        work += u32::from(allocator.take(now, "e1", PermitPurpose::Work).is_ok());
    }
    assert!(maintenance <= 21 && work >= 58, "{maintenance} and {work}");
    assert!(work + maintenance <= 82, "{maintenance} and {work}");
}

#[test]
fn asked_seldom() {
    // A target that accepts no calls is probed less than twice in four seconds.
    let mut allocator = allocator();
    observe(&mut allocator, observation(Some(0.0), START, 50 * MS));
    let probes = (0..200_u32).filter(|step| {
        let now = START + 100 * MS * *step;
        !allocator.take_idle(now).is_empty()
    });
    let probes = probes.count();
    assert!((5..=7).contains(&probes), "{probes} in twenty seconds");
}

#[test]
fn other_process() {
    // A limit ends with the process that announced it.
    let mut allocator = allocator();
    allocator.observe(
        START,
        &target(),
        1,
        observation(Some(0.0), START, Duration::ZERO),
    );
    allocator.retain_listed(|_, born| born == 2);
    assert_eq!(
        allocator.take(START + SECOND, "e1", PermitPurpose::Work),
        Ok(())
    );
}

#[test]
fn takeover_part() {
    // A new allocator grants half of the limit, and so does one that reaches only few nodes.
    let count = |allocator: &mut LimitAllocator, from: Duration| {
        let taken = (0..1800).filter(|step| {
            let now = from + MS * *step;
            allocator.take(now, "e1", PermitPurpose::Work).is_ok()
        });
        taken.count()
    };
    let mut new = LimitAllocator::new(START);
    new.adopt(START, &target(), 0, LimitState::Limited(20.0));
    assert!((16..=18).contains(&count(&mut new, START)));
    let mut isolated = allocator();
    isolated.adopt(START, &target(), 0, LimitState::Limited(20.0));
    isolated.set_reaches_half(false);
    assert!((16..=18).contains(&count(&mut isolated, START)));
    isolated.set_reaches_half(true);
    assert!((34..=38).contains(&count(&mut isolated, START + 2 * SECOND)));
}
