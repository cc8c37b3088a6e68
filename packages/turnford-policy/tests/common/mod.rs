//! Shared by the randomised tests: fixed seeds in CI, fresh ones on demand.

use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;

/// Seed of the runs in CI.
const FIXED_SEED: u64 = 20_261_202;

/// Returns the settings of a randomised test.
///
/// `TURNFORD_CASES` sets the number of histories and `TURNFORD_SEED` the seed, for long runs.
pub(crate) fn histories(cases: u32) -> Config {
    let number = |name: &str| {
        std::env::var(name)
            .ok()
            .and_then(|text| text.parse::<u64>().ok())
    };
    let cases = number("TURNFORD_CASES").map_or(cases, |cases| cases as u32);
    let seed = number("TURNFORD_SEED").unwrap_or(FIXED_SEED);
    Config {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: 20_000,
        ..Config::default()
    }
}
