//! The store's side of requests under which targets crashed.

use std::rc::Rc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use turnford_adapter::StoreError;
use turnford_adapter::StoreObject;
use turnford_adapter::SUSPECT_KIND;
use turnford_fleet::CrashUpdate;
use turnford_policy::RequestDigest;

use super::context::ControlContext;
use crate::suspect_channel::SuspectCommand;

/// Longest time for a call to the store.
const STORE_LIMIT: Duration = Duration::from_millis(1500);

/// Age from which on an object says nothing any more and is removed by a node that starts: the longest
/// time for which a request is remembered.
const OLD_SPAN: Duration = Duration::from_secs(2 * 3600);

/// A request's object in the store.
#[derive(Serialize, Deserialize)]
struct SuspectRecord {
    /// When it was written, in milliseconds of the time of day.
    written: u64,
    /// The crashes under it, their ages as of then.
    crashes: Vec<CrashUpdate>,
}

/// Writes and removes requests' objects for as long as the node runs.
pub(super) async fn keep_suspects(context: Rc<ControlContext>) {
    while let Some(command) = context.shared.suspects.next_command().await {
        let (digest, done) = match command {
            SuspectCommand::Store(digest, crashes) => {
                (digest, write(&context, digest, crashes).await)
            }
            SuspectCommand::Delete(digest) => {
                let name = name_of(&digest);
                let done = context.store.delete(SUSPECT_KIND, &name, STORE_LIMIT);
                (digest, done.await)
            }
        };
        match done {
            Ok(()) | Err(StoreError::NotFound) => {}
            Err(fault) => log::warn!("asks={digest} is not kept in the store: {fault}"),
        }
    }
}

async fn write(
    context: &ControlContext,
    digest: RequestDigest,
    crashes: Vec<CrashUpdate>,
) -> Result<(), StoreError> {
    log::info!(
        "asks={digest} is kept in the store: crashes={}",
        crashes.len()
    );
    let written = Duration::from_millis(context.shared.started) + context.now();
    let record = SuspectRecord {
        written: u64::try_from(written.as_millis()).unwrap_or(u64::MAX),
        crashes,
    };
    let spec =
        serde_json::to_value(&record).map_err(|error| StoreError::Malformed(error.to_string()))?;
    let name = name_of(&digest);
    context
        .store
        .put(SUSPECT_KIND, &name, spec, STORE_LIMIT)
        .await
}

/// Reads the requests that nodes of before kept, for a node that starts.
pub(super) async fn learn_suspects(context: &ControlContext) -> Result<(), StoreError> {
    let list = context.store.list(SUSPECT_KIND, STORE_LIMIT).await?;
    for object in &list.objects {
        let Some(record) = decode(object) else {
            continue;
        };
        let age = context.shared.age_of(record.written);
        if age >= OLD_SPAN {
            let old = context
                .store
                .delete(SUSPECT_KIND, &object.name, STORE_LIMIT);
            if let Err(fault) = old.await {
                log::info!("old suspect {} stays in the store: {fault}", object.name);
            }
            continue;
        }
        let more = u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
        let crashes = record.crashes.into_iter().map(|news| CrashUpdate {
            age_ms: news.age_ms.saturating_add(more),
            ..news
        });
        context.shared.suspects.add_stored(crashes.collect());
    }
    Ok(())
}

fn decode(object: &StoreObject) -> Option<SuspectRecord> {
    let decoded = SuspectRecord::deserialize(&object.spec);
    decoded
        .map_err(|error| log::warn!("suspect {} makes no sense: {error}", object.name))
        .ok()
}

fn name_of(digest: &RequestDigest) -> String {
    digest.0.iter().map(|byte| format!("{byte:02x}")).collect()
}
