//! Stores requests during which targets crashed more than once. If all nodes end together, the
//! nodes that start afterwards load them and don't let them crash as many targets again.

use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;

use turnford_policy::RequestDigest;

use crate::crash::apply_crash;
use crate::suspect_channel::SuspectCommand;
use crate::traffic::Traffic;

/// Crashes from which on a request is stored. A single crash is weak evidence and implicates every
/// request that shared the target.
const MIN_CRASHES: usize = 2;

/// Delay between a crash and its write to the store. By then the crashes of a group that lost power
/// are known, which are no evidence against a request.
const SETTLE_DELAY: Duration = Duration::from_millis(200);

/// Schedules the write of a request during which this node saw a target crash, if that was not its
/// first crash.
pub(crate) fn persist_crashed(traffic: &Rc<Traffic>, digest: RequestDigest) {
    let owned = traffic.clone();
    let store = async move {
        Timer::after(SETTLE_DELAY).await;
        let now = owned.shared.now();
        let updates = owned.crashes.table.borrow().updates_for(now, &digest);
        if updates.len() >= MIN_CRASHES {
            owned
                .shared
                .suspects
                .send(SuspectCommand::Store(digest, updates));
        }
    };
    traffic.executor.spawn(store).detach();
}

/// Schedules the removal of a stored request that ended cleanly.
pub(crate) fn delete_cleared(traffic: &Traffic, digest: RequestDigest, crashes: usize) {
    if crashes >= MIN_CRASHES {
        traffic.shared.suspects.send(SuspectCommand::Delete(digest));
    }
}

/// Applies the crashes that the control thread loaded from the store.
pub(crate) fn apply_stored(traffic: &Traffic) {
    for update in traffic.shared.suspects.take_stored() {
        apply_crash(traffic, &update);
    }
}
