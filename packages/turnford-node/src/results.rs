//! Answers of claimed requests, to be given again to the same account for a while.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::PoisonError;

use turnford_fleet::ClaimKey;

/// Answers kept.
const RESULT_LIMIT: usize = 2_000;

/// Bytes of all answers kept.
const BYTE_LIMIT: usize = 16 * 1024 * 1024;

/// Whole answers by claim key, which is made from the account and the request id together.
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
    /// Keeps an answer, dropping the oldest ones beyond the bounds.
    pub(crate) fn put(&self, key: ClaimKey, output: &str) {
        let mut store = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        if output.len() > BYTE_LIMIT || store.outputs.contains_key(&key) {
            return;
        }
        store.bytes += output.len();
        store.outputs.insert(key, output.to_owned());
        store.order.push_back(key);
        while store.order.len() > RESULT_LIMIT || store.bytes > BYTE_LIMIT {
            let Some(oldest) = store.order.pop_front() else {
                return;
            };
            let dropped = store.outputs.remove(&oldest);
            store.bytes -= dropped.map_or(0, |output| output.len());
        }
    }

    /// Returns an answer that is still kept.
    pub(crate) fn get(&self, key: &ClaimKey) -> Option<String> {
        let store = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        store.outputs.get(key).cloned()
    }
}
