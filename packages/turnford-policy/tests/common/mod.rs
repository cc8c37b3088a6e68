//! Configuration shared by the property tests: fixed seeds in CI, other seeds on request.

use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;

/// Seed of CI runs.
const FIXED_SEED: u64 = 20_261_202;

/// Returns the configuration of a property test with a number of cases.
///
/// For long runs, `TURNFORD_CASES` overrides the number of cases and `TURNFORD_SEED` the seed.
pub(crate) fn proptest_config(cases: u32) -> Config {
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
