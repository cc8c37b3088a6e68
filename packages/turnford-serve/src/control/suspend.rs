//! Finding out that the machine was suspended.
//!
//! Connections and timers notice nothing of it, and what this node knows is as old as the sleep was
//! long. Until the store or another node has confirmed it, the node says that it is not ready.

use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_io::Timer;

use turnford_policy::boot_time;
use turnford_policy::monotonic_time;
use turnford_policy::Moment;
use turnford_policy::SuspendDetector;

use super::context::ControlContext;

/// Pause between looks: well below the second in which the platform asks whether the node is ready.
const LOOK_PAUSE: Duration = Duration::from_millis(200);

/// Longest time for which a node that slept is not ready: where the store and all others are away, it
/// serves by what it knows, as nodes that did not sleep do.
const CONFIRM_LIMIT: Duration = Duration::from_secs(3);

/// Looks for sleeps for as long as the node runs.
pub(super) async fn watch_sleep(context: Rc<ControlContext>) {
    let mut watch = SuspendDetector::new(boot_time(), monotonic_time());
    let mut woken_at = None;
    loop {
        Timer::after(LOOK_PAUSE).await;
        if let Some(slept) = watch.check(boot_time(), monotonic_time()) {
            log::warn!("the machine was suspended for {}ms", slept.as_millis());
            context.shared.was_suspended.store(true, Ordering::SeqCst);
            woken_at = Some(context.now());
        }
        if woken_at.is_some_and(|at| is_confirmed(&context, at)) {
            log::info!(
                "awake: what is known is {}ms old",
                context.view_age().as_millis()
            );
            context.shared.was_suspended.store(false, Ordering::SeqCst);
            woken_at = None;
        }
    }
}

fn is_confirmed(context: &ControlContext, woken_at: Moment) -> bool {
    let awake = context.now().saturating_sub(woken_at);
    context.view_age() < awake || awake >= CONFIRM_LIMIT
}
