//! Over all nodes, no window has more retries than the ratio of the requests and the slack allow.

mod common;

use std::time::Duration;

use common::proptest_config;
use proptest::prelude::*;
use turnford_policy::RetryAllowance;

const WINDOW: Duration = Duration::from_secs(10);
const RATIO: f64 = 0.2;
const SLACK: f64 = 52.0;

#[derive(Clone, Debug)]
struct Step {
    node: usize,
    pause_ms: u64,
    first_attempts: usize,
    retries: usize,
    restarts: bool,
}

fn step() -> impl Strategy<Value = Step> {
    (0_usize..8, 0_u64..800, 0_usize..12, 0_usize..30, 0_u8..40).prop_map(
        |(node, pause_ms, first_attempts, retries, restart)| Step {
            node,
            pause_ms,
            first_attempts,
            retries,
            restarts: restart == 0,
        },
    )
}

proptest! {
    #![proptest_config(proptest_config(200))]

    #[test]
    fn never_exceeded(steps in prop::collection::vec(step(), 1..150)) {
        // Each node has a tenth of the slack, for up to ten live nodes.
        let new_allowance = || RetryAllowance::new(WINDOW, RATIO, SLACK / 10.0);
        let mut nodes: Vec<RetryAllowance> = (0..8).map(|_| new_allowance()).collect();
        let mut restarted = 0_u32;
        let mut now = Duration::ZERO;
        let mut first_attempts: Vec<Duration> = Vec::new();
        let mut retries: Vec<Duration> = Vec::new();
        for step in steps {
            now += Duration::from_millis(step.pause_ms);
            if step.restarts && restarted < 2 {
                // A restarted process has an empty window. The slack parts of two nodes are spare.
                nodes[step.node] = new_allowance();
                restarted += 1;
            }
            for _ in 0..step.first_attempts {
                nodes[step.node].record_first_attempt(now);
                first_attempts.push(now);
            }
            for _ in 0..step.retries {
                if nodes[step.node].try_take(now) {
                    retries.push(now);
                }
            }
            let start = now.saturating_sub(WINDOW);
            let within = |at: &&Duration| **at >= start;
            let requests = first_attempts.iter().filter(within).count() as f64;
            let sent = retries.iter().filter(within).count() as f64;
            // Retries that the ratio allowed an ended process count in addition to those of its
            // successor.
            let lost = if restarted > 0 { RATIO * requests } else { 0.0 };
            prop_assert!(sent <= RATIO * requests + SLACK + lost, "{sent} retries for {requests}");
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
