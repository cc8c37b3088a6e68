//! Detection of suspends of the machine.
//!
//!
//! Connections and timers don't notice a suspend, and this node's view is older by its duration.
//! The node reports itself as not ready until the store or another node has confirmed the view.

use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_io::Timer;

use turnford_policy::boot_time;
use turnford_policy::monotonic_time;
use turnford_policy::Moment;
use turnford_policy::SuspendDetector;

use super::context::ControlContext;

/// Interval for checking for a suspend: well below the second at which the platform probes
/// readiness.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum time for which a node is not ready after a suspend. If the store and all other nodes are
/// unreachable, it serves from its view, as nodes that were not suspended do.
const MAX_CONFIRM_WAIT: Duration = Duration::from_secs(3);

/// Checks for suspends for as long as the node runs.
pub(super) async fn watch_suspend(context: Rc<ControlContext>) {
    let mut detector = SuspendDetector::new(boot_time(), monotonic_time());
    let mut resumed_at = None;
    loop {
        Timer::after(CHECK_INTERVAL).await;
        if let Some(suspended_for) = detector.check(boot_time(), monotonic_time()) {
            log::warn!(
                "the machine was suspended for {}ms",
                suspended_for.as_millis()
            );
            context.shared.was_suspended.store(true, Ordering::SeqCst);
            resumed_at = Some(context.now());
        }
        if resumed_at.is_some_and(|at| is_confirmed(&context, at)) {
            log::info!(
                "ready again after the suspend: the view is {}ms old",
                context.view_age().as_millis()
            );
            context.shared.was_suspended.store(false, Ordering::SeqCst);
            resumed_at = None;
        }
    }
}

fn is_confirmed(context: &ControlContext, resumed_at: Moment) -> bool {
    let since_resume = context.now().saturating_sub(resumed_at);
    context.view_age() < since_resume || since_resume >= MAX_CONFIRM_WAIT
}
