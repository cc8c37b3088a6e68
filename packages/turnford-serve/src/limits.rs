//! Limits that targets name for all nodes together: who divides them, and permits for calls.
//!
//! The node that places for a service divides the limits of its targets. A call to a target with a limit
//! needs a permit of it; a node that gets no answer sends nothing there.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;

use turnford_fleet::DividerId;
use turnford_fleet::DivisionRole;
use turnford_fleet::Duty;
use turnford_fleet::HolderSight;
use turnford_fleet::LimitTerm;
use turnford_fleet::PermitUse;
use turnford_fleet::PERMIT_SPAN;
use turnford_policy::Moment;
use turnford_policy::TargetSpec;
use turnford_wire::PermitAsk;
use turnford_wire::PermitReply;
use turnford_wire::WorkReply;
use turnford_wire::WorkRequest;

use crate::desk::ServiceDesk;
use crate::limit_news::note_term;
use crate::limit_news::publish;
use crate::limit_news::report_limit;
use crate::metrics::ServiceEvent;
use crate::placement::PLACE_LIMIT;
use crate::traffic::Traffic;
use crate::work::call_peer;
use crate::work::doer_of;
use crate::work::ALIVE_LIMIT;

/// Nodes that are asked one after the other, each named by the one before or next in its place.
const ASK_TRIES: usize = 3;

/// Time since the last word of the node that divides in which it is not looked for.
const HEARD_SPAN: Duration = Duration::from_secs(1);

/// Pause before a node that nobody gave an answer asks again.
const UNHEARD_PAUSE: Duration = Duration::from_millis(100);

/// What became of an ask for a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PermitEnd {
    /// One call may go.
    Granted,
    /// None now; when to ask again.
    Wait(Duration),
}

/// Returns the identity under which this node divides.
pub(crate) fn own_divider(traffic: &Traffic) -> DividerId {
    let shared = &traffic.shared;
    DividerId {
        name: shared.settings.name.to_string(),
        process: shared.started,
        work: shared.settings.work,
    }
}

/// Returns the address of the node that places for a service, and divides its targets' limits; `None` if it
/// is this one. Where there are limits, it stays with the one that has begun.
pub(crate) fn placer_of(traffic: &Traffic, desk: &ServiceDesk) -> Option<SocketAddr> {
    let service = desk.spec.borrow().name.to_string();
    let by_rank = || doer_of(traffic, &Duty::Place(service));
    if !desk.is_divided.get() {
        return by_rank();
    }
    let division = desk.division.borrow();
    let Some(term) = division.term() else {
        return by_rank();
    };
    let now = traffic.shared.now();
    if term.holder == own_divider(traffic) {
        return if traffic.shared.is_draining() {
            by_rank()
        } else {
            None
        };
    }
    let holder = term.holder.work;
    let is_up = traffic.work.state(holder).takes_work(now);
    if is_up {
        Some(holder)
    } else {
        by_rank()
    }
}

/// Finds out who divides for a node that asks this one, or for this one itself.
pub(crate) fn enter_division(
    traffic: &Rc<Traffic>,
    desk: &Rc<ServiceDesk>,
    asked: Option<&LimitTerm>,
) -> DivisionRole {
    let now = traffic.shared.now();
    if let Some(asked) = asked {
        note_term(traffic, desk, asked);
    }
    let sight = |holder: &DividerId| {
        let state = traffic.work.state(holder.work);
        let heard = state.heard.get();
        if !state.takes_work(now) {
            HolderSight::Lost
        } else if !heard.is_zero() && now.saturating_sub(heard) < HEARD_SPAN {
            HolderSight::Heard
        } else {
            HolderSight::Unknown
        }
    };
    let mut division = desk.division.borrow_mut();
    let role = division.enter(now, asked, sight, desk.limits.borrow().limited());
    let term = division.term().cloned();
    if let Some(divider) = division.divider() {
        divider.note_reach(traffic.shared.view.load().reaches_half());
    }
    drop(division);
    match &role {
        DivisionRole::Divides { is_new: true } => {
            let service = desk.spec.borrow().name.clone();
            let number = term.map_or(0, |term| term.number);
            log::info!("divides limits of service={service} term={number}");
            desk.is_divided.set(true);
            desk.limits.borrow_mut().renumber();
            publish(traffic, desk, true);
        }
        DivisionRole::Doubted(term) => {
            let look = look_for(traffic.clone(), term.holder.work);
            traffic.executor.spawn(look).detach();
        }
        DivisionRole::Divides { .. } | DivisionRole::Elsewhere(_) => {}
    }
    role
}

/// Finds out whether a node is there that another one finds lost.
async fn look_for(traffic: Rc<Traffic>, holder: SocketAddr) {
    call_peer(&traffic, holder, &WorkRequest::Alive, ALIVE_LIMIT).await;
}

/// Asks for a permit to send a call to a target with a limit, and keeps it for the next such call.
pub(crate) async fn ask_permit(
    traffic: &Rc<Traffic>,
    desk: &Rc<ServiceDesk>,
    target: &TargetSpec,
    purpose: PermitUse,
) -> PermitEnd {
    for _ in 0..ASK_TRIES {
        let asked_at = traffic.shared.now();
        let reply = match placer_of(traffic, desk) {
            None => grant_here(traffic, desk, &permit_ask(desk, target, purpose)),
            Some(peer) => {
                let request = WorkRequest::Permit(permit_ask(desk, target, purpose));
                let reply = call_peer(traffic, peer, &request, PLACE_LIMIT).await;
                let Some(WorkReply::Permit(reply)) = reply else {
                    continue;
                };
                reply
            }
        };
        match reply {
            PermitReply::Granted => {
                add_permit(traffic, desk, &target.id, asked_at);
                return PermitEnd::Granted;
            }
            PermitReply::Free => {
                // What this node knows is old, unless the other one missed it.
                report_limit(traffic, desk, target);
                return PermitEnd::Wait(UNHEARD_PAUSE);
            }
            PermitReply::Wait { wait_ms } => {
                return PermitEnd::Wait(Duration::from_millis(u64::from(wait_ms)));
            }
            PermitReply::Elsewhere(term) => note_holder(traffic, desk, &term),
        }
    }
    PermitEnd::Wait(UNHEARD_PAUSE)
}

/// Asks for a permit until there is one; false if there is none until a moment.
pub(crate) async fn wait_permit(
    traffic: &Rc<Traffic>,
    desk: &Rc<ServiceDesk>,
    target: &TargetSpec,
    until: Moment,
) -> bool {
    loop {
        let now = traffic.shared.now();
        if desk.limits.borrow().is_open(now, &target.id) {
            return true;
        }
        match ask_permit(traffic, desk, target, PermitUse::Upkeep).await {
            PermitEnd::Granted => return true,
            PermitEnd::Wait(span) if traffic.shared.now() + span < until => {
                Timer::after(span).await;
            }
            PermitEnd::Wait(_) => return false,
        }
    }
}

/// Keeps a permit that was asked for at a moment.
pub(crate) fn add_permit(traffic: &Traffic, desk: &ServiceDesk, target: &str, asked_at: Moment) {
    let mut limits = desk.limits.borrow_mut();
    limits.add_permit(target, asked_at + PERMIT_SPAN);
    let service = &desk.spec.borrow().name;
    let metrics = &traffic.shared.metrics;
    metrics.note_service(service, ServiceEvent::Permit);
}

/// Notes that another node named who divides.
pub(crate) fn note_holder(traffic: &Rc<Traffic>, desk: &Rc<ServiceDesk>, term: &LimitTerm) {
    note_term(traffic, desk, term);
    desk.is_divided.set(true);
    traffic.work.state(term.holder.work).note_heard_of();
}

fn permit_ask(desk: &ServiceDesk, target: &TargetSpec, purpose: PermitUse) -> PermitAsk {
    PermitAsk {
        service: target.service.to_string(),
        term: desk.division.borrow().term().cloned(),
        target: target.id.to_string(),
        born: target.born,
        state: desk.limits.borrow().state(&target.id),
        purpose,
    }
}

/// Answers an ask for a permit.
pub(crate) fn answer_permit(traffic: &Rc<Traffic>, ask: &PermitAsk) -> WorkReply {
    match traffic.desk(&ask.service) {
        Some(desk) => WorkReply::Permit(grant_here(traffic, &desk, ask)),
        None => WorkReply::Refused,
    }
}

fn grant_here(traffic: &Rc<Traffic>, desk: &Rc<ServiceDesk>, ask: &PermitAsk) -> PermitReply {
    match enter_division(traffic, desk, ask.term.as_ref()) {
        DivisionRole::Divides { .. } => {}
        DivisionRole::Elsewhere(term) => return PermitReply::Elsewhere(term),
        DivisionRole::Doubted(_) => return wait_reply(ALIVE_LIMIT),
    }
    let now = traffic.shared.now();
    let mut division = desk.division.borrow_mut();
    let Some(divider) = division.divider() else {
        return wait_reply(UNHEARD_PAUSE);
    };
    divider.adopt(now, &ask.target.as_str().into(), ask.born, ask.state);
    if !divider.is_limited(now, &ask.target) {
        return PermitReply::Free;
    }
    match divider.take(now, &ask.target, ask.purpose) {
        Ok(()) => PermitReply::Granted,
        Err(wait) => wait_reply(wait),
    }
}

fn wait_reply(wait: Duration) -> PermitReply {
    PermitReply::Wait {
        wait_ms: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX),
    }
}
