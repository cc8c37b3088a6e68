//! Measures how late the traffic thread runs its tasks.

use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;

use crate::shared::ServeShared;
use crate::traffic::Traffic;

/// Interval between two measurements.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// Delay from which the thread is reported as late.
const REPORTED_DELAY: Duration = Duration::from_millis(50);

/// Minimum interval between two such reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Measures the delay of a timer for as long as the node runs. A timer is late if the thread has
/// more tasks to run than it gets processor time for.
pub(crate) async fn monitor_loop(traffic: Rc<Traffic>) {
    let mut longest = Duration::ZERO;
    let mut reported_at = traffic.shared.now();
    loop {
        let due = traffic.shared.now() + SAMPLE_INTERVAL;
        Timer::after(SAMPLE_INTERVAL).await;
        let now = traffic.shared.now();
        let delay = now.saturating_sub(due);
        traffic.shared.metrics.record_loop_delay(delay);
        longest = longest.max(delay);
        if now.saturating_sub(reported_at) >= REPORT_INTERVAL {
            if longest >= REPORTED_DELAY {
                report_delay(&traffic.shared, longest);
            }
            longest = Duration::ZERO;
            reported_at = now;
        }
    }
}

fn report_delay(shared: &ServeShared, longest: Duration) {
    let metrics = &shared.metrics;
    log::warn!(
        "the traffic thread runs late: longest_delay_ms={} connections={} accepted={} running={}",
        longest.as_millis(),
        metrics.client_connections.get(),
        metrics.accepted_connections.get(),
        shared.running.load(std::sync::atomic::Ordering::SeqCst),
    );
}
