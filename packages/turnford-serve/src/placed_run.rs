//! A request's place at a target, and what becomes of it there.

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

/// A place for a request; its end is told when this is dropped.
pub(crate) struct PlacedRun {
    pub(crate) target: TargetSpec,
    /// Whether targets crashed while they ran such a request, and it is the only such one there.
    pub(crate) is_alone: bool,
    /// Its place in the line, where it waited for a target, until it is sent.
    pub(crate) position: Option<QueuePosition>,
    pub(crate) run: Option<RunRegistration>,
}

/// The placement of a request, where a node noted it.
pub(crate) struct RunRegistration {
    pub(crate) placer: PlacerHandle,
    pub(crate) ticket: RunTicket,
    pub(crate) placed_at: Moment,
}

impl PlacedRun {
    /// Notes that the first event came.
    pub(crate) fn report_first_event(&self) {
        if let Some(run) = &self.run {
            let now = run.placer.traffic.shared.now();
            let span = now.saturating_sub(run.placed_at).as_millis();
            let span = u32::try_from(span).unwrap_or(u32::MAX);
            run.placer.notify(RunUpdate::Started(run.ticket, span));
        }
    }

    /// Notes that the target could not be reached or did not take the request.
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

/// A place as it was found now.
pub(crate) enum PlacementAttempt {
    Placed(Box<PlacedRun>),
    NoTarget,
    Held,
    Refused(Duration),
    Wait(Duration),
    Full(Duration),
}

/// Returns the placement that a node, `None` for this one, noted.
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
