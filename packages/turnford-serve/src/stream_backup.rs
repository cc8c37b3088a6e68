//! Copy in the store of the records of this node's streams. If all nodes end together, the started
//! nodes have these records again.

use std::rc::Rc;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use async_io::Timer;

use turnford_fleet::StreamKey;
use turnford_fleet::StreamRecord;

use crate::traffic::Traffic;

/// Minimum interval between two copies.
const MIN_INTERVAL: Duration = Duration::from_millis(200);

/// Part of that interval for each node of the fleet: 100 writes a second of all nodes together.
const INTERVAL_PER_NODE: Duration = Duration::from_millis(10);

/// Delays after which restored records are announced. The holders of a record join one by one when
/// all nodes start.
const ANNOUNCE_DELAYS: [Duration; 3] = [
    Duration::from_millis(200),
    Duration::from_millis(800),
    Duration::from_millis(2000),
];

/// Records that the traffic thread and the control thread exchange.
pub(crate) struct StreamBackup {
    /// Records to be written.
    pending: (Sender<Vec<StreamRecord>>, Receiver<Vec<StreamRecord>>),
    /// Records of an earlier process, once they have been read.
    restored: (Sender<Vec<StreamRecord>>, Receiver<Vec<StreamRecord>>),
}

impl Default for StreamBackup {
    fn default() -> Self {
        Self {
            pending: async_channel::bounded(1),
            restored: async_channel::bounded(1),
        }
    }
}

impl StreamBackup {
    /// Waits for records to be written.
    pub(crate) async fn next_pending(&self) -> Option<Vec<StreamRecord>> {
        self.pending.1.recv().await.ok()
    }

    /// Sets the records that an earlier process of this node wrote. Called once.
    pub(crate) fn set_restored(&self, records: Vec<StreamRecord>) {
        // The channel has room for the only message.
        let _ = self.restored.0.try_send(records);
    }

    async fn wait_restored(&self) -> Vec<StreamRecord> {
        self.restored.1.recv().await.unwrap_or_default()
    }
}

/// Returns the interval between two copies of a node.
fn backup_interval(fleet_size: usize) -> Duration {
    let nodes = u32::try_from(fleet_size).unwrap_or(u32::MAX);
    INTERVAL_PER_NODE.saturating_mul(nodes).max(MIN_INTERVAL)
}

/// Restores the records of an earlier process of this node, then copies those of this one for as long as
/// the node runs.
pub(crate) async fn back_up_streams(traffic: Rc<Traffic>) {
    // A copy before that would replace the records that are to be restored.
    let restored = traffic.shared.stream_backup.wait_restored().await;
    for record in &restored {
        traffic.streams.begin(*record);
    }
    if !restored.is_empty() {
        let announce = announce_restored(traffic.clone(), restored);
        traffic.executor.spawn(announce).detach();
    }
    let mut last = Vec::new();
    loop {
        let fleet_size = traffic.shared.view.load().fleet_size;
        Timer::after(backup_interval(fleet_size)).await;
        if !traffic.shared.view.load().ledger.is_reachable {
            continue;
        }
        let records = records_to_copy(&traffic);
        let keys: Vec<StreamKey> = records.iter().map(|record| record.key).collect();
        // While the last copy is being written, the records are tried again after the next interval.
        let pending = &traffic.shared.stream_backup.pending.0;
        if keys != last && pending.try_send(records).is_ok() {
            last = keys;
        }
    }
}

/// Returns the records of this node's streams, or none while the ledger alone proves their versions.
fn records_to_copy(traffic: &Traffic) -> Vec<StreamRecord> {
    let mut services = traffic.all_services().into_iter();
    if services.all(|context| context.is_sole.get() || !context.has_streams.get()) {
        return Vec::new();
    }
    traffic.streams.begun_records()
}

async fn announce_restored(traffic: Rc<Traffic>, records: Vec<StreamRecord>) {
    for delay in ANNOUNCE_DELAYS {
        Timer::after(delay).await;
        traffic.streams.announce_records(&records);
    }
}
