//! Over all nodes, no window has more retries than the ratio of the requests and the slack allow.

mod common;

use std::time::Duration;

use common::proptest_config;
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;
use turnford_policy::RetryAllowance;

const WINDOW: Duration = Duration::from_secs(10);
const RATIO: f64 = 0.2;

/// Fleet sizes and the slack that the platform allows them.
const FLEETS: [(usize, f64); 3] = [(4, 48.0), (8, 56.0), (880, 1800.0)];

/// A step of a fleet's history: what happens to each node with the given probability.
#[derive(Clone, Debug)]
struct FleetStep {
    pause_ms: u64,
    seed: u64,
    first_attempts: f64,
    retries: f64,
    kills: f64,
}

fn fleet_step() -> impl Strategy<Value = FleetStep> {
    let kills = prop_oneof![6 => Just(0.0), 2 => Just(0.2), 1 => Just(1.0)];
    let level = || prop_oneof![1 => Just(0.0), 2 => 0.0..1.0, 1 => Just(3.0)];
    (0_u64..1500, any::<u64>(), level(), level(), kills).prop_map(
        |(pause_ms, seed, first_attempts, retries, kills)| FleetStep {
            pause_ms,
            seed,
            first_attempts,
            retries,
            kills,
        },
    )
}

/// Counts by time, summed over a window.
fn count_within(counts: &[(Duration, usize)], begin: Duration, end: Duration) -> f64 {
    let within = counts.iter().filter(|(at, _)| (begin..=end).contains(at));
    within.map(|(_, count)| count).sum::<usize>() as f64
}

proptest! {
    #![proptest_config(proptest_config(40))]

    /// Guards against nodes that spend their share of the slack, and the retries that earlier requests
    /// allow, once more after each start.
    #[test]
    fn respent_shares(
        fleet in 0..FLEETS.len(),
        has_pieces in any::<bool>(),
        steps in prop::collection::vec(fleet_step(), 1..60),
    ) {
        let (size, slack) = FLEETS[fleet];
        let new_allowance = || {
            let allowance = RetryAllowance::new(WINDOW, RATIO, slack / size as f64);
            if has_pieces { allowance.for_pieces() } else { allowance }
        };
        let mut nodes: Vec<RetryAllowance> = (0..size).map(|_| new_allowance()).collect();
        let mut now = Duration::ZERO;
        let mut requests: Vec<(Duration, usize)> = Vec::new();
        let mut retries: Vec<(Duration, usize)> = Vec::new();
        for step in steps {
            now += Duration::from_millis(step.pause_ms);
            let mut rng = SmallRng::seed_from_u64(step.seed);
            let (mut sent, mut taken) = (0, 0);
            for node in &mut nodes {
                if rng.random_bool(step.kills) {
                    *node = new_allowance();
                }
                for _ in 0..(step.first_attempts * rng.random_range(0.0..10.0)) as usize {
                    node.record_first_attempt(now);
                    sent += 1;
                }
                for _ in 0..(step.retries * rng.random_range(0.0..10.0)) as usize {
                    taken += usize::from(node.try_take(now));
                }
            }
            requests.push((now, sent));
            retries.push((now, taken));
            let begin = now.saturating_sub(WINDOW);
            let windows = [Duration::ZERO, WINDOW / 2, WINDOW].map(|back| {
                let end = now.saturating_sub(back);
                count_within(&requests, begin.saturating_sub(back), end)
            });
            let most = windows.into_iter().fold(0.0, f64::max);
            let sent = count_within(&retries, begin, now);
            let bound = RATIO * most + slack;
            prop_assert!(sent <= bound, "{sent} retries of {size} nodes, {bound} allowed");
        }
    }
}

#[test]
fn all_or_none() {
    let mut allowance = RetryAllowance::new(WINDOW, RATIO, 4.0).first();
    assert!(!allowance.try_take_many(Duration::ZERO, 4));
    assert!(allowance.try_take_many(Duration::ZERO, 3));
    assert!(!allowance.try_take(Duration::from_secs(9)));
    assert!(allowance.try_take(Duration::from_secs(11)));
}

#[test]
fn earned_retries() {
    // Without a part of the slack.
    let mut allowance = RetryAllowance::new(WINDOW, RATIO, 0.0);
    allowance.record_first_attempts(Duration::ZERO, 60);
    assert!(allowance.try_take(Duration::ZERO));
    assert!(!allowance.try_take(Duration::ZERO));
}

#[test]
fn later_process() {
    // A process that has a predecessor starts without the part of the slack that this may have used.
    let mut allowance = RetryAllowance::new(WINDOW, RATIO, 6.0);
    assert!(!allowance.try_take(Duration::ZERO));
}
