//! What calls to targets are for, which decides what they may do.

use std::time::Duration;

use turnford_fleet::CrashKeys;
use turnford_fleet::CrashVerdict;

use crate::send_log::SendLog;
use crate::target_connection::ConnectionChoice;
use crate::traffic::Traffic;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallPurpose<'a> {
    /// A client's request.
    Request {
        /// Attempt id, which the response must carry.
        attempt: &'a str,
        /// Whether the request may run more than once.
        is_repeatable: bool,
        /// Connections that the request may be sent on.
        connection: ConnectionChoice,
        /// Sends of the request, this one included once it begins.
        sends: &'a SendLog,
        /// Software version that the target must have, if the request resumes a stream.
        version: Option<&'a str>,
        /// What it may crash targets by.
        keys: &'a CrashKeys,
    },
    /// Pieces of stages.
    Pieces,
    /// A call that serves work which the target already has, or that queries its state. It adds no
    /// new work.
    Maintenance,
}

impl<'a> CallPurpose<'a> {
    pub(crate) fn attempt(self) -> Option<&'a str> {
        match self {
            CallPurpose::Request { attempt, .. } => Some(attempt),
            CallPurpose::Pieces | CallPurpose::Maintenance => None,
        }
    }

    /// Returns the software version that the target must have.
    pub(crate) fn version(self) -> Option<&'a str> {
        match self {
            CallPurpose::Request { version, .. } => version,
            CallPurpose::Pieces | CallPurpose::Maintenance => None,
        }
    }

    /// Returns the time for which the call is refused because it crashes targets.
    pub(crate) fn refused_for(self, traffic: &Traffic) -> Option<Duration> {
        let CallPurpose::Request { keys, .. } = self else {
            return None;
        };
        let now = traffic.shared.now();
        match traffic.crashes.suspect(now, keys)?.verdict {
            CrashVerdict::Refused(until) => Some(until.saturating_sub(now)),
            CrashVerdict::Clear | CrashVerdict::Suspect { .. } => None,
        }
    }

    pub(crate) fn record_send(self) {
        if let CallPurpose::Request { sends, .. } = self {
            sends.record_send();
        }
    }

    pub(crate) fn record_not_run(self) {
        if let CallPurpose::Request { sends, .. } = self {
            sends.record_not_run();
        }
    }

    pub(crate) fn connection_choice(self) -> ConnectionChoice {
        match self {
            CallPurpose::Request { connection, .. } => connection,
            // The results of other pieces look like its own.
            CallPurpose::Pieces => ConnectionChoice::AvoidRepeats,
            CallPurpose::Maintenance => ConnectionChoice::Any,
        }
    }

    /// Returns whether the call may be sent again after its link was lost.
    pub(crate) fn is_repeatable(self) -> bool {
        match self {
            CallPurpose::Request { is_repeatable, .. } => is_repeatable,
            CallPurpose::Pieces | CallPurpose::Maintenance => true,
        }
    }
}
