//! Which nodes watch the platform's store for all nodes of their hall.
//!
//! Each call to the store has its price, and its rates grow more slowly than the fleet. So a few
//! nodes of a hall watch, and the others ask them. A node that gets no answer asks the store itself,
//! so nothing depends on all nodes agreeing on who watches.

use crate::rank_members;
use crate::Duty;

/// Least number of watchers in a hall, so that one can fail.
const LEAST_WATCHERS: usize = 2;

/// Nodes of a hall that one watcher answers, each about once a second.
const NODES_PER_WATCHER: usize = 16;

/// Returns the nodes that watch for a hall, out of its nodes, in the order in which others ask them.
pub fn choose_watchers<'a>(hall: &str, nodes: &[&'a str]) -> Vec<&'a str> {
    let count = nodes.len().div_ceil(NODES_PER_WATCHER).max(LEAST_WATCHERS);
    let duty = Duty::Watch(hall.to_owned());
    rank_members(&duty, nodes.iter().copied(), count)
}
