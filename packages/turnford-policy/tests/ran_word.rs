//! `ran` is "no" only if nothing can have run.

use turnford_policy::AttemptEvidence;
use turnford_policy::ClaimEvidence;
use turnford_policy::RanStatus;
use turnford_policy::RequestEvidence;
use turnford_policy::ResultCode;

/// Returns the value of `ran` after attempts with these outcomes.
fn status_after(outcomes: &[AttemptEvidence]) -> RanStatus {
    let mut evidence = RequestEvidence::default();
    for outcome in outcomes {
        evidence.record_send();
        evidence.record_end(*outcome);
    }
    evidence.ran()
}

#[test]
fn nothing_sent() {
    assert_eq!(RequestEvidence::default().ran(), RanStatus::No);
    assert_eq!(status_after(&[AttemptEvidence::NotSent]), RanStatus::No);
    assert_eq!(
        status_after(&[AttemptEvidence::RefusedBeforeStart]),
        RanStatus::No
    );
}

#[test]
fn doubt_stays() {
    use AttemptEvidence::NotSent;
    use AttemptEvidence::Unknown;

    assert_eq!(status_after(&[Unknown, NotSent]), RanStatus::Unknown);
    assert_eq!(
        status_after(&[NotSent, AttemptEvidence::Sent]),
        RanStatus::Unknown
    );
    assert_eq!(
        status_after(&[Unknown, AttemptEvidence::Ran]),
        RanStatus::Yes
    );
}

#[test]
fn open_attempt() {
    // The outcome of a request that is cancelled between send and response is unknown.
    let mut evidence = RequestEvidence::default();
    evidence.record_send();
    assert_eq!(evidence.ran(), RanStatus::Unknown);
}

#[test]
fn claimed_id() {
    assert_eq!(
        RequestEvidence::from_claim(ClaimEvidence::Ran).ran(),
        RanStatus::Yes
    );
    assert_eq!(
        RequestEvidence::from_claim(ClaimEvidence::MayHaveRun).ran(),
        RanStatus::Unknown
    );
}

#[test]
fn stable_codes() {
    let mut numbers: Vec<u16> = ResultCode::ALL.iter().map(|code| code.number()).collect();
    let sorted = numbers.clone();
    numbers.sort_unstable();
    numbers.dedup();
    assert_eq!(numbers, sorted, "codes are not unique and ascending");
    let complete: Vec<u16> = ResultCode::ALL
        .iter()
        .filter(|code| code.is_complete())
        .map(|code| code.number())
        .collect();
    assert_eq!(complete, [0, 1, 2]);
}
