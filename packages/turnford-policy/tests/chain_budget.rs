//! Admission over all stages, deadline budgets, account limits, retry budgets and time estimates.

use std::sync::Arc;
use std::time::Duration;

use turnford_policy::plan_admission;
use turnford_policy::AccountLimit;
use turnford_policy::AdmissionPlan;
use turnford_policy::AttemptSource;
use turnford_policy::DeadlineBudget;
use turnford_policy::DecayingHistogram;
use turnford_policy::LimitRefusal;
use turnford_policy::Moment;
use turnford_policy::ProbeGate;
use turnford_policy::RetryBudget;
use turnford_policy::StageDemand;
use turnford_policy::StageEstimates;

const fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn demand(wait: u64, reserve: u64) -> StageDemand {
    StageDemand {
        wait: millis(wait),
        expected_time: millis(reserve),
        reserve: millis(reserve),
    }
}

#[test]
fn late_stage() {
    // A long queue at the third stage is considered before the first stage starts.
    let stages = [demand(0, 100), demand(0, 100), demand(3_900, 200)];
    let plan = plan_admission(Moment::ZERO, millis(4_000), &stages, None);
    assert!(matches!(plan, AdmissionPlan::Refuse { retry_after } if retry_after == millis(100)));
    // The queue drains while the first stages run, so their time is not added to the wait.
    let stages = [demand(0, 100), demand(0, 100), demand(3_700, 200)];
    assert!(matches!(
        plan_admission(Moment::ZERO, millis(4_000), &stages, None),
        AdmissionPlan::Admit(_)
    ));
}

#[test]
fn stage_limits() {
    let budget = DeadlineBudget::new(millis(1_000), vec![millis(100), millis(200), millis(300)]);
    assert_eq!(budget.latest_end(0), millis(500));
    assert_eq!(budget.latest_start(2), millis(700));
    assert_eq!(budget.reserve_from(1), millis(500));
}

#[test]
fn rate_and_concurrency() {
    let mut limit = AccountLimit::new(Moment::ZERO, 2.0, 3);
    assert_eq!(limit.start(Moment::ZERO), Ok(()));
    assert_eq!(limit.start(Moment::ZERO), Ok(()));
    let retry_after = millis(500);
    assert_eq!(
        limit.start(Moment::ZERO),
        Err(LimitRefusal::Rate { retry_after })
    );
    assert_eq!(limit.start(millis(600)), Ok(()));
    let full = limit.start(millis(5_000));
    assert!(
        matches!(full, Err(LimitRefusal::Concurrency { .. })),
        "{full:?}"
    );
    limit.finish();
    assert_eq!(limit.start(millis(5_000)), Ok(()));
    assert_eq!(limit.take_arrivals(), 6);
}

#[test]
fn lowered_rate() {
    // Tokens accumulated at a higher rate are not spent at a lower one.
    let mut limit = AccountLimit::new(Moment::ZERO, 100.0, 1_000);
    limit.set(Moment::ZERO, 1.0, 1_000);
    assert_eq!(limit.start(Moment::ZERO), Ok(()));
    assert!(limit.start(Moment::ZERO).is_err());
}

#[test]
fn retry_ratio() {
    let mut budget = RetryBudget::new();
    while budget.try_take() {}
    let retries = (0..1_000).filter(|_| {
        budget.record_first_attempt();
        budget.try_take()
    });
    let count = retries.count();
    assert!(
        (99..=100).contains(&count),
        "{count} retries for 1,000 first tries"
    );
}

#[test]
fn decayed_samples() {
    let mut histogram = DecayingHistogram::new(Duration::from_secs(10));
    for _ in 0..100 {
        histogram.record(Moment::ZERO, millis(100));
    }
    // After five half-lives a few new samples outweigh a hundred old ones.
    for _ in 0..10 {
        histogram.record(Duration::from_secs(50), millis(10));
    }
    let median = histogram.quantile(0.5).expect("there are samples");
    assert!(median < millis(13), "{median:?}");
}

#[test]
fn hardware_classes() {
    let mut estimates = StageEstimates::new();
    let (old, new) = (Arc::from("old"), Arc::from("new"));
    for _ in 0..20 {
        estimates.record(Moment::ZERO, &old, 100, millis(200));
        estimates.record(Moment::ZERO, &new, 100, millis(100));
    }
    assert_eq!(estimates.mean(Moment::ZERO, &old, 100), millis(200));
    assert_eq!(estimates.mean(Moment::ZERO, &new, 100), millis(100));
    assert_eq!(estimates.mean_of_length(Moment::ZERO, 100), millis(150));
}

#[test]
fn attempt_id_strings() {
    let source = AttemptSource::new(u64::MAX);
    let id = source.next_request().with_attempt(3, 2);
    assert_eq!(id.to_string().parse(), Ok(id));
    assert_ne!(source.next_request(), id.with_attempt(0, 0));
    for text in ["", "1-2-3", "1-2-3-4-5", "x-1-1-1", "1-1-999-1"] {
        assert!(
            text.parse::<turnford_policy::AttemptId>().is_err(),
            "{text}"
        );
    }
}

#[test]
fn inflated_estimates() {
    // Inflated estimates refuse all requests except for periodic probes, which update the
    // estimates.
    let stages = [demand(0, 5_000)];
    let mut probes = ProbeGate::default();
    let admitted = (0..100).filter(|number| {
        let now = millis(number * 10);
        let plan = plan_admission(now, now + millis(4_000), &stages, Some(&mut probes));
        matches!(plan, AdmissionPlan::Admit(_))
    });
    assert_eq!(admitted.count(), 4);
    // A request that only its wait makes too late is refused.
    let stages = [demand(5_000, 10)];
    let plan = plan_admission(Moment::ZERO, millis(4_000), &stages, None);
    assert!(matches!(plan, AdmissionPlan::Refuse { .. }));
}

#[test]
fn combined_deviation() {
    // Three stages with a mean of 1 s and a quantile of 1.5 s: the sum of the quantiles exceeds the
    // deadline, but all three are unlikely to be reached together.
    let stage = StageDemand {
        wait: Duration::ZERO,
        expected_time: millis(1_000),
        reserve: millis(1_500),
    };
    let plan = plan_admission(Moment::ZERO, millis(4_000), &[stage; 3], None);
    assert!(matches!(plan, AdmissionPlan::Admit(_)));
}
