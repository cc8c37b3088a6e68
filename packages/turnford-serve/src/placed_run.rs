//! Placements of requests at targets, and reports of their progress.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use turnford_policy::Moment;
use turnford_policy::RunTicket;
use turnford_policy::TargetSpec;
use turnford_wire::RunUpdate;

use crate::progress::PlacerHandle;
use crate::service_context::ServiceContext;
use crate::traffic::Traffic;
use crate::wait_queue::QueuePosition;

/// A request placed at a target. Dropping this reports its end to the placer.
pub(crate) struct PlacedRun {
    pub(crate) target: TargetSpec,
    /// Whether targets have crashed while running such a request, so that it runs there as the only
    /// suspect.
    pub(crate) is_alone: bool,
    /// Its position in the wait queue until it is sent, if it had to wait for a target.
    pub(crate) position: Option<QueuePosition>,
    pub(crate) run: Option<RunRegistration>,
}

/// A placement that a node has registered.
pub(crate) struct RunRegistration {
    pub(crate) placer: PlacerHandle,
    pub(crate) ticket: RunTicket,
    pub(crate) placed_at: Moment,
}

impl PlacedRun {
    /// Reports the first event of the response.
    pub(crate) fn report_first_event(&self) {
        if let Some(run) = &self.run {
            let now = run.placer.traffic.shared.now();
            let elapsed_ms = now.saturating_sub(run.placed_at).as_millis();
            let elapsed_ms = u32::try_from(elapsed_ms).unwrap_or(u32::MAX);
            run.placer
                .notify(RunUpdate::Started(run.ticket, elapsed_ms));
        }
    }

    /// Reports that the target could not be reached or did not accept the request.
    pub(crate) fn report_refusal(&self) {
        if let Some(run) = &self.run {
            run.placer.notify(RunUpdate::Refused(run.ticket));
        }
    }
}

impl Drop for RunRegistration {
    fn drop(&mut self) {
        self.placer.notify(RunUpdate::Ended(self.ticket));
    }
}

/// Outcome of one attempt to place a request.
pub(crate) enum PlacementAttempt {
    Placed(Box<PlacedRun>),
    NoTarget,
    /// No node that places for all nodes has replied.
    Unanswered,
    Held,
    Refused(Duration),
    Wait(Duration),
    Full(Duration),
}

/// Returns a handle for a placement registered by another node, or by this one if `address` is
/// `None`.
pub(crate) fn register_run(
    traffic: &Rc<Traffic>,
    context: &Rc<ServiceContext>,
    address: Option<SocketAddr>,
    ticket: RunTicket,
) -> RunRegistration {
    RunRegistration {
        placer: PlacerHandle {
            traffic: traffic.clone(),
            context: context.clone(),
            address,
        },
        ticket,
        placed_at: traffic.shared.now(),
    }
}
