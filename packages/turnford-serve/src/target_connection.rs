//! Connections to targets: which one a call uses, and whether a later call may use it again.

use std::time::Duration;

use http::response::Parts;

use turnford_adapter::decode_response;
use turnford_http::HttpConnection;
use turnford_policy::TargetSpec;

use crate::links::record_failure;
use crate::metrics::ServiceEvent;
use crate::traffic::Traffic;

/// Timeout for opening a connection to a target. A lost SYN packet is retransmitted only after a
/// second, and trying another target is faster than that.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time for which an idle connection is reused if the target announces no keep-alive timeout.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_millis(700);

/// Ratio of the announced keep-alive timeout for which a connection is reused, so that a request
/// does not cross the target's close.
const KEEP_ALIVE_RATIO: f64 = 0.6;

/// Connections that a call may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionChoice {
    Any,
    /// Idle ones only to targets that are not known to repeat responses.
    AvoidRepeats,
    /// A new connection, which carries no response to an earlier call.
    New,
}

/// A connection to a target.
pub(crate) struct TargetConnection {
    pub(crate) connection: HttpConnection,
    /// Whether it was opened for this call.
    pub(crate) is_new: bool,
    /// Whether later calls may use it.
    is_reusable: bool,
}

/// Returns a connection to a target, an idle one if there is any, or `None` if the target is not
/// reached.
pub(crate) async fn open_connection(
    traffic: &Traffic,
    target: &TargetSpec,
    timeout: Duration,
    choice: ConnectionChoice,
) -> Option<TargetConnection> {
    let address = traffic.shared.settings.target_address(target.address);
    let now = traffic.shared.now();
    let is_reusable = match choice {
        ConnectionChoice::Any => true,
        ConnectionChoice::AvoidRepeats => !traffic.repeats.borrow().is_expected(now, &target.id),
        ConnectionChoice::New => false,
    };
    let idle = is_reusable.then(|| traffic.pool.borrow_mut().take(now, address, Duration::MAX));
    if let Some(connection) = idle.flatten() {
        return Some(TargetConnection {
            connection,
            is_new: false,
            is_reusable,
        });
    }
    // Half of the time is left for another node.
    let timeout = CONNECT_TIMEOUT.min(timeout / 2);
    let opened = HttpConnection::open(&traffic.executor, address, timeout).await;
    let metrics = &traffic.shared.metrics;
    metrics.record_service_event(&target.service, ServiceEvent::Connected);
    if opened.is_err() {
        record_failure(traffic, &target.id);
    }
    opened.ok().map(|connection| TargetConnection {
        connection,
        is_new: true,
        is_reusable,
    })
}

/// A connection to a target that carries a response.
pub(crate) struct DirectLink {
    connection: HttpConnection,
    /// Time for which the connection may be reused after the response.
    keep_alive: Duration,
}

impl DirectLink {
    pub(crate) fn new(opened: TargetConnection, parts: &Parts) -> Self {
        let keep_alive = match decode_response(parts) {
            Ok(attributes) if opened.is_reusable && !attributes.closes => attributes
                .keep_alive
                .map_or(DEFAULT_KEEP_ALIVE, |time| time.mul_f64(KEEP_ALIVE_RATIO)),
            _ => Duration::ZERO,
        };
        Self {
            connection: opened.connection,
            keep_alive,
        }
    }
}

/// Returns a connection to the pool until its target may close it.
pub(crate) fn recycle_connection(traffic: &Traffic, link: DirectLink) {
    let now = traffic.shared.now();
    let mut pool = traffic.pool.borrow_mut();
    pool.put(now, link.connection, link.keep_alive);
}
