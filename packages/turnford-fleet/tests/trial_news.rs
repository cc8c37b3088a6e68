//! The next copy of a suspect runs only when the outcome of the previous one is known.

use std::sync::Arc;
use std::time::Duration;

use turnford_fleet::CrashEvent;
use turnford_fleet::CrashKeys;
use turnford_fleet::CrashPart;
use turnford_fleet::CrashSuspect;
use turnford_fleet::CrashTable;
use turnford_fleet::CrashUpdate;
use turnford_fleet::Moment;
use turnford_fleet::TrialAdmission;
use turnford_fleet::TrialTable;
use turnford_policy::RequestDigest;

const DIGEST: RequestDigest = RequestDigest([1; 16]);

const START: Moment = Duration::from_secs(10);

const MS: Duration = Duration::from_millis(1);

/// A node that places requests.
#[derive(Default)]
struct Placer {
    table: CrashTable,
    trials: TrialTable,
}

impl Placer {
    fn apply(&mut self, now: Moment, event: CrashEvent) {
        let update = CrashUpdate {
            digest: DIGEST.0,
            event,
            age_ms: 0,
        };
        assert!(self.table.apply(now, &update));
    }

    fn crash(&mut self, now: Moment, target: &str, part: CrashPart) {
        let event = CrashEvent::Crashed {
            target: target.to_owned(),
            born: 1,
            part,
            is_cleared: false,
        };
        self.apply(now, event);
    }

    fn admit(&mut self, now: Moment) -> TrialAdmission {
        let suspect = self.suspect(now);
        self.trials.admit(now, suspect.as_ref())
    }

    fn suspect(&self, now: Moment) -> Option<CrashSuspect> {
        self.table.suspect(now, &CrashKeys::of_request(DIGEST))
    }

    /// Runs a copy on trial that ends without an update about its outcome.
    fn run_trial(&mut self) {
        self.crash(START, "one", CrashPart::Shared);
        self.crash(START, "two", CrashPart::Shared);
        let entry = self.admit(START);
        assert!(matches!(
            entry,
            TrialAdmission::OnTrial { is_alone: true, .. }
        ));
        let ends_by = START + 10_000 * MS;
        let suspect = self.suspect(START).expect("a suspect");
        self.trials
            .start(1, suspect, Arc::from("three"), true, ends_by);
        self.trials.end(1);
    }
}

/// Guards against sending another copy before the crash caused by the last one is known.
#[test]
fn unknown_end() {
    let mut placer = Placer::default();
    placer.run_trial();
    assert_eq!(placer.admit(START + MS), TrialAdmission::Wait);
    assert_eq!(placer.admit(START + 500 * MS), TrialAdmission::Wait);
    // Crashes caused by earlier copies say nothing about this trial.
    placer.crash(START + 500 * MS, "four", CrashPart::Shared);
    assert_eq!(placer.admit(START + 500 * MS), TrialAdmission::Wait);
    placer.crash(START + 600 * MS, "three", CrashPart::BegunTrial);
    let entry = placer.admit(START + 600 * MS);
    assert!(matches!(entry, TrialAdmission::OnTrial { .. }));
}

/// Guards against a cleared request that waits for an update it no longer needs.
#[test]
fn good_end() {
    let mut placer = Placer::default();
    placer.run_trial();
    placer.apply(START + 2 * MS, CrashEvent::EndedWell);
    assert_eq!(placer.admit(START + 2 * MS), TrialAdmission::Unrestricted);
}

/// Guards against a suspect that never runs again because an update was lost.
#[test]
fn lost_news() {
    let mut placer = Placer::default();
    placer.run_trial();
    assert_eq!(placer.admit(START + MS), TrialAdmission::Wait);
    let entry = placer.admit(START + 2_000 * MS);
    assert!(matches!(entry, TrialAdmission::OnTrial { .. }));
}
