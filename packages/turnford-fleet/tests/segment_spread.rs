//! Randomised simulation of requests, no two alike, that crash their targets by a prompt segment that
//! they share, next to sound requests that share their other segments.
//!
//! In every run, harmful requests reach at most three targets later than three seconds after their fifth
//! crash, and no sound request is refused.

mod common;
#[path = "common/crash_world.rs"]
mod crash_world;

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::Config;
use rand::Rng;
use turnford_fleet::CrashKeys;
use turnford_policy::RequestDigest;

use crash_world::Step;
use crash_world::World;
use crash_world::NODES;

/// Time after the last allowed crash from which sends are counted.
const CONTAINMENT_DELAY: Duration = Duration::from_secs(3);

/// Crashes that one segment may cause.
const MAX_CRASHES: usize = 5;

/// Maximum number of counted sends for each cause of crashes.
const MAX_LATE_SENDS: usize = 3;

/// Segments that crash targets.
const DEADLY: [u64; 2] = [900, 901];

/// First segment of all requests.
const FIRST: u64 = 1;

/// Sound requests of a run.
const SOUND: u32 = 900;

/// Adds a request with a prompt of its own.
fn add_request(world: &mut World, number: u32, segments: &[u64]) -> RequestDigest {
    let mut digest = RequestDigest([3; 16]);
    digest.0[..4].copy_from_slice(&number.to_le_bytes());
    let segments = [segments, &[10_000 + u64::from(number)]].concat();
    let keys = CrashKeys::new(digest, "sprog", &segments);
    world.keys.insert(digest, keys);
    digest
}

/// Schedules the requests and disturbances of a run with a number of deadly segments and, if
/// `has_harmful`, with a harmful request that is sent again and again.
fn plan(world: &mut World, deadly: usize, has_harmful: bool) {
    let mut number = 0;
    let mut add = |world: &mut World, segments: &[u64]| {
        number += 1;
        add_request(world, number, segments)
    };
    for index in 0..u64::from(SOUND) {
        // A third of the requests share a segment with a few others only.
        let middle = if index % 3 == 0 {
            100 + index / 12
        } else {
            10 + index % 4
        };
        let digest = add(world, &[FIRST, middle]);
        let at = world.millis(0, 38_000);
        world.schedule_arrival(digest, at);
    }
    for segment in &DEADLY[..deadly] {
        for index in 0..120 {
            let digest = add(world, &[FIRST, 10 + index % 4, *segment]);
            world.harmful.insert(digest);
            let at = world.millis(3000, 38_000);
            world.schedule_arrival(digest, at);
        }
    }
    if has_harmful {
        let digest = add(world, &[FIRST, 11]);
        world.harmful.insert(digest);
        for _ in 0..60 {
            let at = world.millis(3000, 38_000);
            world.schedule_arrival(digest, at);
        }
    }
    for (step, count) in [(Step::ChangePlacer, 3), (Step::LosePower, 3)] {
        for _ in 0..count {
            let at = world.millis(2000, 36_000);
            world.at(at, step.clone());
        }
    }
    for node in 0..NODES {
        world.at(Duration::from_secs(1), Step::Sync(node));
        if world.rng.random_bool(0.4) {
            let at = world.millis(2000, 36_000);
            world.at(at, Step::Restart(node));
        }
    }
}

/// Runs one simulation and returns the violated condition, if any.
fn check_history(seed: u64, deadly: usize, has_harmful: bool) -> Result<(), String> {
    let mut world = World::new(seed);
    plan(&mut world, deadly, has_harmful);
    world.play();
    let causes = deadly + usize::from(has_harmful);
    let late = world.late_sends(MAX_CRASHES * causes.max(1), CONTAINMENT_DELAY);
    if late > MAX_LATE_SENDS * causes {
        return Err(format!("{late} late sends, crashes at {:?}", world.crashed));
    }
    let mut refused = world.refused.iter();
    if let Some(sound) = refused.find(|(digest, _)| !world.harmful.contains(digest)) {
        return Err(format!("refused: {sound:?} {:?}", world.keys[&sound.0]));
    }
    let served = world.served.len();
    // The end of the run cuts off the last requests.
    if served < SOUND as usize * 9 / 10 {
        return Err(format!("{served} of {SOUND} served"));
    }
    Ok(())
}

/// Seeds that still fail, see `KNOWN-RED.txt`: two causes crash targets at the same time, and a sound
/// request is refused.
const OPEN_SEEDS: [(u64, usize, bool); 5] = [
    (3_254_362_199_751_212_446, 2, false),
    (14_283_371_573_978_119_763, 2, false),
    (17_678_149_979_974_877_960, 2, false),
    (8_743_159_770_350_665_290, 1, true),
    (14_764_291_077_334_692_957, 1, true),
];

#[test]
fn open_seeds() {
    let failed = OPEN_SEEDS.iter().filter_map(|(seed, deadly, has_harmful)| {
        let error = check_history(*seed, *deadly, *has_harmful).err()?;
        Some(format!("seed {seed}: {error}"))
    });
    assert_eq!(failed.collect::<Vec<_>>(), Vec::<String>::new());
}

proptest! {
    #![proptest_config(Config { max_shrink_iters: 0, ..common::proptest_config(24) })]

    #[test]
    fn one_segment(seed in any::<u64>()) {
        prop_assert_eq!(check_history(seed, 1, false), Ok(()));
    }

    #[test]
    fn two_segments(seed in any::<u64>()) {
        prop_assert_eq!(check_history(seed, 2, false), Ok(()));
    }

    #[test]
    fn segment_and_request(seed in any::<u64>()) {
        prop_assert_eq!(check_history(seed, 1, true), Ok(()));
    }

    #[test]
    fn no_cause(seed in any::<u64>()) {
        prop_assert_eq!(check_history(seed, 0, false), Ok(()));
    }
}
