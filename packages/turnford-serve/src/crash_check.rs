//! Determines whether a target crashed during a call that broke.
//!
//!
//! A reset, a truncated response or silence is not proof of a crash. Proof is a refused connection
//! of a target that no other node reaches, a different process start in the target's entry, or the
//! removal of that entry. The end of a target that announced that it leaves does not count.

use std::collections::BTreeSet;
use std::rc::Rc;

use turnford_fleet::CrashKeys;
use turnford_policy::BatchPlan;
use turnford_policy::RequestDigest;
use turnford_policy::TargetSpec;

use crate::crash::record_crash;
use crate::crash::BrokenCall;
use crate::links::check_reachability;
use crate::links::Reachability;
use crate::service_context::ServiceContext;
use crate::traffic::Traffic;

/// Evidence given by a target's store entry, as logged.
const ENTRY_EVIDENCE: &str = "its entry was removed or has another process start";

/// Checks whether a target crashed during a broken call, and records it. `place` is held until the
/// check ends, so that no other copy of the request is placed before the crash is known.
pub(crate) async fn check_broken_call<P>(
    traffic: Rc<Traffic>,
    context: Rc<ServiceContext>,
    call: BrokenCall,
    place: P,
) {
    check_broken_calls(&traffic, &context, vec![call]).await;
    drop(place);
}

/// Checks whether a target crashed during a call with the pieces of several requests.
pub(crate) async fn check_broken_pieces(
    traffic: &Rc<Traffic>,
    context: &Rc<ServiceContext>,
    target: &TargetSpec,
    plan: &BatchPlan,
) {
    let pieces = plan.pieces.iter();
    let digests: BTreeSet<RequestDigest> = pieces.map(|(_, work)| work.digest).collect();
    let is_suspect = plan.pieces.iter().any(|(_, work)| work.is_suspect);
    let is_alone = is_suspect && digests.len() == 1;
    let at = traffic.shared.now();
    let calls = digests.into_iter().map(|digest| BrokenCall {
        keys: Rc::new(CrashKeys::of_request(digest)),
        target: target.clone(),
        is_alone,
        has_started: true,
        at,
    });
    check_broken_calls(traffic, context, calls.collect()).await;
}

/// Checks whether a target crashed during the given calls, which all went to it, and records it.
async fn check_broken_calls(
    traffic: &Rc<Traffic>,
    context: &Rc<ServiceContext>,
    calls: Vec<BrokenCall>,
) {
    let Some(target) = calls.first().map(|call| call.target.clone()) else {
        return;
    };
    // A leaving target ends as planned and cuts the calls that it still runs.
    let is_leaving = {
        let table = context.targets.borrow();
        table.get(&target.id).is_some_and(|spec| spec.leaving)
    };
    if is_leaving || traffic.crashes.has_departed(&target) {
        return;
    }
    let reachability = check_reachability(traffic, &target).await;
    let is_refused = reachability == Reachability::Refused;
    if is_refused {
        let now = traffic.shared.now();
        context.targets.borrow_mut().record_refusal(now, &target.id);
    }
    for call in calls {
        if is_refused {
            record_crash(traffic, &call, "its port refuses connections");
        } else if has_restarted(context, &target) {
            record_crash(traffic, &call, ENTRY_EVIDENCE);
        } else {
            traffic.crashes.add_broken_call(call);
        }
    }
}

/// Records the crashes that a new target list of a service reveals.
pub(crate) fn check_restarts(traffic: &Rc<Traffic>, context: &ServiceContext) {
    let now = traffic.shared.now();
    let service = context.spec.borrow().name.clone();
    let has_ended =
        |target: &TargetSpec| target.service == service && has_restarted(context, target);
    for call in traffic.crashes.take_crashed(now, has_ended) {
        record_crash(traffic, &call, ENTRY_EVIDENCE);
    }
}

/// Returns whether the target's process is known to have ended unplanned since the call was made.
fn has_restarted(context: &ServiceContext, target: &TargetSpec) -> bool {
    let table = context.targets.borrow();
    let listed = table.get(&target.id);
    listed.is_none_or(|listed| listed.process_start != target.process_start && !target.leaving)
}
