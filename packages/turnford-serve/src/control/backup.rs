//! The copy of this node's stream records in the store.

use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use serde::Deserialize;
use serde::Serialize;

use turnford_adapter::StoreError;
use turnford_adapter::STREAM_KIND;
use turnford_fleet::StreamRecord;

use super::context::ControlContext;

/// Timeout of a call to the store.
const STORE_TIMEOUT: Duration = Duration::from_millis(1000);

/// Delay between attempts to read the records at the start.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Time after the start in which the records are of use: most clients have given up by then.
const LOAD_PERIOD: Duration = Duration::from_secs(30);

/// Records of a node's streams as an object of the store.
#[derive(Serialize, Deserialize)]
struct StreamObject {
    /// Time at which it was written, in milliseconds of the time of day.
    written: u64,
    /// Key, origin and remaining lifetime in milliseconds of each stream; the first two in hex.
    streams: Vec<(String, String, u32)>,
}

impl StreamObject {
    fn new(written: u64, records: &[StreamRecord]) -> Self {
        let streams = records.iter().map(|record| {
            let key = format!("{:x}", record.key);
            (key, format!("{:x}", record.origin), record.lifetime_ms)
        });
        Self {
            written,
            streams: streams.collect(),
        }
    }

    /// Returns the records of streams that clients may still resume after `age`.
    fn records(&self, age: Duration) -> Vec<StreamRecord> {
        let age_ms = u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
        let records = self
            .streams
            .iter()
            .filter_map(|(key, origin, lifetime_ms)| {
                Some(StreamRecord {
                    key: u128::from_str_radix(key, 16).ok()?,
                    origin: u64::from_str_radix(origin, 16).ok()?,
                    lifetime_ms: lifetime_ms.checked_sub(age_ms)?,
                })
            });
        records.collect()
    }
}

/// Reads the records of this node's last process, and writes those of this one for as long as it runs.
pub(super) async fn back_up_streams(context: Rc<ControlContext>) {
    let backup = &context.shared.stream_backup;
    let restored = if context.shared.settings.is_first_start {
        Vec::new()
    } else {
        load(&context).await
    };
    backup.set_restored(restored);
    while let Some(records) = backup.next_pending().await {
        if let Err(error) = write(&context, &records).await {
            log::info!(
                "records of {} streams were not stored: {error}",
                records.len()
            );
        }
    }
}

async fn load(context: &ControlContext) -> Vec<StreamRecord> {
    let name = &context.shared.settings.name;
    while context.now() < LOAD_PERIOD {
        match context.store.get(STREAM_KIND, name, STORE_TIMEOUT).await {
            Ok(object) => {
                return StreamObject::deserialize(&object.spec).map_or_else(
                    |error| {
                        log::warn!("stream records of {name} are malformed: {error}");
                        Vec::new()
                    },
                    |object| {
                        let age = context.shared.age_of(object.written);
                        let records = object.records(age);
                        log::info!(
                            "stream records of {name} read: streams={} age_ms={}",
                            records.len(),
                            age.as_millis()
                        );
                        records
                    },
                );
            }
            Err(StoreError::NotFound) => return Vec::new(),
            Err(error) => {
                log::info!("stream records of {name} were not read, will retry: {error}");
                Timer::after(context.jitter(RETRY_DELAY)).await;
            }
        }
    }
    Vec::new()
}

async fn write(context: &ControlContext, records: &[StreamRecord]) -> Result<(), StoreError> {
    let written = Duration::from_millis(context.shared.started) + context.now();
    let written = u64::try_from(written.as_millis()).unwrap_or(u64::MAX);
    let object = StreamObject::new(written, records);
    let spec =
        serde_json::to_value(&object).map_err(|error| StoreError::Malformed(error.to_string()))?;
    let name = &context.shared.settings.name;
    let put = context.store.put(STREAM_KIND, name, spec, STORE_TIMEOUT);
    put.await
}
