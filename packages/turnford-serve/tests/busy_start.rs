//! Guards against nodes that don't become ready beside busy processes.

mod common;

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use common::wait_until;
use common::RouteSite;
use common::QUICK;
use turnford_serve::ServeNode;

/// Busy threads, more than there are processors.
const BUSY_THREADS: usize = 16;

/// Time within which nodes that start together are ready.
const READY_TIME: Duration = Duration::from_secs(10);

#[test]
fn three_at_once() {
    let is_over = AtomicBool::new(false);
    std::thread::scope(|scope| {
        for _ in 0..BUSY_THREADS {
            scope.spawn(|| {
                while !is_over.load(Ordering::Relaxed) {
                    std::hint::spin_loop();
                }
            });
        }
        for round in 0..4 {
            let mut site = RouteSite::new();
            site.target("b1", "booking", QUICK);
            let started_at = Instant::now();
            for hall in ["hal-a", "hal-b", "hal-c"] {
                site.node_unready_in(&format!("{hall}-{round}"), hall);
            }
            wait_until("all nodes are ready", || {
                let nodes = site.nodes.iter().filter_map(|node| node.node.as_ref());
                nodes.filter(|node| ServeNode::is_ready(node)).count() == site.nodes.len()
            });
            let taken = started_at.elapsed();
            assert!(taken < READY_TIME, "{taken:?}");
        }
        is_over.store(true, Ordering::Relaxed);
    });
}
