//! Requests of all nodes take turns where all targets have limits.

use std::time::Duration;

use turnford_fleet::CallSupply;
use turnford_fleet::PermitDecision;
use turnford_fleet::PermitQueue;
use turnford_fleet::QueuedRequest;

const SECOND: Duration = Duration::from_secs(1);
const MS: Duration = Duration::from_millis(1);

/// A moment by which nothing is remembered of the start.
const BEGIN: Duration = Duration::from_secs(100);

fn ask(number: u64, rank: u8, begun: Duration, patience: Duration) -> QueuedRequest {
    QueuedRequest {
        number,
        ranks: (rank, 0),
        requested_at: begun,
        deadline: begun + patience,
    }
}

/// One target that takes a call a second, with so much of the next one ready.
fn supply(tokens: f64) -> CallSupply {
    let mut supply = CallSupply::default();
    supply.add(tokens, 1.0);
    supply
}

fn is_refused(answer: PermitDecision) -> bool {
    matches!(answer, PermitDecision::Rejected(_))
}

#[test]
fn free_call() {
    let mut line = PermitQueue::default();
    let first = ask(1, 1, BEGIN, SECOND);
    assert_eq!(
        line.request(BEGIN, &first, supply(1.0)),
        PermitDecision::Granted
    );
    assert!(line.is_empty());
}

#[test]
fn parts_are_none() {
    // Half a call at each of two targets is no call.
    let mut line = PermitQueue::default();
    let mut supply = supply(0.5);
    supply.add(0.5, 1.0);
    let answer = line.request(BEGIN, &ask(1, 1, BEGIN, 5 * SECOND), supply);
    assert!(matches!(answer, PermitDecision::Wait(_)), "{answer:?}");
}

#[test]
fn urgent_before() {
    let mut line = PermitQueue::default();
    for number in 1..=2 {
        let other = ask(number, 3, BEGIN, 20 * SECOND);
        line.request(BEGIN, &other, supply(0.0));
    }
    let urgent = ask(3, 0, BEGIN, 2 * SECOND);
    let answer = line.request(BEGIN, &urgent, supply(0.0));
    assert!(matches!(answer, PermitDecision::Wait(_)), "{answer:?}");
    let later = BEGIN + 100 * MS;
    assert_eq!(
        line.request(later, &urgent, supply(1.0)),
        PermitDecision::Granted
    );
    let other = ask(1, 3, BEGIN, 20 * SECOND);
    assert_eq!(
        line.request(later, &other, supply(1.0)),
        PermitDecision::Granted
    );
}

#[test]
fn late_refused() {
    // Three go before, a second each.
    let mut line = PermitQueue::default();
    for number in 1..=3 {
        line.request(BEGIN, &ask(number, 1, BEGIN, 9 * SECOND), supply(0.0));
    }
    let hasty = ask(4, 1, BEGIN, 3500 * MS);
    let PermitDecision::Rejected(back) = line.request(BEGIN, &hasty, supply(0.0)) else {
        panic!("its turn comes after four seconds");
    };
    assert_eq!(back, 500 * MS);
    // The next one that is refused comes back when there is room for it, too.
    let PermitDecision::Rejected(back) =
        line.request(BEGIN, &ask(5, 1, BEGIN, 3500 * MS), supply(0.0))
    else {
        panic!("its turn comes after four seconds");
    };
    assert_eq!(back, 1500 * MS);
}

#[test]
fn soon_displaced() {
    // One that has just come makes room for more urgent ones, and is told so within its first moments.
    let mut line = PermitQueue::default();
    let other = ask(1, 3, BEGIN, 2500 * MS);
    let PermitDecision::Wait(look) = line.request(BEGIN, &other, supply(0.0)) else {
        panic!("its turn comes after a second");
    };
    assert!(look <= 500 * MS, "{look:?}");
    for number in 2..=4 {
        line.request(BEGIN, &ask(number, 0, BEGIN, 9 * SECOND), supply(0.0));
    }
    assert!(is_refused(line.request(BEGIN + look, &other, supply(0.3))));
}

#[test]
fn kept_place() {
    // One that waits for longer keeps its place: who would make it late goes behind it.
    let mut line = PermitQueue::default();
    let other = ask(1, 3, BEGIN, 2500 * MS);
    line.request(BEGIN, &other, supply(0.0));
    let later = BEGIN + 300 * MS;
    line.request(later, &other, supply(0.3));
    for number in 2..=5 {
        line.request(later, &ask(number, 0, later, 9 * SECOND), supply(0.3));
    }
    let at = BEGIN + 2 * SECOND;
    line.request(later + 700 * MS, &ask(2, 0, later, 9 * SECOND), supply(1.0));
    assert_eq!(
        line.request(at, &other, supply(1.0)),
        PermitDecision::Granted
    );
}

#[test]
fn rate_left() {
    // Where more urgent requests need nearly all calls, one that waits for the others is not let in.
    let mut line = PermitQueue::default();
    let mut now = BEGIN;
    for number in 0..40 {
        now += 1200 * MS;
        line.request(now, &ask(number, 0, now, 9 * SECOND), supply(1.0));
    }
    let other = ask(100, 3, now, 4 * SECOND);
    line.request(now, &ask(99, 0, now, 9 * SECOND), supply(0.0));
    assert!(is_refused(line.request(now, &other, supply(0.0))));
}

#[test]
fn lost_place() {
    // A request whose node is gone holds nobody up.
    let mut line = PermitQueue::default();
    line.request(BEGIN, &ask(1, 0, BEGIN, 9 * SECOND), supply(0.0));
    let later = BEGIN + 3 * SECOND;
    let answer = line.request(later, &ask(2, 1, later, SECOND), supply(1.0));
    assert_eq!(answer, PermitDecision::Granted);
}

#[test]
fn nothing_taken() {
    // Where targets take nothing, nobody waits.
    let mut line = PermitQueue::default();
    let mut none = CallSupply::default();
    none.add(0.0, 0.0);
    let PermitDecision::Rejected(back) = line.request(BEGIN, &ask(1, 0, BEGIN, 9 * SECOND), none)
    else {
        panic!("no call comes");
    };
    assert!(back > Duration::ZERO && back <= 10 * SECOND, "{back:?}");
}
