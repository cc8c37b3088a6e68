//! Randomised fault-injection runs against the real program.
//!
//! The site (store, targets, clients) is in this process; each node is a separate process whose
//! connections to the store and to clients pass through proxies. The fault plan is derived from a
//! seed; the timing between the faults differs from run to run.

mod check;
mod client;
mod plan;
mod process;
#[path = "../hot_node/quota.rs"]
mod quota;
mod run;
mod word;

use run::run_seed;

/// Seeds that CI runs in addition to the regression seeds.
const SHORT_SEEDS: [u64; 2] = [1, 2];

/// Seeds that failed in the past, with the cause.
const REGRESSION_SEEDS: [(u64, &str); 4] = [
    (
        301,
        "the check attributed a response that the target truncated to a planned stop",
    ),
    (
        526,
        "the check reported a node that had just been started as having an old configuration",
    ),
    (
        707,
        "the check attributed a request that reached a restarted target to the process that had left: it \
         compared the time at which the client had sent the request",
    ),
    (
        1135,
        "the check attributed the announcement of the target that served a request to the one that had \
         rejected it first",
    ),
];

/// Environment variable with the seeds of a long run, such as `100..150`.
const SEEDS_VARIABLE: &str = "TURNFORD_SOAK_SEEDS";

/// Runs that execute in parallel.
const PARALLEL_RUNS: usize = 4;

fn run_seeds(seeds: Vec<u64>) {
    let mut failures = Vec::new();
    for part in seeds.chunks(PARALLEL_RUNS) {
        let runs = part.iter().map(|&seed| {
            let run = std::thread::spawn(move || run_seed(seed));
            (seed, run)
        });
        let runs: Vec<_> = runs.collect();
        for (seed, run) in runs {
            let (violations, folder) = run.join().expect("a run that ends");
            println!("seed {seed}: {} violations", violations.len());
            if violations.is_empty() {
                // Only the logs of failed runs are kept.
                let _ = std::fs::remove_dir_all(folder);
                continue;
            }
            let first: Vec<&String> = violations.iter().take(5).collect();
            failures.push(format!(
                "seed {seed}, logs in {}: {first:#?}",
                folder.display()
            ));
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

#[test]
fn short_run() {
    let kept = REGRESSION_SEEDS.iter().map(|(seed, _)| *seed);
    run_seeds(SHORT_SEEDS.into_iter().chain(kept).collect());
}

#[test]
#[ignore = "takes half a minute for each four seeds: name them in TURNFORD_SOAK_SEEDS"]
fn long_run() {
    let text = std::env::var(SEEDS_VARIABLE).expect("seeds, as in 100..150");
    let (first, end) = text.split_once("..").expect("two numbers with .. between");
    let first: u64 = first.parse().expect("a number before ..");
    let end: u64 = end.parse().expect("a number after ..");
    run_seeds((first..end).collect());
}
