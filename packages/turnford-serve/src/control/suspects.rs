//! Suspects in the store: requests during which targets crashed.

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

/// Timeout of a call to the store.
const STORE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Age from which an object is obsolete and is deleted by a starting node: the maximum time for
/// which a request is remembered.
const MAX_SUSPECT_AGE: Duration = Duration::from_secs(2 * 3600);

/// A suspect's object in the store.
#[derive(Serialize, Deserialize)]
struct SuspectRecord {
    /// Time at which it was written, in milliseconds of the time of day.
    written: u64,
    /// The crashes during the request, with their ages at that time.
    crashes: Vec<CrashUpdate>,
}

/// Executes commands to write and delete suspects for as long as the node runs.
pub(super) async fn persist_suspects(context: Rc<ControlContext>) {
    while let Some(command) = context.shared.suspects.next_command().await {
        let (digest, done) = match command {
            SuspectCommand::Store(digest, crashes) => {
                (digest, write(&context, digest, crashes).await)
            }
            SuspectCommand::Delete(digest) => {
                let name = name_of(&digest);
                let done = context.store.delete(SUSPECT_KIND, &name, STORE_TIMEOUT);
                (digest, done.await)
            }
        };
        match done {
            Ok(()) | Err(StoreError::NotFound) => {}
            Err(error) => log::warn!("asks={digest} was not updated in the store: {error}"),
        }
    }
}

async fn write(
    context: &ControlContext,
    digest: RequestDigest,
    crashes: Vec<CrashUpdate>,
) -> Result<(), StoreError> {
    log::info!(
        "asks={digest} is written to the store: crashes={}",
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
        .put(SUSPECT_KIND, &name, spec, STORE_TIMEOUT)
        .await
}

/// Loads the suspects that earlier nodes stored, when a node starts.
pub(super) async fn load_suspects(context: &ControlContext) -> Result<(), StoreError> {
    let list = context.store.list(SUSPECT_KIND, STORE_TIMEOUT).await?;
    for object in &list.objects {
        let Some(record) = decode(object) else {
            continue;
        };
        let age = context.shared.age_of(record.written);
        if age >= MAX_SUSPECT_AGE {
            let old = context
                .store
                .delete(SUSPECT_KIND, &object.name, STORE_TIMEOUT);
            if let Err(error) = old.await {
                log::info!(
                    "obsolete suspect {} was not deleted from the store: {error}",
                    object.name
                );
            }
            continue;
        }
        let more = u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
        let crashes = record.crashes.into_iter().map(|update| CrashUpdate {
            age_ms: update.age_ms.saturating_add(more),
            ..update
        });
        context.shared.suspects.add_stored(crashes.collect());
    }
    Ok(())
}

fn decode(object: &StoreObject) -> Option<SuspectRecord> {
    let decoded = SuspectRecord::deserialize(&object.spec);
    decoded
        .map_err(|error| log::warn!("suspect {} is malformed: {error}", object.name))
        .ok()
}

fn name_of(digest: &RequestDigest) -> String {
    digest.0.iter().map(|byte| format!("{byte:02x}")).collect()
}
