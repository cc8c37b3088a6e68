//! Measures how late the traffic thread runs its tasks.

use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_io::Timer;

use turnford_policy::GateChange;

use crate::readiness::update_readiness;
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
        let change = traffic.gate.borrow_mut().record_delay(now, delay);
        if let Some(change) = change {
            report_change(&traffic.shared, change);
        }
        update_readiness(&traffic);
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

fn report_change(shared: &ServeShared, change: GateChange) {
    let metrics = &shared.metrics;
    metrics
        .saturated
        .set(u64::from(matches!(change, GateChange::Saturated { .. })));
    let connections = metrics.client_connections.get();
    let running = shared.running.load(Ordering::SeqCst);
    match change {
        GateChange::Saturated { delay, rate } => log::warn!(
            "saturated=true delay_ms={} accepted_rate={rate:.1} connections={connections} running={running}",
            delay.as_millis(),
        ),
        GateChange::Recovered { rejected } => log::warn!(
            "saturated=false rejected={rejected} connections={connections} running={running}"
        ),
    }
}

fn report_delay(shared: &ServeShared, longest: Duration) {
    let metrics = &shared.metrics;
    log::warn!(
        "the traffic thread runs late: longest_delay_ms={} connections={} accepted={} rejected={} running={}",
        longest.as_millis(),
        metrics.client_connections.get(),
        metrics.accepted_connections.get(),
        metrics.rejected_connections.get(),
        shared.running.load(Ordering::SeqCst),
    );
}
