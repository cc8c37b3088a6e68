//! Timers by the node's clock. This clock advances while the machine is suspended; the runtime's
//! timers don't.

use std::time::Duration;

use async_io::Timer;

use turnford_policy::Moment;

use crate::shared::ServeShared;

/// Longest sleep of one timer. After a suspend, an expired wait is noticed within this time.
const MAX_TIMER_WAIT: Duration = Duration::from_secs(1);

pub(crate) async fn wait_until(shared: &ServeShared, until: Moment) {
    loop {
        let remaining = until.saturating_sub(shared.now());
        if remaining.is_zero() {
            return;
        }
        Timer::after(remaining.min(MAX_TIMER_WAIT)).await;
    }
}
