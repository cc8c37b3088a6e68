//! Requests are admitted by the remaining work of all admitted ones in every stage.

use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;
use turnford_policy::FlowController;
use turnford_policy::FlowRequest;
use turnford_policy::FlowStage;
use turnford_policy::FlowTicket;
use turnford_policy::Moment;
use turnford_policy::StageRate;

/// Rates of a fast first stage, and of a second one with a hundred results per second.
fn rate_of(service: &str) -> Option<StageRate> {
    let nominal = match service {
        "first" => 1000.0,
        "second" => 100.0,
        _ => return None,
    };
    Some(StageRate {
        nominal,
        call_overhead: Duration::from_millis(100),
        piece_time: Duration::ZERO,
        max_pieces: 10,
        available_in: Duration::ZERO,
    })
}

fn request(ranks: (u8, u8)) -> FlowRequest {
    let stage = |service: &str, pieces, inputs| FlowStage {
        service: Arc::from(service),
        pieces,
        inputs,
    };
    FlowRequest {
        stages: vec![stage("first", 1, vec![]), stage("second", 10, vec![0])],
        ranks,
        time_budget: Duration::from_secs(2),
        deadline: Duration::from_secs(60),
    }
}

fn admit(controller: &mut FlowController, now: Moment, ranks: (u8, u8)) -> Option<FlowTicket> {
    let admitted = controller.admit(now, &request(ranks), rate_of).ok();
    admitted.map(|(ticket, _)| ticket)
}

fn admit_all(
    controller: &mut FlowController,
    now: Moment,
    ranks: (u8, u8),
    count: usize,
) -> Vec<u64> {
    (0..count)
        .filter_map(|_| admit(controller, now, ranks))
        .collect()
}

#[test]
fn later_stage() {
    // Nothing has reached the second stage yet. It can finish the pieces of 19 requests before the
    // last one starts.
    let mut controller = FlowController::default();
    let admitted = admit_all(&mut controller, Moment::ZERO, (1, 1), 50);
    assert_eq!(admitted.len(), 20);
    assert_eq!(controller.backlog("second"), 200);
    let refused = controller.admit(Moment::ZERO, &request((1, 1)), rate_of);
    assert_eq!(
        refused.map_err(|refusal| refusal.lateness),
        Err(Duration::from_millis(100))
    );
}

#[test]
fn forecast_follows() {
    let mut controller = FlowController::default();
    let tickets = admit_all(&mut controller, Moment::ZERO, (1, 1), 20);
    let end = |controller: &FlowController, is_late| {
        let forecast = controller.forecast(tickets[10], is_late, rate_of);
        forecast.expect("it is admitted").end()
    };
    // A hundred pieces go before its own, ten per call of 100 ms. If it is late, those of all
    // others go first.
    assert_eq!(end(&controller, false), Duration::from_millis(1100));
    assert_eq!(end(&controller, true), Duration::from_millis(2000));
    for &ticket in &tickets[..5] {
        controller.record_stage_done(ticket, 0);
        controller.record_stage_done(ticket, 1);
    }
    assert_eq!(end(&controller, false), Duration::from_millis(600));
    // More urgent requests go before it, less urgent ones don't.
    admit_all(&mut controller, Moment::ZERO, (0, 1), 2);
    admit_all(&mut controller, Moment::ZERO, (1, 1), 2);
    assert_eq!(end(&controller, false), Duration::from_millis(800));
    controller.record_end(tickets[10]);
    assert_eq!(controller.forecast(tickets[10], false, rate_of), None);
}

#[test]
fn urgent_arrivals() {
    // More urgent requests that keep arriving take half of the service. The work ahead of a less
    // urgent request takes longer, up to twice as long. Nothing changes for the urgent ones.
    let mut controller = FlowController::default();
    for window in 0..20_u64 {
        let now = Duration::from_millis(900) * u32::try_from(window).expect("small");
        for ticket in admit_all(&mut controller, now, (0, 1), 4) {
            controller.record_end(ticket);
        }
    }
    let now = Duration::from_secs(18);
    let tickets = admit_all(&mut controller, now, (1, 1), 8);
    let end = |ticket| {
        controller
            .forecast(ticket, false, rate_of)
            .map(|end| end.end())
    };
    let last = end(tickets[7]).expect("a forecast");
    let alone = Duration::from_millis(800);
    assert!(last > alone + alone / 4, "{last:?}");
    assert!(last < alone * 2, "{last:?}");
    let urgent = admit(&mut controller, now, (0, 1)).expect("a ticket");
    let urgent = controller
        .forecast(urgent, false, rate_of)
        .expect("a forecast");
    assert_eq!(urgent.end(), Duration::from_millis(200));
}

#[test]
fn no_targets() {
    // A request without targets is refused at once, and its forecast is beyond any deadline.
    let mut controller = FlowController::default();
    let ticket = admit(&mut controller, Moment::ZERO, (1, 1)).expect("a ticket");
    let without_targets = |service: &str| {
        let rate = rate_of(service)?;
        Some(StageRate {
            nominal: if service == "second" {
                0.0
            } else {
                rate.nominal
            },
            ..rate
        })
    };
    let forecast = controller
        .forecast(ticket, false, without_targets)
        .expect("a forecast");
    assert!(forecast.end() > Duration::from_secs(60));
    let refusal = controller.admit(Moment::ZERO, &request((1, 1)), without_targets);
    let refusal = refusal.expect_err("no target can serve it");
    assert!(refusal.retry_after <= Duration::from_secs(10));
}

#[test]
fn retries_spread() {
    // Requests refused together get different retry delays, and are admitted then.
    let mut controller = FlowController::default();
    let tickets = admit_all(&mut controller, Moment::ZERO, (1, 1), 20);
    let refusals = (0..8).map(|_| {
        let refused = controller.admit(Moment::ZERO, &request((1, 1)), rate_of);
        refused.expect_err("the queue is full").retry_after
    });
    let delays: Vec<Duration> = refusals.collect();
    assert!(
        delays.windows(2).all(|pair| pair[0] < pair[1]),
        "{delays:?}"
    );
    let mut ended = 0;
    for retry_after in delays {
        // A call of ten pieces, which is one request, ends every 100 ms.
        while Duration::from_millis(100) * (ended + 1) <= retry_after {
            let ticket = tickets[ended as usize];
            controller.record_stage_done(ticket, 0);
            controller.record_stage_done(ticket, 1);
            ended += 1;
        }
        assert!(
            admit(&mut controller, retry_after, (1, 1)).is_some(),
            "after {retry_after:?}"
        );
    }
}

#[test]
fn ranks_first() {
    let mut controller = FlowController::default();
    admit_all(&mut controller, Moment::ZERO, (1, 2), 50);
    assert!(admit(&mut controller, Moment::ZERO, (1, 2)).is_none());
    assert!(admit(&mut controller, Moment::ZERO, (1, 1)).is_some());
    assert!(admit(&mut controller, Moment::ZERO, (0, 2)).is_some());
}

#[test]
fn ends_release_backlog() {
    let mut controller = FlowController::default();
    let admitted = admit_all(&mut controller, Moment::ZERO, (1, 1), 50);
    for ticket in &admitted[..10] {
        controller.record_stage_done(*ticket, 0);
        controller.record_stage_done(*ticket, 1);
    }
    for ticket in &admitted[10..15] {
        controller.record_end(*ticket);
    }
    assert_eq!(controller.backlog("first"), 5);
    assert_eq!(controller.backlog("second"), 50);
    assert_eq!(
        admit_all(&mut controller, Moment::ZERO, (1, 1), 50).len(),
        15
    );
}

#[test]
fn rate_learned() {
    // The second stage is busy and makes 50 results per second, half of its nominal rate.
    let mut controller = FlowController::default();
    let mut open = admit_all(&mut controller, Moment::ZERO, (1, 1), 50);
    for ticket in &open {
        controller.record_stage_done(*ticket, 0);
    }
    for step in 1..=30_u32 {
        let now = Duration::from_millis(200) * step;
        let oldest = open.remove(0);
        controller.record_stage_done(oldest, 1);
        let admitted = admit_all(&mut controller, now, (1, 1), 5);
        for ticket in admitted {
            controller.record_stage_done(ticket, 0);
            open.push(ticket);
        }
    }
    // Two seconds of work at 50 results per second are ten requests, not twenty.
    assert!(
        open.len() <= 13,
        "{} requests are admitted at a time",
        open.len()
    );
}

#[test]
fn unreported_end() {
    let mut controller = FlowController::default();
    admit_all(&mut controller, Moment::ZERO, (1, 1), 50);
    let after_deadline = Duration::from_secs(63);
    assert!(admit(&mut controller, after_deadline, (1, 1)).is_some());
    assert_eq!(controller.backlog("second"), 10);
}

proptest! {
    #[test]
    fn no_leftovers(steps in prop::collection::vec((0_u8..4, 0_usize..40, 0_usize..3), 1..200)) {
        // In whatever order events are recorded, ended requests leave no backlog behind.
        let mut controller = FlowController::default();
        let mut tickets = Vec::new();
        for (number, (step, which, stage)) in (1_u32..).zip(steps) {
            let now = Duration::from_millis(20) * number;
            let ticket = tickets.get(which).copied().unwrap_or(0);
            match step {
                0 | 1 => tickets.extend(admit(&mut controller, now, (step, 1))),
                2 => controller.record_stage_done(ticket, stage),
                _ => controller.record_end(ticket),
            }
        }
        for ticket in tickets {
            controller.record_end(ticket);
        }
        prop_assert_eq!(controller.backlog("first"), 0);
        prop_assert_eq!(controller.backlog("second"), 0);
    }
}
