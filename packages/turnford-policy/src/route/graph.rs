//! Dependency graph of a request's stages.

use super::StageSpec;

/// Stages of a route as run by one request. Stages without pieces are skipped, and stages after
/// them get no results from them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StageGraph {
    counts: Vec<u32>,
    inputs: Vec<Vec<usize>>,
    sinks: Vec<usize>,
}

impl StageGraph {
    /// Builds the graph from the stages and the number of pieces of each.
    pub fn new(stages: &[StageSpec], count_of: impl Fn(usize) -> u32) -> Self {
        let counts: Vec<u32> = (0..stages.len()).map(count_of).collect();
        let mut inputs: Vec<Vec<usize>> = Vec::with_capacity(stages.len());
        for (number, stage) in stages.iter().enumerate() {
            let runs_before = |before: &&usize| **before < number && counts[**before] > 0;
            let mut needed: Vec<usize> = stage.after.iter().filter(runs_before).copied().collect();
            needed.sort_unstable();
            needed.dedup();
            inputs.push(needed);
        }
        let sinks = find_sinks(&counts, &inputs);
        Self {
            counts,
            inputs,
            sinks,
        }
    }

    /// Returns the number of stages, including skipped ones.
    pub fn len(&self) -> usize {
        self.counts.len()
    }

    /// Returns whether no stage has to run before the request itself.
    pub fn is_empty(&self) -> bool {
        self.counts.iter().all(|&count| count == 0)
    }

    /// Returns the number of pieces of a stage.
    pub fn piece_count(&self, stage: usize) -> u32 {
        self.counts[stage]
    }

    /// Returns the stages whose results a stage needs.
    pub fn inputs(&self, stage: usize) -> &[usize] {
        &self.inputs[stage]
    }

    /// Returns the stages whose results no other stage needs. They are the inputs of the request
    /// itself.
    pub fn sinks(&self) -> &[usize] {
        &self.sinks
    }

    /// Returns the stages that need a stage's results.
    pub fn dependents(&self, stage: usize) -> impl Iterator<Item = usize> + '_ {
        let stages = 0..self.counts.len();
        stages.filter(move |&other| self.counts[other] > 0 && self.inputs[other].contains(&stage))
    }
}

fn find_sinks(counts: &[u32], inputs: &[Vec<usize>]) -> Vec<usize> {
    let runs = |stage: &usize| counts[*stage] > 0;
    let mut sinks: Vec<usize> = (0..counts.len()).filter(runs).collect();
    for (stage, needed) in inputs.iter().enumerate() {
        if counts[stage] > 0 {
            sinks.retain(|other| !needed.contains(other));
        }
    }
    sinks
}
