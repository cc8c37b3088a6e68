//! Invariants of a pool under any order of events, and its scheduling, health and load rules.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::proptest_config;
use proptest::prelude::*;
use turnford_policy::HealthState;
use turnford_policy::LoadReport;
use turnford_policy::Moment;
use turnford_policy::PoolSettings;
use turnford_policy::QueueDecision;
use turnford_policy::ResultCode;
use turnford_policy::ServicePool;
use turnford_policy::StageOutcome;
use turnford_policy::StagePlacement;
use turnford_policy::StageWork;
use turnford_policy::SubmitResult;
use turnford_policy::TargetFacts;

const TARGETS: usize = 5;
const SLOTS: u32 = 2;
const STAGE_TIME: Duration = Duration::from_millis(50);

fn facts(number: usize) -> TargetFacts {
    TargetFacts {
        id: Arc::from(format!("t-{number}")),
        hardware: Arc::from("plain"),
        slots: SLOTS,
        cost: 1.0,
        one_way_delay: Duration::ZERO,
        models: Vec::new(),
    }
}

fn pool(limit: usize) -> ServicePool {
    let settings = PoolSettings {
        queue_limit: limit,
        ..PoolSettings::default()
    };
    let mut pool = ServicePool::new(settings);
    pool.apply_list((0..TARGETS).map(facts).collect());
    pool
}

fn work(now: Moment, account: &str, class: u8) -> StageWork {
    StageWork {
        account: Arc::from(account),
        class,
        share: 1.0,
        cost_weight: 0.0,
        length: 100,
        expected_time: STAGE_TIME,
        latest_start: now + Duration::from_millis(800),
        latest_end: now + Duration::from_millis(900),
        infeasible_after: now + Duration::from_millis(900),
        model: None,
        prefix: None,
        tried: Vec::new(),
    }
}

fn expect_placement(result: SubmitResult) -> StagePlacement {
    match result {
        SubmitResult::Run(placement) => placement,
        other => panic!("not placed: {other:?}"),
    }
}

/// Fills all slots and returns the placements.
fn fill(pool: &mut ServicePool, now: Moment) -> Vec<StagePlacement> {
    let count = TARGETS * SLOTS as usize;
    (0..count)
        .map(|_| expect_placement(pool.submit(now, work(now, "a", 1))))
        .collect()
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Submit { class: u8 },
    Finish { index: usize, outcome: StageOutcome },
    Report { target: usize, inflight: u32 },
    Leave { target: usize },
    Cancel { index: usize },
    Wait { millis: u64 },
}

fn event() -> impl Strategy<Value = Event> {
    let outcome = prop_oneof![
        5 => Just(StageOutcome::Completed),
        1 => Just(StageOutcome::Failed),
        1 => Just(StageOutcome::TimedOut),
        1 => Just(StageOutcome::RefusedFull),
        1 => Just(StageOutcome::Cancelled),
    ];
    prop_oneof![
        8 => (0_u8..4).prop_map(|class| Event::Submit { class }),
        6 => (any::<usize>(), outcome).prop_map(|(index, outcome)| Event::Finish { index, outcome }),
        2 => (0..TARGETS, 0_u32..6).prop_map(|(target, inflight)| Event::Report { target, inflight }),
        1 => (0..TARGETS).prop_map(|target| Event::Leave { target }),
        1 => any::<usize>().prop_map(|index| Event::Cancel { index }),
        3 => (1_u64..300).prop_map(|millis| Event::Wait { millis }),
    ]
}

proptest! {
    #![proptest_config(proptest_config(2000))]

    #[test]
    fn counted_right(events in prop::collection::vec(event(), 1..150)) {
        let mut pool = pool(6);
        let mut now = Moment::ZERO;
        let mut running: Vec<StagePlacement> = Vec::new();
        let mut queued: Vec<u64> = Vec::new();
        let mut is_leaving = [false; TARGETS];
        for event in events {
            let mut new = Vec::new();
            match event {
                Event::Submit { class } => match pool.submit(now, work(now, "a", class)) {
                    SubmitResult::Run(placement) => new.push(placement),
                    SubmitResult::Queued(ticket) => queued.push(ticket),
                    SubmitResult::Refused { .. } => (),
                },
                Event::Finish { index, outcome } if !running.is_empty() => {
                    let placement = running.remove(index % running.len());
                    pool.finish(now, &placement, outcome);
                }
                Event::Report { target, inflight } => {
                    let report = LoadReport { inflight, taken_at: now };
                    pool.apply_report(&format!("t-{target}"), report);
                }
                Event::Leave { target } => {
                    is_leaving[target] = true;
                    pool.mark_leaving(now, &format!("t-{target}"));
                }
                Event::Cancel { index } if !queued.is_empty() => {
                    let ticket = queued.remove(index % queued.len());
                    prop_assert!(pool.cancel(ticket), "queued work was not in the queue");
                }
                Event::Wait { millis } => now += Duration::from_millis(millis),
                _ => (),
            }
            for decision in pool.dispatch(now) {
                let ticket = match decision {
                    QueueDecision::Run(ticket, placement) => {
                        new.push(placement);
                        ticket
                    }
                    QueueDecision::Shed(ticket, code) => {
                        let known = matches!(code, ResultCode::Shed | ResultCode::QueueFull);
                        prop_assert!(known, "{code:?}");
                        ticket
                    }
                };
                let at = queued.iter().position(|known| *known == ticket);
                prop_assert!(at.is_some(), "decision for work that is not queued");
                queued.remove(at.unwrap_or(0));
            }
            for placement in new {
                let number: usize = placement.target[2..].parse().expect("names are numbered");
                prop_assert!(!is_leaving[number], "new work at a leaving target");
                running.push(placement);
            }
            let summary = pool.summary(now);
            prop_assert_eq!(summary.inflight as usize, running.len());
            prop_assert_eq!(summary.queued, queued.len());
            prop_assert!(queued.len() <= 6, "the queue grew to {}", queued.len());
            let most = pool.views().iter().map(|view| view.own_inflight()).max().unwrap_or(0);
            prop_assert!(most <= SLOTS, "{} calls in {} slots", most, SLOTS);
        }
    }
}

#[test]
fn class_first() {
    let mut pool = pool(10);
    let now = Moment::ZERO;
    let running = fill(&mut pool, now);
    let mut tickets = Vec::new();
    for class in [2, 0, 1] {
        match pool.submit(now, work(now, "a", class)) {
            SubmitResult::Queued(ticket) => tickets.push(ticket),
            other => panic!("not queued: {other:?}"),
        }
    }
    let mut order = Vec::new();
    for placement in &running[..3] {
        pool.finish(now + STAGE_TIME, placement, StageOutcome::Completed);
        for decision in pool.dispatch(now + STAGE_TIME) {
            if let QueueDecision::Run(ticket, _) = decision {
                order.push(ticket);
            }
        }
    }
    assert_eq!(order, [tickets[1], tickets[2], tickets[0]]);
}

#[test]
fn fair_accounts() {
    // Two items of a small account don't wait behind a large account's burst of 20.
    let mut pool = pool(50);
    let now = Moment::ZERO;
    let running = fill(&mut pool, now);
    for _ in 0..20 {
        assert!(matches!(
            pool.submit(now, work(now, "large", 1)),
            SubmitResult::Queued(_)
        ));
    }
    let small: Vec<u64> = (0..2)
        .map(|_| match pool.submit(now, work(now, "small", 1)) {
            SubmitResult::Queued(ticket) => ticket,
            other => panic!("not queued: {other:?}"),
        })
        .collect();
    let mut order = Vec::new();
    for placement in &running[..4] {
        pool.finish(now + STAGE_TIME, placement, StageOutcome::Completed);
        for decision in pool.dispatch(now + STAGE_TIME) {
            if let QueueDecision::Run(ticket, _) = decision {
                order.push(ticket);
            }
        }
    }
    assert!(
        small.iter().all(|ticket| order.contains(ticket)),
        "{order:?}"
    );
}

#[test]
fn lowest_class_dropped() {
    // A full queue accepts work of a higher class and drops the lowest.
    let mut pool = pool(2);
    let now = Moment::ZERO;
    fill(&mut pool, now);
    for _ in 0..2 {
        assert!(matches!(
            pool.submit(now, work(now, "a", 3)),
            SubmitResult::Queued(_)
        ));
    }
    assert!(matches!(
        pool.submit(now, work(now, "a", 0)),
        SubmitResult::Queued(_)
    ));
    let decisions = pool.dispatch(now);
    assert!(
        matches!(
            decisions[..],
            [QueueDecision::Shed(_, ResultCode::QueueFull)]
        ),
        "{decisions:?}"
    );
    let refused = pool.submit(now, work(now, "a", 3));
    assert!(matches!(
        refused,
        SubmitResult::Refused {
            code: ResultCode::QueueFull,
            ..
        }
    ));
}

#[test]
fn infeasible_shed() {
    let mut pool = pool(10);
    let now = Moment::ZERO;
    fill(&mut pool, now);
    assert!(matches!(
        pool.submit(now, work(now, "a", 0)),
        SubmitResult::Queued(_)
    ));
    let decisions = pool.dispatch(now + Duration::from_secs(1));
    assert!(
        matches!(decisions[..], [QueueDecision::Shed(_, ResultCode::Shed)]),
        "{decisions:?}"
    );
}

/// Runs 40 rounds of calls, which fail at the `bad` targets, and returns the number of failed
/// calls.
fn run_rounds(pool: &mut ServicePool, bad: &[usize], calls: usize) -> usize {
    let mut failed_calls = 0;
    for round in 0..40 {
        let now = Duration::from_millis(100 * round as u64);
        let placements: Vec<_> = (0..calls)
            .map(|_| expect_placement(pool.submit(now, work(now, "a", 1))))
            .collect();
        for placement in placements {
            let number: usize = placement.target[2..].parse().expect("names are numbered");
            if bad.contains(&number) {
                failed_calls += 1;
                // Failures are fast, which must not make the target attractive.
                pool.finish(
                    now + Duration::from_millis(1),
                    &placement,
                    StageOutcome::Failed,
                );
            } else {
                pool.finish(now + STAGE_TIME, &placement, StageOutcome::Completed);
            }
        }
    }
    failed_calls
}

#[test]
fn fast_failures() {
    let mut pool = pool(10);
    let failed_calls = run_rounds(&mut pool, &[2], 4);
    assert!(
        failed_calls <= 12,
        "{failed_calls} of 160 calls went to the failing target"
    );
}

#[test]
fn fail_open() {
    // If all targets fail alike, none is an outlier and they stay in use.
    let mut pool = pool(10);
    run_rounds(&mut pool, &[0, 1, 2, 3, 4], 4);
    assert!(
        pool.summary(Moment::ZERO).ejected <= 1,
        "{:?}",
        pool.summary(Moment::ZERO)
    );
}

#[test]
fn probation() {
    let mut pool = pool(10);
    // With all slots in use the failing target gets its share of calls.
    for _ in 0..3 {
        for placement in fill(&mut pool, Moment::ZERO) {
            let failed = &*placement.target == "t-2";
            let outcome = if failed {
                StageOutcome::Failed
            } else {
                StageOutcome::Completed
            };
            pool.finish(STAGE_TIME, &placement, outcome);
        }
    }
    assert!(pool.views()[2].health.is_ejected());
    // After the ejection the target gets one call at a time and is healthy after three successes.
    let now = Duration::from_secs(60);
    let mut probe_count = 0;
    for _ in 0..40 {
        let placements: Vec<_> = (0..8)
            .map(|_| expect_placement(pool.submit(now, work(now, "a", 1))))
            .collect();
        let probe_calls = placements
            .iter()
            .filter(|placement| &*placement.target == "t-2")
            .count();
        let healthy = pool.views()[2].health.state == HealthState::Healthy;
        assert!(
            healthy || probe_calls <= 1,
            "{probe_calls} calls at a target on probation"
        );
        probe_count += probe_calls;
        for placement in &placements {
            pool.finish(now + STAGE_TIME, placement, StageOutcome::Completed);
        }
    }
    assert!(probe_count >= 3 && pool.views()[2].health.state == HealthState::Healthy);
}

#[test]
fn stale_report() {
    // Calls of this node that a report includes must not be counted twice.
    let mut pool = pool(10);
    let first =
        expect_placement(pool.submit(Duration::from_millis(100), work(Moment::ZERO, "a", 1)));
    let taken_at = Duration::from_millis(200);
    pool.apply_report(
        &first.target,
        LoadReport {
            inflight: 1,
            taken_at,
        },
    );
    let view = pool
        .views()
        .iter()
        .find(|view| view.facts.id == first.target);
    let inflight = view.map(|view| view.inflight(Duration::from_millis(300)));
    assert_eq!(inflight, Some(1.0));
}

#[test]
fn cold_pool() {
    // Without measurements, a call that has run for 2 s is a lower bound of the expected time.
    let mut pool = pool(10);
    expect_placement(pool.submit(Moment::ZERO, work(Moment::ZERO, "a", 1)));
    assert_eq!(
        pool.expected_time(Duration::from_secs(2), 100),
        Duration::from_secs(2)
    );
    // The mean of the peers is used until this node has its own measurements.
    let mut other = ServicePool::new(PoolSettings::default());
    other.apply_peer_mean(Duration::from_millis(700));
    assert_eq!(
        other.expected_time(Moment::ZERO, 100),
        Duration::from_millis(700)
    );
}

#[test]
fn restarted_target() {
    // A target that was restarted in place after leaving gets work once its own report is recent
    // enough.
    let mut pool = pool(10);
    let second = Duration::from_secs(1);
    assert!(pool.mark_leaving(second, "t-1"));
    assert!(
        !pool.mark_active("t-1", second * 3),
        "an old report brought the target back"
    );
    assert!(pool.mark_active("t-1", second * 9));
    // Its own report is ignored while the VM list marks it as leaving.
    assert!(pool.apply_listed_leaving(second * 10, "t-1", true));
    assert!(!pool.mark_active("t-1", second * 30));
}
