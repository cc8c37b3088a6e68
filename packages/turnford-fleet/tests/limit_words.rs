//! What targets say of their limits, as the node that divides orders the words of all nodes.

use std::time::Duration;

use turnford_fleet::LimitAllocator;
use turnford_fleet::PermitPurpose;
use turnford_policy::LimitObservation;
use turnford_policy::LimitSignal;
use turnford_policy::LimitState;
use turnford_policy::TargetId;

const MS: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);

/// A moment after which the divider gives out all.
const BEGIN: Duration = Duration::from_secs(10);

fn target() -> TargetId {
    "e1".into()
}

/// A word in the answer to a call that was sent at a moment and took so long.
fn heard(rate: Option<f64>, sent: Duration, span: Duration) -> LimitObservation {
    LimitObservation {
        signal: rate.map_or(LimitSignal::Unlimited, LimitSignal::Rate),
        sent_at: sent,
        received_at: sent + span,
    }
}

fn divider() -> LimitAllocator {
    LimitAllocator::new(Duration::ZERO)
}

/// Takes a word as soon as it was heard.
fn note(divider: &mut LimitAllocator, word: LimitObservation) {
    divider.observe(word.received_at, &target(), 0, word);
}

fn state(divider: &mut LimitAllocator, now: Duration) -> LimitState {
    divider.take_updates(now);
    let entries = divider.entries();
    let entry = entries.iter().find(|entry| entry.target == "e1");
    entry.map_or(LimitState::Free, |entry| entry.state)
}

#[test]
fn later_replaces() {
    let mut divider = divider();
    for (number, rate) in [3.0, 7.0, 2.0].into_iter().enumerate() {
        let sent = BEGIN + SECOND * number as u32;
        note(&mut divider, heard(Some(rate), sent, 50 * MS));
        assert_eq!(
            state(&mut divider, sent + 50 * MS),
            LimitState::Limited(rate)
        );
    }
}

#[test]
fn overtaken_end() {
    // A long call that was sent before the word came says nothing of it; one sent after ends it.
    let mut divider = divider();
    note(&mut divider, heard(Some(1.0), BEGIN + SECOND, 50 * MS));
    note(&mut divider, heard(None, BEGIN, 2 * SECOND));
    assert_eq!(
        state(&mut divider, BEGIN + 2 * SECOND),
        LimitState::Limited(1.0)
    );
    note(&mut divider, heard(None, BEGIN + 3 * SECOND, 50 * MS));
    assert_eq!(state(&mut divider, BEGIN + 4 * SECOND), LimitState::Easing);
}

#[test]
fn older_word() {
    // A word that came before the end was sent does not bring the limit back.
    let mut divider = divider();
    note(&mut divider, heard(Some(1.0), BEGIN, 50 * MS));
    note(&mut divider, heard(None, BEGIN + SECOND, 50 * MS));
    let old = heard(Some(1.0), BEGIN + 100 * MS, 50 * MS);
    divider.observe(BEGIN + 2 * SECOND, &target(), 0, old);
    assert_eq!(state(&mut divider, BEGIN + 2 * SECOND), LimitState::Easing);
}

#[test]
fn crossing_words() {
    // Of two that may have crossed the stricter holds.
    for rates in [(Some(2.0), Some(5.0)), (Some(5.0), Some(2.0))] {
        let mut divider = divider();
        note(&mut divider, heard(rates.0, BEGIN, 100 * MS));
        note(&mut divider, heard(rates.1, BEGIN + 50 * MS, 100 * MS));
        assert_eq!(
            state(&mut divider, BEGIN + SECOND),
            LimitState::Limited(2.0)
        );
    }
}

#[test]
fn by_degrees() {
    // After its end a target gets more and more, and then all.
    let mut divider = divider();
    note(&mut divider, heard(Some(1.0), BEGIN, 50 * MS));
    let end = BEGIN + SECOND;
    note(&mut divider, heard(None, end, Duration::ZERO));
    let mut counts = Vec::new();
    for part in 0..3 {
        let from = end + SECOND * part;
        let taken = (0..1000).filter(|step| {
            let now = from + MS * *step;
            divider.take(now, "e1", PermitPurpose::Work).is_ok()
        });
        counts.push(taken.count());
    }
    assert!(
        counts[0] <= 12 && counts[0] < counts[1] && counts[1] < counts[2],
        "{counts:?}"
    );
    assert_eq!(state(&mut divider, end + 4 * SECOND), LimitState::Free);
}

#[test]
fn upkeep_part() {
    // Upkeep takes a quarter at most, and all take what the limit allows.
    let mut divider = divider();
    note(&mut divider, heard(Some(8.0), BEGIN, 50 * MS));
    let (mut work, mut upkeep) = (0, 0);
    for step in 0..10_000_u32 {
        let now = BEGIN + 50 * MS + MS * step;
        upkeep += u32::from(divider.take(now, "e1", PermitPurpose::Maintenance).is_ok());
        work += u32::from(divider.take(now, "e1", PermitPurpose::Work).is_ok());
    }
    assert!(upkeep <= 21 && work >= 58, "{upkeep} and {work}");
    assert!(work + upkeep <= 82, "{upkeep} and {work}");
}

#[test]
fn asked_seldom() {
    // A target that takes nothing is asked how it is, less than twice in four seconds.
    let mut divider = divider();
    note(&mut divider, heard(Some(0.0), BEGIN, 50 * MS));
    let asks = (0..200_u32).filter(|step| {
        let now = BEGIN + 100 * MS * *step;
        !divider.take_idle(now).is_empty()
    });
    let asks = asks.count();
    assert!((5..=7).contains(&asks), "{asks} in twenty seconds");
}

#[test]
fn other_process() {
    // A limit ends with the process that named it.
    let mut divider = divider();
    divider.observe(BEGIN, &target(), 1, heard(Some(0.0), BEGIN, Duration::ZERO));
    divider.retain_listed(|_, born| born == 2);
    assert_eq!(
        divider.take(BEGIN + SECOND, "e1", PermitPurpose::Work),
        Ok(())
    );
}

#[test]
fn takeover_part() {
    // One that has just begun to divide gives out half, and one that reaches few as well.
    let count = |divider: &mut LimitAllocator, from: Duration| {
        let taken = (0..1800).filter(|step| {
            let now = from + MS * *step;
            divider.take(now, "e1", PermitPurpose::Work).is_ok()
        });
        taken.count()
    };
    let mut new = LimitAllocator::new(BEGIN);
    new.adopt(BEGIN, &target(), 0, LimitState::Limited(20.0));
    assert!((16..=18).contains(&count(&mut new, BEGIN)));
    let mut alone = divider();
    alone.adopt(BEGIN, &target(), 0, LimitState::Limited(20.0));
    alone.set_reaches_half(false);
    assert!((16..=18).contains(&count(&mut alone, BEGIN)));
    alone.set_reaches_half(true);
    assert!((34..=38).contains(&count(&mut alone, BEGIN + 2 * SECOND)));
}
