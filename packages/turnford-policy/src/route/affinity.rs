//! Which target keeps which part of a prompt, as learned from what this node sent there.

use std::collections::HashMap;
use std::time::Duration;

use crate::Moment;
use crate::TargetId;

use super::PromptPart;

/// Time after its last use for which a part is taken to be kept. Engines give up those unused the
/// longest, and with the usual prompts their memory holds several seconds of traffic.
const KEEP_SPAN: Duration = Duration::from_secs(30);

/// Entries at which old ones are looked for and dropped.
const SWEEP_SIZE: usize = 8192;

/// What this node knows of the prompts that targets keep.
#[derive(Debug, Default)]
pub struct PromptCache {
    seen: HashMap<(TargetId, u64), Moment>,
}

impl PromptCache {
    /// Notes that a target reads these parts now.
    pub fn note(&mut self, now: Moment, target: &TargetId, parts: &[PromptPart]) {
        if self.seen.len() >= SWEEP_SIZE {
            self.seen.retain(|_, at| now.saturating_sub(*at) < KEEP_SPAN);
        }
        for part in parts {
            self.seen.insert((target.clone(), part.id), now);
        }
    }

    /// Returns the tokens that a target has to read anew. A part counts as kept only where every
    /// part before it is.
    pub fn missing(&self, now: Moment, target: &TargetId, parts: &[PromptPart]) -> u64 {
        let mut kept = true;
        let mut missing = 0;
        for part in parts {
            let at = self.seen.get(&(target.clone(), part.id));
            kept = kept && at.is_some_and(|at| now.saturating_sub(*at) < KEEP_SPAN);
            if !kept {
                missing += part.tokens;
            }
        }
        missing
    }

    /// Forgets a target that is gone.
    pub fn forget(&mut self, target: &TargetId) {
        self.seen.retain(|(other, _), _| other != target);
    }
}
