//! Over all nodes no window holds more repeats than its share of the requests and the slack.

mod common;

use std::time::Duration;

use common::histories;
use proptest::prelude::*;
use turnford_policy::RetryAllowance;

const WINDOW: Duration = Duration::from_secs(10);
const RATIO: f64 = 0.2;
const SLACK: f64 = 52.0;

#[derive(Clone, Debug)]
struct Step {
    node: usize,
    pause_ms: u64,
    firsts: usize,
    repeats: usize,
    restarts: bool,
}

fn step() -> impl Strategy<Value = Step> {
    (0_usize..8, 0_u64..800, 0_usize..12, 0_usize..30, 0_u8..40).prop_map(
        |(node, pause_ms, firsts, repeats, restart)| Step {
            node,
            pause_ms,
            firsts,
            repeats,
            restarts: restart == 0,
        },
    )
}

proptest! {
    #![proptest_config(histories(200))]

    #[test]
    fn never_over(steps in prop::collection::vec(step(), 1..150)) {
        // Each node has the slack's part of ten nodes, as many as may live.
        let fresh = || RetryAllowance::new(WINDOW, RATIO, SLACK / 10.0);
        let mut nodes: Vec<RetryAllowance> = (0..8).map(|_| fresh()).collect();
        let mut restarted = 0_u32;
        let mut now = Duration::ZERO;
        let mut firsts: Vec<Duration> = Vec::new();
        let mut repeats: Vec<Duration> = Vec::new();
        for step in steps {
            now += Duration::from_millis(step.pause_ms);
            if step.restarts && restarted < 2 {
                // A new process has an empty window; two nodes' parts of the slack are spare.
                nodes[step.node] = fresh();
                restarted += 1;
            }
            for _ in 0..step.firsts {
                nodes[step.node].record_first_attempt(now);
                firsts.push(now);
            }
            for _ in 0..step.repeats {
                if nodes[step.node].try_take(now) {
                    repeats.push(now);
                }
            }
            let begin = now.saturating_sub(WINDOW);
            let within = |at: &&Duration| **at >= begin;
            let asked = firsts.iter().filter(within).count() as f64;
            let made = repeats.iter().filter(within).count() as f64;
            // The ratio's repeats of a process that is gone count beside the new one's.
            let lost = if restarted > 0 { RATIO * asked } else { 0.0 };
            prop_assert!(made <= RATIO * asked + SLACK + lost, "{made} repeats for {asked}");
        }
    }
}

#[test]
fn all_or_none() {
    let mut allowance = RetryAllowance::new(WINDOW, RATIO, 3.0);
    assert!(!allowance.try_take_many(Duration::ZERO, 4));
    assert!(allowance.try_take_many(Duration::ZERO, 3));
    assert!(!allowance.try_take(Duration::from_secs(9)));
    assert!(allowance.try_take(Duration::from_secs(11)));
}
