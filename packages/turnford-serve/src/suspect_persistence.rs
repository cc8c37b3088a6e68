//! Stores requests during which targets crashed more than once. If all nodes end together, the
//! nodes that start afterwards load them and don't let them crash as many targets again.

use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;

use turnford_fleet::CrashEvent;
use turnford_fleet::CrashKey;

use crate::crash::apply_crash;
use crate::suspect_channel::SuspectCommand;
use crate::traffic::Traffic;

/// Crashes, beyond those from which on a key is suspected, from which on it is stored. Fewer are weak
/// evidence and implicate every request that shared the targets.
const FURTHER_CRASHES: usize = 1;

/// Delay between a crash and its write to the store. By then the crashes of a group that lost power
/// are known, which are no evidence against a request.
const SETTLE_DELAY: Duration = Duration::from_millis(200);

/// Schedules the write of a key under which this node saw a target crash, if it has crashed enough of
/// them.
pub(crate) fn persist_crashed(traffic: &Rc<Traffic>, key: CrashKey) {
    let owned = traffic.clone();
    let store = async move {
        Timer::after(SETTLE_DELAY).await;
        let now = owned.shared.now();
        let updates = owned.crashes.table.borrow().updates_for(now, &key.digest);
        let crashes = updates
            .iter()
            .filter(|update| update.event != CrashEvent::EndedWell);
        if crashes.count() >= min_stored_crashes(&key) {
            owned
                .shared
                .suspects
                .send(SuspectCommand::Store(key.digest, updates));
        }
    };
    traffic.executor.spawn(store).detach();
}

/// Schedules the removal of a stored key whose request ended cleanly.
pub(crate) fn delete_cleared(traffic: &Traffic, key: CrashKey, crashes: usize) {
    if crashes >= min_stored_crashes(&key) {
        let command = SuspectCommand::Delete(key.digest);
        traffic.shared.suspects.send(command);
    }
}

fn min_stored_crashes(key: &CrashKey) -> usize {
    key.min_crashes() + FURTHER_CRASHES
}

/// Applies the crashes that the control thread loaded from the store.
pub(crate) fn apply_stored(traffic: &Traffic) {
    for update in traffic.shared.suspects.take_stored() {
        apply_crash(traffic, &update);
    }
}
