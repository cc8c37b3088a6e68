//! Selection of the nodes that watch the platform's store on behalf of their hall.
//!
//! Calls to the store are expensive, and its rate limits grow more slowly than the fleet. A few
//! nodes per hall therefore watch the store, and the others query them. A node that gets no
//! response queries the store itself, so correctness does not depend on all nodes agreeing on the
//! watchers.

use crate::rank_members;
use crate::Duty;

/// Minimum number of watchers in a hall, so that one can fail.
const MIN_WATCHERS: usize = 2;

/// Nodes of a hall served by one watcher; each node queries it about once a second.
const NODES_PER_WATCHER: usize = 16;

/// Returns the watchers among the nodes of a hall, in the order in which other nodes query them.
pub fn choose_watchers<'a>(hall: &str, nodes: &[&'a str]) -> Vec<&'a str> {
    let count = nodes.len().div_ceil(NODES_PER_WATCHER).max(MIN_WATCHERS);
    let duty = Duty::Watch(hall.to_owned());
    rank_members(&duty, nodes.iter().copied(), count)
}
