//! Randomised simulation of many nodes with one harmful request, which crashes its targets, and
//! innocent requests running next to it.
//!
//! In every run, the harmful request reaches at most three more targets later than three seconds after its third
//! crash. No request that occurs once is ever refused, and a request of which many copies run is
//! refused only briefly.

mod common;
#[path = "common/crash_world.rs"]
mod crash_world;

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::Config;
use rand::Rng;
use turnford_policy::RequestDigest;

use crash_world::Step;
use crash_world::World;
use crash_world::NODES;

/// Time after the third crash from which sends are counted.
const CONTAINMENT_DELAY: Duration = Duration::from_secs(3);

/// Maximum number of counted sends.
const MAX_LATE_SENDS: usize = 3;

/// Maximum time for which a request with running copies may be refused after unrelated crashes hit
/// two of its trials in a row. One of the copies succeeds within this time.
const MAX_REFUSAL_SPAN: Duration = Duration::from_secs(4);

const HARMFUL: RequestDigest = RequestDigest([1; 16]);

const POPULAR: RequestDigest = RequestDigest([2; 16]);

/// Schedules the requests and disturbances of a run.
fn plan(world: &mut World) {
    world.harmful.insert(HARMFUL);
    let copies = world.rng.random_range(1..12);
    for _ in 0..copies {
        let at = world.millis(3000, 3030);
        world.schedule_arrival(HARMFUL, at);
    }
    for _ in 0..100 {
        let at = world.millis(3000, 38_000);
        world.schedule_arrival(HARMFUL, at);
    }
    for _ in 0..600 {
        let at = world.millis(0, 38_000);
        world.schedule_arrival(POPULAR, at);
    }
    for number in 0..600_u32 {
        let at = world.millis(0, 38_000);
        let mut digest = RequestDigest([3; 16]);
        digest.0[..4].copy_from_slice(&number.to_le_bytes());
        world.schedule_arrival(digest, at);
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

/// Seeds that once refused an innocent request, or a popular one for too long.
const REGRESSION_SEEDS: [u64; 14] = [
    // Crashes next to other suspects were counted as if the request had run alone or had already
    // started.
    14_372_402_438_326_137_893,
    6_484_881_027_872_177_875,
    1_586_381_905_049_127_618,
    2_651_486_753_065_820_717,
    // Groups of targets lost power during its trials there.
    7_902_568_416_951_077_485,
    271_126_933_157_947_261,
    3_614_378_271_385_923_498,
    8_658_378_968_006_626_100,
    14_687_299_887_186_385_428,
    // Another node took over placing and put two suspects on the same target.
    1_689_621_237_185_512_436,
    6_695_831_612_082_954_827,
    // The harmful request reached four more targets after the third crash.
    17_417_513_145_074_839_977,
    // Copies of a popular request were refused.
    16_422_950_088_292_311_734,
    // The harmful request, not a suspect yet, crashed the targets of a popular request on trial.
    5_391_265_586_682_609_493,
];

/// Seeds that still fail, see `KNOWN-RED.txt`.
const OPEN_SEEDS: [u64; 3] = [
    // Groups lost power one after another, and copies of a popular request were not served.
    10_083_475_367_811_742_959,
    7_962_866_413_092_557_749,
    // Two trials of an innocent request in a row ended in a power failure, with nothing else
    // running on the targets.
    1_241_878_917_892_624_351,
];

/// Returns the time between the first and the last refusal of a request.
fn refusal_duration(world: &World, digest: RequestDigest) -> Duration {
    let refused = world
        .refused
        .iter()
        .filter(|(refused, _)| *refused == digest);
    let times = refused.map(|(_, at)| *at);
    let (first, last) = (times.clone().min(), times.max());
    last.unwrap_or_default() - first.unwrap_or_default()
}

/// Runs one simulation and returns the violated condition, if any.
fn check_history(seed: u64) -> Result<(), String> {
    check_world(World::new(seed))
}

fn check_world(mut world: World) -> Result<(), String> {
    plan(&mut world);
    world.play();
    let late = world.late_sends(3, CONTAINMENT_DELAY);
    if late > MAX_LATE_SENDS {
        return Err(format!("{late} late sends, crashes at {:?}", world.crashed));
    }
    let known = [HARMFUL, POPULAR];
    let mut refused = world.refused.iter();
    if let Some(rare) = refused.find(|(digest, _)| !known.contains(digest)) {
        return Err(format!("refused: {rare:?}"));
    }
    let moment = refusal_duration(&world, POPULAR);
    if moment > MAX_REFUSAL_SPAN {
        return Err(format!("refused for {moment:?}"));
    }
    // Two of three groups keep running when one loses power, and the harmful request crashes only a
    // few targets.
    let popular = world.served.get(&POPULAR).copied().unwrap_or(0);
    let all = world.served.len();
    if popular < 560 || all < 595 {
        return Err(format!(
            "{popular} of 600 the same, {all} of 601 others served"
        ));
    }
    Ok(())
}

#[test]
fn kept_seeds() {
    for seed in REGRESSION_SEEDS {
        assert_eq!(check_history(seed), Ok(()), "seed {seed}");
    }
}

/// Guards against refusing requests that became suspects by power failures; they must be served.
#[test]
fn open_seeds() {
    for seed in OPEN_SEEDS {
        assert_eq!(check_history(seed), Ok(()), "seed {seed}");
    }
}

proptest! {
    #![proptest_config(Config { max_shrink_iters: 0, ..common::proptest_config(48) })]

    #[test]
    fn bounded_crashes(seed in any::<u64>()) {
        prop_assert_eq!(check_history(seed), Ok(()));
    }

    /// Guards against harmful requests that leave no record, since their targets crash before they show that
    /// the request has started to run.
    #[test]
    fn hidden_starts(seed in any::<u64>()) {
        let mut world = World::new(seed);
        world.hides_start = true;
        prop_assert_eq!(check_world(world), Ok(()));
    }
}
