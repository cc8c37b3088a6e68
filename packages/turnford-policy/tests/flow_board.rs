//! Requests are admitted by what all admitted ones still need of every stage.

use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;
use turnford_policy::FlowController;
use turnford_policy::FlowRequest;
use turnford_policy::FlowStage;
use turnford_policy::FlowTicket;
use turnford_policy::Moment;
use turnford_policy::StageRate;

/// A quick first stage, and a second one that makes a hundred results a second.
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

fn need(ranks: (u8, u8)) -> FlowRequest {
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

fn admit(board: &mut FlowController, now: Moment, ranks: (u8, u8)) -> Option<FlowTicket> {
    let admitted = board.admit(now, &need(ranks), rate_of).ok();
    admitted.map(|(ticket, _)| ticket)
}

fn admit_all(board: &mut FlowController, now: Moment, ranks: (u8, u8), count: usize) -> Vec<u64> {
    (0..count)
        .filter_map(|_| admit(board, now, ranks))
        .collect()
}

#[test]
fn later_stage() {
    // Nothing has come to the second stage yet; it can make the pieces of 19 before the last starts.
    let mut board = FlowController::default();
    let admitted = admit_all(&mut board, Moment::ZERO, (1, 1), 50);
    assert_eq!(admitted.len(), 20);
    assert_eq!(board.backlog("second"), 200);
    let late = board.admit(Moment::ZERO, &need((1, 1)), rate_of);
    assert_eq!(
        late.map_err(|refusal| refusal.lateness),
        Err(Duration::from_millis(100))
    );
}

#[test]
fn forecast_follows() {
    let mut board = FlowController::default();
    let tickets = admit_all(&mut board, Moment::ZERO, (1, 1), 20);
    let end = |board: &FlowController, is_late| {
        let forecast = board.forecast(tickets[10], is_late, rate_of);
        forecast.expect("it is admitted").end()
    };
    // A hundred pieces go before its own, ten a call of 100 ms, and all others where it is late.
    assert_eq!(end(&board, false), Duration::from_millis(1100));
    assert_eq!(end(&board, true), Duration::from_millis(2000));
    for &ticket in &tickets[..5] {
        board.record_stage_done(ticket, 0);
        board.record_stage_done(ticket, 1);
    }
    assert_eq!(end(&board, false), Duration::from_millis(600));
    // More urgent ones go before it, others don't.
    admit_all(&mut board, Moment::ZERO, (0, 1), 2);
    admit_all(&mut board, Moment::ZERO, (1, 1), 2);
    assert_eq!(end(&board, false), Duration::from_millis(800));
    board.record_end(tickets[10]);
    assert_eq!(board.forecast(tickets[10], false, rate_of), None);
}

#[test]
fn urgent_arrivals() {
    // More urgent requests that keep coming take half of the service: what is ahead of a less urgent one
    // takes longer, at most twice as long; nothing changes for the urgent ones.
    let mut board = FlowController::default();
    for window in 0..20_u64 {
        let now = Duration::from_millis(900) * u32::try_from(window).expect("small");
        for ticket in admit_all(&mut board, now, (0, 1), 4) {
            board.record_end(ticket);
        }
    }
    let now = Duration::from_secs(18);
    let tickets = admit_all(&mut board, now, (1, 1), 8);
    let end = |ticket| board.forecast(ticket, false, rate_of).map(|end| end.end());
    let last = end(tickets[7]).expect("a forecast");
    let alone = Duration::from_millis(800);
    assert!(last > alone + alone / 4, "{last:?}");
    assert!(last < alone * 2, "{last:?}");
    let urgent = admit(&mut board, now, (0, 1)).expect("a ticket");
    let urgent = board.forecast(urgent, false, rate_of).expect("a forecast");
    assert_eq!(urgent.end(), Duration::from_millis(200));
}

#[test]
fn no_targets() {
    // What no target can make is refused at once, and known to be hopeless.
    let mut board = FlowController::default();
    let ticket = admit(&mut board, Moment::ZERO, (1, 1)).expect("a ticket");
    let dead = |service: &str| {
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
    let forecast = board.forecast(ticket, false, dead).expect("a forecast");
    assert!(forecast.end() > Duration::from_secs(60));
    let refusal = board.admit(Moment::ZERO, &need((1, 1)), dead);
    let refusal = refusal.expect_err("nothing can serve it");
    assert!(refusal.retry_after <= Duration::from_secs(10));
}

#[test]
fn returns_spread() {
    // Those that are refused together are told different times, and find room then.
    let mut board = FlowController::default();
    let tickets = admit_all(&mut board, Moment::ZERO, (1, 1), 20);
    let refusals = (0..8).map(|_| {
        let refused = board.admit(Moment::ZERO, &need((1, 1)), rate_of);
        refused.expect_err("the queue is full").retry_after
    });
    let backs: Vec<Duration> = refusals.collect();
    assert!(backs.windows(2).all(|pair| pair[0] < pair[1]), "{backs:?}");
    let mut done = 0;
    for back in backs {
        // A call of ten pieces, those of one request, ends every 100 ms.
        while Duration::from_millis(100) * (done + 1) <= back {
            let ticket = tickets[done as usize];
            board.record_stage_done(ticket, 0);
            board.record_stage_done(ticket, 1);
            done += 1;
        }
        assert!(admit(&mut board, back, (1, 1)).is_some(), "after {back:?}");
    }
}

#[test]
fn ranks_first() {
    let mut board = FlowController::default();
    admit_all(&mut board, Moment::ZERO, (1, 2), 50);
    assert!(admit(&mut board, Moment::ZERO, (1, 2)).is_none());
    assert!(admit(&mut board, Moment::ZERO, (1, 1)).is_some());
    assert!(admit(&mut board, Moment::ZERO, (0, 2)).is_some());
}

#[test]
fn ends_free() {
    let mut board = FlowController::default();
    let admitted = admit_all(&mut board, Moment::ZERO, (1, 1), 50);
    for ticket in &admitted[..10] {
        board.record_stage_done(*ticket, 0);
        board.record_stage_done(*ticket, 1);
    }
    for ticket in &admitted[10..15] {
        board.record_end(*ticket);
    }
    assert_eq!(board.backlog("first"), 5);
    assert_eq!(board.backlog("second"), 50);
    assert_eq!(admit_all(&mut board, Moment::ZERO, (1, 1), 50).len(), 15);
}

#[test]
fn rate_learned() {
    // The second stage is busy and makes 50 a second, half of what it should.
    let mut board = FlowController::default();
    let mut open = admit_all(&mut board, Moment::ZERO, (1, 1), 50);
    for ticket in &open {
        board.record_stage_done(*ticket, 0);
    }
    for step in 1..=30_u32 {
        let now = Duration::from_millis(200) * step;
        let done = open.remove(0);
        board.record_stage_done(done, 1);
        let admitted = admit_all(&mut board, now, (1, 1), 5);
        for ticket in admitted {
            board.record_stage_done(ticket, 0);
            open.push(ticket);
        }
    }
    // Two seconds' work at 50 a second are ten requests, not twenty.
    assert!(open.len() <= 13, "{} are admitted at a time", open.len());
}

#[test]
fn silent_forgotten() {
    let mut board = FlowController::default();
    admit_all(&mut board, Moment::ZERO, (1, 1), 50);
    let late = Duration::from_secs(63);
    assert!(admit(&mut board, late, (1, 1)).is_some());
    assert_eq!(board.backlog("second"), 10);
}

proptest! {
    #[test]
    fn nothing_stays(steps in prop::collection::vec((0_u8..4, 0_usize..40, 0_usize..3), 1..200)) {
        // Whatever is told in whatever order, ended requests leave nothing behind.
        let mut board = FlowController::default();
        let mut tickets = Vec::new();
        for (number, (step, which, stage)) in (1_u32..).zip(steps) {
            let now = Duration::from_millis(20) * number;
            let ticket = tickets.get(which).copied().unwrap_or(0);
            match step {
                0 | 1 => tickets.extend(admit(&mut board, now, (step, 1))),
                2 => board.record_stage_done(ticket, stage),
                _ => board.record_end(ticket),
            }
        }
        for ticket in tickets {
            board.record_end(ticket);
        }
        prop_assert_eq!(board.backlog("first"), 0);
        prop_assert_eq!(board.backlog("second"), 0);
    }
}
