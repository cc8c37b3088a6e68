//! "Not run" is said only where it is true.

use turnford_policy::AttemptEvidence;
use turnford_policy::ClaimKnowledge;
use turnford_policy::RanWord;
use turnford_policy::RequestEvidence;
use turnford_policy::ResultCode;

/// Returns the word after attempts that ended so.
fn word_after(ends: &[AttemptEvidence]) -> RanWord {
    let mut evidence = RequestEvidence::default();
    for end in ends {
        evidence.note_send();
        evidence.note_end(*end);
    }
    evidence.ran()
}

#[test]
fn nothing_sent() {
    assert_eq!(RequestEvidence::default().ran(), RanWord::No);
    assert_eq!(word_after(&[AttemptEvidence::NotSent]), RanWord::No);
    assert_eq!(
        word_after(&[AttemptEvidence::RefusedBeforeStart]),
        RanWord::No
    );
}

#[test]
fn doubt_stays() {
    use AttemptEvidence::NotSent;
    use AttemptEvidence::Unknown;

    assert_eq!(word_after(&[Unknown, NotSent]), RanWord::Unknown);
    assert_eq!(
        word_after(&[NotSent, AttemptEvidence::Sent]),
        RanWord::Unknown
    );
    assert_eq!(word_after(&[Unknown, AttemptEvidence::Ran]), RanWord::Yes);
}

#[test]
fn open_attempt() {
    // A request that is cut off between the send and the answer does not know.
    let mut evidence = RequestEvidence::default();
    evidence.note_send();
    assert_eq!(evidence.ran(), RanWord::Unknown);
}

#[test]
fn used_id() {
    assert_eq!(
        RequestEvidence::from_claim(ClaimKnowledge::Ran).ran(),
        RanWord::Yes
    );
    assert_eq!(
        RequestEvidence::from_claim(ClaimKnowledge::MayHaveRun).ran(),
        RanWord::Unknown
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
        .filter(|code| code.is_whole())
        .map(|code| code.number())
        .collect();
    assert_eq!(whole, [0, 1, 2]);
}
