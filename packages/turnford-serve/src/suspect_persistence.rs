//! Requests under which targets crashed more than once are kept in the store: where all nodes end together,
//! those that start know of them, and don't have them crash as many targets again.

use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;

use turnford_policy::RequestDigest;

use crate::crash::take_crash;
use crate::suspect_channel::KeepOrder;
use crate::traffic::Traffic;

/// Crashes from which on a request is kept: one tells too little, and has many neighbours.
const LEAST_CRASHES: usize = 2;

/// Time after a crash until it is kept: crashes of a group that lost power are known by then, and tell
/// nothing of a request.
const SETTLE_PAUSE: Duration = Duration::from_millis(200);

/// Has a request kept under which this node saw a target crash, if that was not the first.
pub(crate) fn keep_crashed(traffic: &Rc<Traffic>, digest: RequestDigest) {
    let keeper = traffic.clone();
    let keep = async move {
        Timer::after(SETTLE_PAUSE).await;
        let now = keeper.shared.now();
        let news = keeper.crashes.table.borrow().updates_for(now, &digest);
        if news.len() >= LEAST_CRASHES {
            keeper.shared.kept.order(KeepOrder::Keep(digest, news));
        }
    };
    traffic.executor.spawn(keep).detach();
}

/// Has a request removed that had been kept, and ended well.
pub(crate) fn forget_cleared(traffic: &Traffic, digest: RequestDigest, crashes: usize) {
    if crashes >= LEAST_CRASHES {
        traffic.shared.kept.order(KeepOrder::Forget(digest));
    }
}

/// Takes what the control thread learned from the store.
pub(crate) fn take_kept(traffic: &Traffic) {
    for news in traffic.shared.kept.take_learned() {
        take_crash(traffic, &news);
    }
}
