//! Makes the calls that leases ask for.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use turnford_fleet::LeaseAction;
use turnford_fleet::LeaseHolder;
use turnford_fleet::LeaseOutcome;
use turnford_fleet::LeaseRecord;
use turnford_platform::PlatformError;
use turnford_platform::VersionGuard;

use super::context::ControlContext;

/// Has the tokens of a lease's next terms rise with the time of day: a platform that comes back from a copy
/// may have lost the record that holds the highest one.
pub(super) fn raise_token(lease: &mut LeaseHolder) {
    match SystemTime::now().duration_since(UNIX_EPOCH) {
        Ok(since) => lease.raise_token_floor(u64::try_from(since.as_millis()).unwrap_or(0)),
        Err(fault) => log::warn!("time of day before 1970, tokens don't rise with it: {fault}"),
    }
}

/// Performs one call for a lease; returns its end, and how long before that the platform last came back from
/// a copy, where it tells.
pub(super) async fn perform_lease(
    context: &ControlContext,
    key: &str,
    action: LeaseAction,
) -> (LeaseOutcome, Option<Duration>) {
    let answer = call_platform(context, key, action).await;
    // No other call ends between that answer and this line.
    (answer, context.objects.restored_ago())
}

async fn call_platform(context: &ControlContext, key: &str, action: LeaseAction) -> LeaseOutcome {
    match action {
        LeaseAction::Read => match context.objects.get(key).await {
            Ok(value) => match serde_json::from_slice::<LeaseRecord>(&value.bytes) {
                Ok(record) => LeaseOutcome::Found(Some((value.version, record))),
                Err(_) => LeaseOutcome::Failed,
            },
            Err(PlatformError::NotFound) => LeaseOutcome::Found(None),
            Err(_) => LeaseOutcome::Failed,
        },
        LeaseAction::Write { expected, record } => {
            let guard = VersionGuard::from_version(expected);
            let bytes = serde_json::to_vec(&record).unwrap_or_default();
            match context.objects.put(key, guard, bytes).await {
                Ok(version) => LeaseOutcome::Accepted(version),
                Err(PlatformError::Conflict { .. }) => LeaseOutcome::Conflict,
                Err(_) => LeaseOutcome::Failed,
            }
        }
    }
}
