//! The targets that one attempt of a client may run on, and the time that they are given.
//!
//! Guards against attempts that are counted anew after a missing input, so that a request runs on more
//! targets than its route allows.

mod common;

use std::collections::BTreeSet;
use std::time::Duration;

use common::ClientRequest;
use common::RouteSite;
use common::ENGINE;
use common::QUICK;
use common::STAGE;
use common::STAGED;
use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;
use turnford_standin::RouteTarget;
use turnford_standin::TargetFault;

/// Targets that a request may run on, by its route.
const MAX_TARGETS: usize = 2;

/// Deadline of the clients, in milliseconds.
const DEADLINE_MS: u64 = 10_000;

/// Requests of a run, and faults prepared for each target.
const REQUESTS: usize = 60;
const PREPARED_FAULTS: usize = 400;

/// Injects faults that end calls without a response, after a while, and others that make a request start anew.
fn inject_faults(targets: &[RouteTarget], seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    for target in targets {
        let faults = (0..PREPARED_FAULTS).map(|_| match rng.random_range(0..10) {
            0..4 => TargetFault::Disconnect,
            4..8 => TargetFault::InputMissing,
            _ => TargetFault::Slow(Duration::from_millis(20)),
        });
        target.inject_faults(faults);
    }
}

/// Sends requests, and checks the targets that each one ran on and the time that they were given.
fn check_limits(site: &RouteSite, path: &str, headers: &[(&str, &str)]) {
    let mut repeated = 0;
    for number in 0..REQUESTS {
        let attempt = format!("a{number}");
        let request = ClientRequest {
            headers,
            ..ClientRequest::new(&attempt, path)
        };
        // The outcome does not matter; a stream may be cut off.
        let _ = site.call(number % site.nodes.len(), request);
        let runs = site.journal.requests(&attempt);
        let targets: BTreeSet<&str> = runs.iter().map(|run| run.target.as_str()).collect();
        assert!(targets.len() <= MAX_TARGETS, "{attempt} ran on {targets:?}");
        repeated += usize::from(targets.len() > 1);
        let mut left = DEADLINE_MS;
        for run in runs {
            let deadline = run.deadline_ms.expect("a deadline");
            assert!(deadline <= left, "{attempt} got {deadline} of {left} ms");
            left = deadline;
        }
    }
    assert!(repeated > 0, "no request ran on a second target");
}

#[test]
fn missing_inputs() {
    let mut site = RouteSite::new();
    site.target("k1", "kort", STAGE);
    site.target("e1", "ejer", STAGE);
    let engines: Vec<RouteTarget> = (0..6)
        .map(|number| site.target(&format!("s{number}"), "sprog", ENGINE))
        .collect();
    for name in ["one", "two"] {
        site.node(name);
    }
    site.settle();
    inject_faults(&engines, 1);
    check_limits(&site, "/chat/", STAGED);
}

#[test]
fn plain_calls() {
    let mut site = RouteSite::new();
    let targets: Vec<RouteTarget> = (0..6)
        .map(|number| site.target(&format!("b{number}"), "booking", QUICK))
        .collect();
    for name in ["one", "two"] {
        site.node(name);
    }
    site.settle();
    inject_faults(&targets, 2);
    check_limits(&site, "/pay/", &[]);
}
