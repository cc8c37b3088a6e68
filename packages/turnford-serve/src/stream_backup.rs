//! Copy in the store of the records of this node's streams. If all nodes end together, the started
//! nodes have these records again.

use std::rc::Rc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use async_io::Timer;

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

/// Interval for checking whether the control thread has read the last copy.
const LOAD_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Records that the traffic thread and the control thread exchange.
pub(crate) struct StreamBackup {
    /// Records to be written.
    pending: (Sender<Vec<StreamRecord>>, Receiver<Vec<StreamRecord>>),
    /// Records read at the start of the process; `None` until they have been read.
    restored: Mutex<Option<Vec<StreamRecord>>>,
}

impl Default for StreamBackup {
    fn default() -> Self {
        Self {
            pending: async_channel::bounded(1),
            restored: Mutex::default(),
        }
    }
}

impl StreamBackup {
    /// Waits for records to be written.
    pub(crate) async fn next_pending(&self) -> Option<Vec<StreamRecord>> {
        self.pending.1.recv().await.ok()
    }

    /// Sets the records that an earlier process of this node wrote.
    pub(crate) fn set_restored(&self, records: Vec<StreamRecord>) {
        let mut restored = self.restored.lock().unwrap_or_else(PoisonError::into_inner);
        *restored = Some(records);
    }

    fn take_restored(&self) -> Option<Vec<StreamRecord>> {
        let mut restored = self.restored.lock().unwrap_or_else(PoisonError::into_inner);
        restored.take()
    }
}

/// Returns the interval between two copies of a node.
pub(crate) fn backup_interval(fleet_size: usize) -> Duration {
    let nodes = u32::try_from(fleet_size).unwrap_or(u32::MAX);
    INTERVAL_PER_NODE.saturating_mul(nodes).max(MIN_INTERVAL)
}

/// Copies the records of this node's streams for as long as the node runs, while the ledger alone
/// doesn't prove their versions.
pub(crate) async fn back_up_streams(traffic: Rc<Traffic>) {
    let mut last = Vec::new();
    loop {
        let fleet_size = traffic.shared.view.load().fleet_size;
        Timer::after(backup_interval(fleet_size)).await;
        if !traffic.shared.view.load().ledger.is_reachable {
            continue;
        }
        let mut services = traffic.all_services().into_iter();
        let is_proved = services.all(|context| context.is_sole.get() || !context.has_streams.get());
        let records = if is_proved {
            Vec::new()
        } else {
            traffic.streams.begun_records()
        };
        let keys = records.iter().map(|record| record.key);
        let keys: Vec<_> = keys.collect();
        // While the last copy is being written, the records are tried again after the next interval.
        let pending = &traffic.shared.stream_backup.pending.0;
        if keys != last && pending.try_send(records).is_ok() {
            last = keys;
        }
    }
}

/// Restores the records of an earlier process of this node, when the node starts.
pub(crate) async fn restore_streams(traffic: Rc<Traffic>) {
    let records = loop {
        if let Some(records) = traffic.shared.stream_backup.take_restored() {
            break records;
        }
        Timer::after(LOAD_POLL_INTERVAL).await;
    };
    if records.is_empty() {
        return;
    }
    // As this node's own again, they are part of its next copy.
    for record in &records {
        traffic.streams.begin(*record);
    }
    for delay in ANNOUNCE_DELAYS {
        Timer::after(delay).await;
        traffic.streams.announce_records(&records);
    }
}
