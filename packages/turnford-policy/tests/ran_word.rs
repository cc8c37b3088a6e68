//! "Not run" is said only where it is true.

use turnford_policy::AttemptEvidence;
use turnford_policy::ClaimEvidence;
use turnford_policy::RanStatus;
use turnford_policy::RequestEvidence;
use turnford_policy::ResultCode;

/// Returns the word after attempts that ended so.
fn word_after(ends: &[AttemptEvidence]) -> RanStatus {
    let mut evidence = RequestEvidence::default();
    for end in ends {
        evidence.record_send();
        evidence.record_end(*end);
    }
    evidence.ran()
}

#[test]
fn nothing_sent() {
    assert_eq!(RequestEvidence::default().ran(), RanStatus::No);
    assert_eq!(word_after(&[AttemptEvidence::NotSent]), RanStatus::No);
    assert_eq!(
        word_after(&[AttemptEvidence::RefusedBeforeStart]),
        RanStatus::No
    );
}

#[test]
fn doubt_stays() {
    use AttemptEvidence::NotSent;
    use AttemptEvidence::Unknown;

    assert_eq!(word_after(&[Unknown, NotSent]), RanStatus::Unknown);
    assert_eq!(
        word_after(&[NotSent, AttemptEvidence::Sent]),
        RanStatus::Unknown
    );
    assert_eq!(word_after(&[Unknown, AttemptEvidence::Ran]), RanStatus::Yes);
}

#[test]
fn open_attempt() {
    // A request that is cut off between the send and the answer does not know.
    let mut evidence = RequestEvidence::default();
    evidence.record_send();
    assert_eq!(evidence.ran(), RanStatus::Unknown);
}

#[test]
fn used_id() {
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
    assert_eq!(numbers, sorted, "codes rise and none stands twice");
    let whole: Vec<u16> = ResultCode::ALL
        .iter()
        .filter(|code| code.is_complete())
        .map(|code| code.number())
        .collect();
    assert_eq!(whole, [0, 1, 2]);
}
