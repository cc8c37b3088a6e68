//! Permit queue for requests of all nodes whose targets are all limited.

use std::time::Duration;

use turnford_fleet::CallSupply;
use turnford_fleet::PermitDecision;
use turnford_fleet::PermitQueue;
use turnford_fleet::QueuedRequest;

const SECOND: Duration = Duration::from_secs(1);
const MS: Duration = Duration::from_millis(1);

/// Time at which the initial state no longer has any influence.
const START: Duration = Duration::from_secs(100);

fn ask(number: u64, rank: u8, start: Duration, timeout: Duration) -> QueuedRequest {
    QueuedRequest {
        number,
        ranks: (rank, 0),
        requested_at: start,
        deadline: start + timeout,
    }
}

/// Returns the supply of one target that accepts a call per second and has `tokens` available.
fn supply(tokens: f64) -> CallSupply {
    let mut supply = CallSupply::default();
    supply.add(tokens, 1.0);
    supply
}

fn is_rejected(answer: PermitDecision) -> bool {
    matches!(answer, PermitDecision::Rejected(_))
}

#[test]
fn free_call() {
    let mut queue = PermitQueue::default();
    let first = ask(1, 1, START, SECOND);
    assert_eq!(
        queue.request(START, &first, supply(1.0)),
        PermitDecision::Granted
    );
    assert!(queue.is_empty());
}

#[test]
fn parts_are_none() {
    // Half a call at each of two targets does not add up to a call.
    let mut queue = PermitQueue::default();
    let mut supply = supply(0.5);
    supply.add(0.5, 1.0);
    let answer = queue.request(START, &ask(1, 1, START, 5 * SECOND), supply);
    assert!(matches!(answer, PermitDecision::Wait(_)), "{answer:?}");
}

#[test]
fn urgent_before() {
    let mut queue = PermitQueue::default();
    for number in 1..=2 {
        let other = ask(number, 3, START, 20 * SECOND);
        queue.request(START, &other, supply(0.0));
    }
    let urgent = ask(3, 0, START, 2 * SECOND);
    let answer = queue.request(START, &urgent, supply(0.0));
    assert!(matches!(answer, PermitDecision::Wait(_)), "{answer:?}");
    let later = START + 100 * MS;
    assert_eq!(
        queue.request(later, &urgent, supply(1.0)),
        PermitDecision::Granted
    );
    let other = ask(1, 3, START, 20 * SECOND);
    assert_eq!(
        queue.request(later, &other, supply(1.0)),
        PermitDecision::Granted
    );
}

#[test]
fn late_refused() {
    // Three requests are ahead, at one second each.
    let mut queue = PermitQueue::default();
    for number in 1..=3 {
        queue.request(START, &ask(number, 1, START, 9 * SECOND), supply(0.0));
    }
    let impatient = ask(4, 1, START, 3500 * MS);
    let PermitDecision::Rejected(retry_after) = queue.request(START, &impatient, supply(0.0))
    else {
        panic!("its turn comes after four seconds");
    };
    assert_eq!(retry_after, 500 * MS);
    // The next rejected request is told to retry later, when there is capacity for it as well.
    let PermitDecision::Rejected(retry_after) =
        queue.request(START, &ask(5, 1, START, 3500 * MS), supply(0.0))
    else {
        panic!("its turn comes after four seconds");
    };
    assert_eq!(retry_after, 1500 * MS);
}

#[test]
fn soon_displaced() {
    // A new request is displaced by more urgent ones, and is told so soon after its arrival.
    let mut queue = PermitQueue::default();
    let other = ask(1, 3, START, 2500 * MS);
    let PermitDecision::Wait(poll_in) = queue.request(START, &other, supply(0.0)) else {
        panic!("its turn comes after a second");
    };
    assert!(poll_in <= 500 * MS, "{poll_in:?}");
    for number in 2..=4 {
        queue.request(START, &ask(number, 0, START, 9 * SECOND), supply(0.0));
    }
    assert!(is_rejected(queue.request(
        START + poll_in,
        &other,
        supply(0.3)
    )));
}

#[test]
fn kept_place() {
    // A request that has waited longer keeps its position: others that would delay it past its
    // deadline queue behind it.
    let mut queue = PermitQueue::default();
    let other = ask(1, 3, START, 2500 * MS);
    queue.request(START, &other, supply(0.0));
    let later = START + 300 * MS;
    queue.request(later, &other, supply(0.3));
    for number in 2..=5 {
        queue.request(later, &ask(number, 0, later, 9 * SECOND), supply(0.3));
    }
    let at = START + 2 * SECOND;
    queue.request(later + 700 * MS, &ask(2, 0, later, 9 * SECOND), supply(1.0));
    assert_eq!(
        queue.request(at, &other, supply(1.0)),
        PermitDecision::Granted
    );
}

#[test]
fn rate_left() {
    // If more urgent requests need nearly all calls, a less urgent one is rejected instead of
    // queued.
    let mut queue = PermitQueue::default();
    let mut now = START;
    for number in 0..40 {
        now += 1200 * MS;
        queue.request(now, &ask(number, 0, now, 9 * SECOND), supply(1.0));
    }
    let other = ask(100, 3, now, 4 * SECOND);
    queue.request(now, &ask(99, 0, now, 9 * SECOND), supply(0.0));
    assert!(is_rejected(queue.request(now, &other, supply(0.0))));
}

#[test]
fn lost_place() {
    // A request whose node has failed does not block others.
    let mut queue = PermitQueue::default();
    queue.request(START, &ask(1, 0, START, 9 * SECOND), supply(0.0));
    let later = START + 3 * SECOND;
    let answer = queue.request(later, &ask(2, 1, later, SECOND), supply(1.0));
    assert_eq!(answer, PermitDecision::Granted);
}

#[test]
fn nothing_taken() {
    // If the targets accept no calls, no request is queued.
    let mut queue = PermitQueue::default();
    let mut none = CallSupply::default();
    none.add(0.0, 0.0);
    let PermitDecision::Rejected(retry_after) =
        queue.request(START, &ask(1, 0, START, 9 * SECOND), none)
    else {
        panic!("no call comes");
    };
    assert!(
        retry_after > Duration::ZERO && retry_after <= 10 * SECOND,
        "{retry_after:?}"
    );
}
