//! Whether a target crashed under a call that broke.
//!
//! A reset, a cut answer or silence is no crash. One is known by a refused connection, by another start
//! in the target's entry, or by the end of that entry; the end of a target that leaves is none.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use turnford_http::probe_port;
use turnford_http::PortState;
use turnford_policy::BatchPlan;
use turnford_policy::RequestDigest;
use turnford_policy::TargetSpec;

use crate::crash::note_crash;
use crate::crash::BrokenCall;
use crate::service_context::ServiceContext;
use crate::traffic::Traffic;

/// Longest wait for a target's machine to say that nobody takes connections there. One that ended
/// says so within a round trip; one that lost power says nothing.
const PORT_LIMIT: Duration = Duration::from_millis(400);

/// What an entry tells of a crash.
const OTHER_START: &str = "its entry went or tells of another start";

/// Finds out whether a target crashed under a call that broke, and notes it. `place` is held until
/// then, so that no other copy is placed before the crash is known.
pub(crate) async fn check_broken_call<P>(
    traffic: Rc<Traffic>,
    desk: Rc<ServiceContext>,
    call: BrokenCall,
    place: P,
) {
    check_breaks(&traffic, &desk, vec![call]).await;
    drop(place);
}

/// Finds out whether a target crashed under a call with the pieces of some requests.
pub(crate) async fn check_broken_pieces(
    traffic: &Rc<Traffic>,
    desk: &Rc<ServiceContext>,
    target: &TargetSpec,
    plan: &BatchPlan,
) {
    let pieces = plan.pieces.iter();
    let digests: BTreeSet<RequestDigest> = pieces.map(|(_, work)| work.digest).collect();
    let is_suspect = plan.pieces.iter().any(|(_, work)| work.is_suspect);
    let is_alone = is_suspect && digests.len() == 1;
    let at = traffic.shared.now();
    let calls = digests.into_iter().map(|digest| BrokenCall {
        digest,
        target: target.clone(),
        is_alone,
        has_started: true,
        at,
    });
    check_breaks(traffic, desk, calls.collect()).await;
}

/// Finds out whether a target crashed under some requests, and notes it.
async fn check_breaks(traffic: &Rc<Traffic>, desk: &Rc<ServiceContext>, calls: Vec<BrokenCall>) {
    let Some(target) = calls.first().map(|call| call.target.clone()) else {
        return;
    };
    // A target that leaves ends as planned, and cuts what it still runs.
    let is_leaving = {
        let board = desk.targets.borrow();
        board.get(&target.id).is_some_and(|spec| spec.leaving)
    };
    if is_leaving || traffic.crashes.has_left(&target) {
        return;
    }
    let port = probe_port(target.address, PORT_LIMIT).await;
    let now = traffic.shared.now();
    if port == PortState::Refused {
        desk.targets.borrow_mut().record_refusal(now, &target.id);
    }
    for call in calls {
        if port == PortState::Refused {
            note_crash(traffic, &call, "no connection is taken");
        } else if is_other_start(desk, &target) {
            note_crash(traffic, &call, OTHER_START);
        } else {
            traffic.crashes.keep_break(call);
        }
    }
}

/// Notes crashes that a service's new list of targets shows.
pub(crate) fn check_restarts(traffic: &Rc<Traffic>, desk: &ServiceContext) {
    let now = traffic.shared.now();
    let service = desk.spec.borrow().name.clone();
    let has_ended = |target: &TargetSpec| target.service == service && is_other_start(desk, target);
    for call in traffic.crashes.take_crashed(now, has_ended) {
        note_crash(traffic, &call, OTHER_START);
    }
}

/// Tells whether a target's process is known to have ended since a call was made, unplanned.
fn is_other_start(desk: &ServiceContext, target: &TargetSpec) -> bool {
    let board = desk.targets.borrow();
    let listed = board.get(&target.id);
    listed.is_none_or(|listed| listed.process_start != target.process_start && !target.leaving)
}
