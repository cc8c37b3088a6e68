//! Results of stages that a request holds until they have been used.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use crate::record::RequestRecord;
use crate::release::release_results;
use crate::release::PieceResult;
use crate::traffic::Traffic;

/// Results that one request holds. Dropping this releases them.
pub(crate) struct HeldResults {
    traffic: Rc<Traffic>,
    pub(crate) stages: Vec<Vec<PieceResult>>,
}

impl HeldResults {
    pub(crate) fn new(traffic: &Rc<Traffic>, stages: usize) -> Self {
        Self {
            traffic: traffic.clone(),
            stages: vec![Vec::new(); stages],
        }
    }

    pub(crate) fn results(&self, stages: &[usize]) -> Vec<PieceResult> {
        let results = stages.iter().flat_map(|&stage| &self.stages[stage]);
        results.cloned().collect()
    }

    pub(crate) fn handles(&self, stages: &[usize]) -> Vec<String> {
        let results = stages.iter().flat_map(|&stage| &self.stages[stage]);
        results.map(|result| result.handle.clone()).collect()
    }

    /// Returns the bytes that the results of some stages occupy in each hall.
    pub(crate) fn hall_bytes(
        &self,
        record: &RequestRecord,
        stages: &[usize],
    ) -> Vec<(Arc<str>, u64)> {
        let mut halls: Vec<(Arc<str>, u64)> = Vec::new();
        for &stage in stages {
            let bytes = record.route.stages[stage].result_bytes;
            for result in &self.stages[stage] {
                let hall = &result.producer.hall;
                match halls.iter_mut().find(|(other, _)| other == hall) {
                    Some((_, sum)) => *sum += bytes,
                    None => halls.push((hall.clone(), bytes)),
                }
            }
        }
        halls
    }

    /// Returns the hall that holds most results of some stages.
    pub(crate) fn main_hall(&self, stages: &[usize]) -> Option<Arc<str>> {
        let results = stages.iter().flat_map(|&stage| &self.stages[stage]);
        let mut halls: Vec<Arc<str>> = results.map(|result| result.producer.hall.clone()).collect();
        halls.sort_unstable();
        let runs = halls.chunk_by(|left, right| left == right);
        let longest = runs.max_by_key(|run| run.len())?;
        longest.first().cloned()
    }

    pub(crate) fn release_all(&mut self) {
        for stage in 0..self.stages.len() {
            self.release(stage);
        }
    }

    pub(crate) fn release(&mut self, stage: usize) {
        let results = std::mem::take(&mut self.stages[stage]);
        release_results(&self.traffic, results);
    }
}

impl Drop for HeldResults {
    fn drop(&mut self) {
        self.release_all();
    }
}

/// The results that the final call of a request needs.
pub(crate) struct StageResults {
    /// Handles in the order of stages and pieces.
    pub(crate) handles: Vec<String>,
    /// Bytes of these results in each hall.
    pub(crate) halls: Vec<(Arc<str>, u64)>,
    pub(crate) held: RefCell<HeldResults>,
}

impl StageResults {
    /// Releases the results, once their target has read them.
    pub(crate) fn release(&self) {
        self.held.borrow_mut().release_all();
    }
}
