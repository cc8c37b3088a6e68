//! The next copy of a suspect runs once it is known how the one before ended.

use std::sync::Arc;
use std::time::Duration;

use turnford_fleet::CrashEvent;
use turnford_fleet::CrashPart;
use turnford_fleet::CrashTable;
use turnford_fleet::CrashUpdate;
use turnford_fleet::Moment;
use turnford_fleet::TrialAdmission;
use turnford_fleet::TrialTable;
use turnford_policy::RequestDigest;

const DIGEST: RequestDigest = RequestDigest([1; 16]);

const BEGIN: Moment = Duration::from_secs(10);

const MS: Duration = Duration::from_millis(1);

/// A node that places.
#[derive(Default)]
struct Placer {
    table: CrashTable,
    ledger: TrialTable,
}

impl Placer {
    fn hear(&mut self, now: Moment, event: CrashEvent) {
        let news = CrashUpdate {
            digest: DIGEST.0,
            event,
            age_ms: 0,
        };
        assert!(self.table.apply(now, &news));
    }

    fn crash(&mut self, now: Moment, target: &str, part: CrashPart) {
        let event = CrashEvent::Crashed {
            target: target.to_owned(),
            born: 1,
            part,
            is_cleared: false,
        };
        self.hear(now, event);
    }

    fn enter(&mut self, now: Moment) -> TrialAdmission {
        let verdict = self.table.verdict(now, &DIGEST);
        self.ledger.admit(now, &DIGEST, verdict)
    }

    /// Lets a copy run on trial, and end without news of how it ended.
    fn run_trial(&mut self) {
        self.crash(BEGIN, "one", CrashPart::Shared);
        self.crash(BEGIN, "two", CrashPart::Shared);
        let entry = self.enter(BEGIN);
        assert!(matches!(
            entry,
            TrialAdmission::OnTrial { is_alone: true, .. }
        ));
        let ends_by = BEGIN + 10_000 * MS;
        self.ledger
            .start(1, DIGEST, Arc::from("three"), true, ends_by);
        self.ledger.end(1);
    }
}

/// Guards against a further copy that is sent before the crash under the last one is known.
#[test]
fn unknown_end() {
    let mut placer = Placer::default();
    placer.run_trial();
    assert_eq!(placer.enter(BEGIN + MS), TrialAdmission::Held);
    assert_eq!(placer.enter(BEGIN + 500 * MS), TrialAdmission::Held);
    // Crashes that other copies caused before tell nothing of this one.
    placer.crash(BEGIN + 500 * MS, "four", CrashPart::Shared);
    assert_eq!(placer.enter(BEGIN + 500 * MS), TrialAdmission::Held);
    placer.crash(BEGIN + 600 * MS, "three", CrashPart::BegunTrial);
    let entry = placer.enter(BEGIN + 600 * MS);
    assert!(matches!(entry, TrialAdmission::OnTrial { .. }));
}

/// Guards against a cleared request that waits for news it no longer needs.
#[test]
fn good_end() {
    let mut placer = Placer::default();
    placer.run_trial();
    placer.hear(BEGIN + 2 * MS, CrashEvent::EndedWell);
    assert_eq!(placer.enter(BEGIN + 2 * MS), TrialAdmission::Unrestricted);
}

/// Guards against a suspect that never runs again where no news comes.
#[test]
fn lost_news() {
    let mut placer = Placer::default();
    placer.run_trial();
    assert_eq!(placer.enter(BEGIN + MS), TrialAdmission::Held);
    let entry = placer.enter(BEGIN + 2_000 * MS);
    assert!(matches!(entry, TrialAdmission::OnTrial { .. }));
}
