//! Timeouts for other processes.

use std::time::Duration;

use async_io::Timer;

/// Number of parts in which a timeout is waited for: more than the rounds of tasks from sending a
/// request over a new connection to reading its response.
const PARTS: u32 = 8;

/// Waits until another process has had `timeout` to respond.
///
/// A thread that runs late may find the timer expired before it has read a response that arrived in
/// time. So the timeout is waited for in parts, each of which starts when the end of the one before
/// was noticed: the delay of this thread does not count as silence of the other process.
pub async fn wait_timeout(timeout: Duration) {
    for _ in 0..PARTS {
        Timer::after(timeout / PARTS).await;
    }
}
