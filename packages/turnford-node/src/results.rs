//! Cache of the outputs of claimed requests, for repeated requests of the same account.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::PoisonError;

use turnford_fleet::ClaimKey;

/// Maximum number of cached outputs.
const MAX_RESULTS: usize = 2_000;

/// Maximum size of all cached outputs, in bytes.
const MAX_TOTAL_BYTES: usize = 16 * 1024 * 1024;

/// Complete outputs by claim key, which is a hash of the account and the request id.
#[derive(Default)]
pub(crate) struct ResultCache {
    inner: Mutex<ResultStore>,
}

#[derive(Default)]
struct ResultStore {
    outputs: HashMap<ClaimKey, String>,
    order: VecDeque<ClaimKey>,
    bytes: usize,
}

impl ResultCache {
    /// Inserts an output and evicts the oldest ones above the bounds.
    pub(crate) fn put(&self, key: ClaimKey, output: &str) {
        let mut store = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        if output.len() > MAX_TOTAL_BYTES || store.outputs.contains_key(&key) {
            return;
        }
        store.bytes += output.len();
        store.outputs.insert(key, output.to_owned());
        store.order.push_back(key);
        while store.order.len() > MAX_RESULTS || store.bytes > MAX_TOTAL_BYTES {
            let Some(oldest) = store.order.pop_front() else {
                return;
            };
            let dropped = store.outputs.remove(&oldest);
            store.bytes -= dropped.map_or(0, |output| output.len());
        }
    }

    /// Returns a cached output.
    pub(crate) fn get(&self, key: &ClaimKey) -> Option<String> {
        let store = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        store.outputs.get(key).cloned()
    }
}
