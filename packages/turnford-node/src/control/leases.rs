//! Makes the calls that leases ask for.

use turnford_fleet::LeaseAction;
use turnford_fleet::LeaseAnswer;
use turnford_fleet::LeaseRecord;
use turnford_platform::PlatformFault;
use turnford_platform::VersionGuard;

use super::context::ControlContext;

/// Performs one call for a lease.
pub(super) async fn perform_lease(
    context: &ControlContext,
    key: &str,
    action: LeaseAction,
) -> LeaseAnswer {
    match action {
        LeaseAction::Read => match context.objects.get(key).await {
            Ok(value) => match serde_json::from_slice::<LeaseRecord>(&value.bytes) {
                Ok(record) => LeaseAnswer::Found(Some((value.version, record))),
                Err(_) => LeaseAnswer::Failed,
            },
            Err(PlatformFault::Absent) => LeaseAnswer::Found(None),
            Err(_) => LeaseAnswer::Failed,
        },
        LeaseAction::Write { expected, record } => {
            let guard = VersionGuard::from_version(expected);
            let bytes = serde_json::to_vec(&record).unwrap_or_default();
            match context.objects.put(key, guard, bytes).await {
                Ok(version) => LeaseAnswer::Accepted(version),
                Err(PlatformFault::Conflict { .. }) => LeaseAnswer::Conflict,
                Err(_) => LeaseAnswer::Failed,
            }
        }
    }
}
