//! Performs the platform calls that leases request.

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

/// Raises the floor of a lease's next tokens to the time of day, in milliseconds: a platform
/// restored from a backup may have lost the record of the highest token.
pub(super) fn raise_token(lease: &mut LeaseHolder) {
    match SystemTime::now().duration_since(UNIX_EPOCH) {
        Ok(since) => lease.raise_token_floor(u64::try_from(since.as_millis()).unwrap_or(0)),
        Err(error) => log::warn!("system clock is before 1970, token floor not raised: {error}"),
    }
}

/// Performs one call for a lease. Returns its outcome and, if the platform reports it, the time
/// since the platform was last restored from a backup.
pub(super) async fn perform_lease(
    context: &ControlContext,
    key: &str,
    action: LeaseAction,
) -> (LeaseOutcome, Option<Duration>) {
    let outcome = call_platform(context, key, action).await;
    // There is no await point between the response and this line, so no other call completes
    // between.
    (outcome, context.objects.restored_ago())
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
