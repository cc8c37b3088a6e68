//! Waits by the node's clock, which goes on while the machine is suspended; timers don't.

use std::time::Duration;

use async_io::Timer;

use turnford_policy::Moment;

use crate::shared::ServeShared;

/// Longest wait for one timer: after a sleep, what is due is found out within this.
const MAX_TIMER_WAIT: Duration = Duration::from_secs(1);

/// Waits until a moment.
pub(crate) async fn wait_until(shared: &ServeShared, until: Moment) {
    loop {
        let remaining = until.saturating_sub(shared.now());
        if remaining.is_zero() {
            return;
        }
        Timer::after(remaining.min(MAX_TIMER_WAIT)).await;
    }
}
