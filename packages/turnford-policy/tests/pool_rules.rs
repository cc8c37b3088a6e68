//! What holds for a pool under any order of events.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::histories;
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

fn placed(offer: SubmitResult) -> StagePlacement {
    match offer {
        SubmitResult::Run(placement) => placement,
        other => panic!("not placed: {other:?}"),
    }
}

/// Fills all slots and returns the placements.
fn fill(pool: &mut ServicePool, now: Moment) -> Vec<StagePlacement> {
    let count = TARGETS * SLOTS as usize;
    (0..count)
        .map(|_| placed(pool.submit(now, work(now, "a", 1))))
        .collect()
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Offer { class: u8 },
    Finish { index: usize, outcome: StageOutcome },
    Report { target: usize, inflight: u32 },
    Leave { target: usize },
    Withdraw { index: usize },
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
        8 => (0_u8..4).prop_map(|class| Event::Offer { class }),
        6 => (any::<usize>(), outcome).prop_map(|(index, outcome)| Event::Finish { index, outcome }),
        2 => (0..TARGETS, 0_u32..6).prop_map(|(target, inflight)| Event::Report { target, inflight }),
        1 => (0..TARGETS).prop_map(|target| Event::Leave { target }),
        1 => any::<usize>().prop_map(|index| Event::Withdraw { index }),
        3 => (1_u64..300).prop_map(|millis| Event::Wait { millis }),
    ]
}

proptest! {
    #![proptest_config(histories(2000))]

    #[test]
    fn counted_right(events in prop::collection::vec(event(), 1..150)) {
        let mut pool = pool(6);
        let mut now = Moment::ZERO;
        let mut running: Vec<StagePlacement> = Vec::new();
        let mut held: Vec<u64> = Vec::new();
        let mut left = [false; TARGETS];
        for event in events {
            let mut new = Vec::new();
            match event {
                Event::Offer { class } => match pool.submit(now, work(now, "a", class)) {
                    SubmitResult::Run(placement) => new.push(placement),
                    SubmitResult::Queued(ticket) => held.push(ticket),
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
                    left[target] = true;
                    pool.mark_leaving(now, &format!("t-{target}"));
                }
                Event::Withdraw { index } if !held.is_empty() => {
                    let ticket = held.remove(index % held.len());
                    prop_assert!(pool.cancel(ticket), "held work was not in the queue");
                }
                Event::Wait { millis } => now += Duration::from_millis(millis),
                _ => (),
            }
            for verdict in pool.dispatch(now) {
                let ticket = match verdict {
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
                let at = held.iter().position(|known| *known == ticket);
                prop_assert!(at.is_some(), "a verdict for work that is not held");
                held.remove(at.unwrap_or(0));
            }
            for placement in new {
                let number: usize = placement.target[2..].parse().expect("names are numbered");
                prop_assert!(!left[number], "new work at a target that leaves");
                running.push(placement);
            }
            let summary = pool.summary(now);
            prop_assert_eq!(summary.inflight as usize, running.len());
            prop_assert_eq!(summary.queued, held.len());
            prop_assert!(held.len() <= 6, "the queue grew to {}", held.len());
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
            other => panic!("not held: {other:?}"),
        }
    }
    let mut order = Vec::new();
    for placement in &running[..3] {
        pool.finish(now + STAGE_TIME, placement, StageOutcome::Completed);
        for verdict in pool.dispatch(now + STAGE_TIME) {
            if let QueueDecision::Run(ticket, _) = verdict {
                order.push(ticket);
            }
        }
    }
    assert_eq!(order, [tickets[1], tickets[2], tickets[0]]);
}

#[test]
fn fair_accounts() {
    // A large account's burst of 20 does not keep the small account's two waiting behind it.
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
            other => panic!("not held: {other:?}"),
        })
        .collect();
    let mut order = Vec::new();
    for placement in &running[..4] {
        pool.finish(now + STAGE_TIME, placement, StageOutcome::Completed);
        for verdict in pool.dispatch(now + STAGE_TIME) {
            if let QueueDecision::Run(ticket, _) = verdict {
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
fn lowest_dropped() {
    // A full queue makes room for a higher class by dropping the lowest.
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
    let verdicts = pool.dispatch(now);
    assert!(
        matches!(
            verdicts[..],
            [QueueDecision::Shed(_, ResultCode::QueueFull)]
        ),
        "{verdicts:?}"
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
fn hopeless_shed() {
    let mut pool = pool(10);
    let now = Moment::ZERO;
    fill(&mut pool, now);
    assert!(matches!(
        pool.submit(now, work(now, "a", 0)),
        SubmitResult::Queued(_)
    ));
    let verdicts = pool.dispatch(now + Duration::from_secs(1));
    assert!(
        matches!(verdicts[..], [QueueDecision::Shed(_, ResultCode::Shed)]),
        "{verdicts:?}"
    );
}

/// Sends 40 rounds of calls of which those at `bad` targets fail.
fn rounds(pool: &mut ServicePool, bad: &[usize], calls: usize) -> usize {
    let mut at_bad = 0;
    for round in 0..40 {
        let now = Duration::from_millis(100 * round as u64);
        let placements: Vec<_> = (0..calls)
            .map(|_| placed(pool.submit(now, work(now, "a", 1))))
            .collect();
        for placement in placements {
            let number: usize = placement.target[2..].parse().expect("names are numbered");
            if bad.contains(&number) {
                at_bad += 1;
                // A failure is fast, so that it looks attractive.
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
    at_bad
}

#[test]
fn fast_failures() {
    let mut pool = pool(10);
    let at_bad = rounds(&mut pool, &[2], 4);
    assert!(
        at_bad <= 12,
        "{at_bad} of 160 calls went to the failing target"
    );
}

#[test]
fn fail_open() {
    // When every target fails alike, none is better than another and all keep serving.
    let mut pool = pool(10);
    rounds(&mut pool, &[0, 1, 2, 3, 4], 4);
    assert!(
        pool.summary(Moment::ZERO).ejected <= 1,
        "{:?}",
        pool.summary(Moment::ZERO)
    );
}

#[test]
fn slow_return() {
    let mut pool = pool(10);
    // With every slot in use the failing target gets its part, too.
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
    // After its time out the target gets one call at a time, and is trusted after three.
    let now = Duration::from_secs(60);
    let mut probed = 0;
    for _ in 0..40 {
        let placements: Vec<_> = (0..8)
            .map(|_| placed(pool.submit(now, work(now, "a", 1))))
            .collect();
        let here = placements
            .iter()
            .filter(|placement| &*placement.target == "t-2")
            .count();
        let healthy = pool.views()[2].health.state == HealthState::Healthy;
        assert!(
            healthy || here <= 1,
            "{here} calls at a target on probation"
        );
        probed += here;
        for placement in &placements {
            pool.finish(now + STAGE_TIME, placement, StageOutcome::Completed);
        }
    }
    assert!(probed >= 3 && pool.views()[2].health.state == HealthState::Healthy);
}

#[test]
fn stale_report() {
    // A report from before this node's own calls must not count them twice.
    let mut pool = pool(10);
    let first = placed(pool.submit(Duration::from_millis(100), work(Moment::ZERO, "a", 1)));
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
    // Nothing was measured yet, but a call that has run for 2 s says that calls are not short.
    let mut pool = pool(10);
    placed(pool.submit(Moment::ZERO, work(Moment::ZERO, "a", 1)));
    assert_eq!(
        pool.expected_time(Duration::from_secs(2), 100),
        Duration::from_secs(2)
    );
    // What peers measured is taken until this node has measured itself.
    let mut other = ServicePool::new(PoolSettings::default());
    other.apply_peer_mean(Duration::from_millis(700));
    assert_eq!(
        other.expected_time(Moment::ZERO, 100),
        Duration::from_millis(700)
    );
}

#[test]
fn back_again() {
    // A target that left and was started again in place takes work once its own word is new enough.
    let mut pool = pool(10);
    let second = Duration::from_secs(1);
    assert!(pool.mark_leaving(second, "t-1"));
    assert!(
        !pool.mark_active("t-1", second * 3),
        "an old report brought the target back"
    );
    assert!(pool.mark_active("t-1", second * 9));
    // While the list says that it leaves, its own word does not count.
    assert!(pool.apply_listed_leaving(second * 10, "t-1", true));
    assert!(!pool.mark_active("t-1", second * 30));
}
