//! Evidence of whether attempts ran, the only source of the `ran` value in responses to callers.

/// Evidence about one attempt at one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEvidence {
    /// No byte of the call was sent to a target.
    NotSent,
    /// The call was sent and its outcome is not known yet.
    Sent,
    /// The target refused the call before it started.
    RefusedBeforeStart,
    /// The target ran the call, completely or in part.
    Ran,
    /// The call was sent and its outcome can't be determined.
    Unknown,
}

impl AttemptEvidence {
    /// Returns whether the attempt is known not to have run.
    pub fn is_not_run(self) -> bool {
        matches!(
            self,
            AttemptEvidence::NotSent | AttemptEvidence::RefusedBeforeStart
        )
    }
}

/// Value of `ran` in a response: whether any part of the request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RanStatus {
    /// Nothing ran and nothing is billed.
    No,
    /// Something ran.
    Yes,
    /// Something may have run.
    Unknown,
}

impl RanStatus {
    /// Returns the value as it is written in responses.
    pub fn as_str(self) -> &'static str {
        match self {
            RanStatus::No => "no",
            RanStatus::Yes => "yes",
            RanStatus::Unknown => "unknown",
        }
    }
}

/// Evidence of a claim about an earlier request with the same id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimEvidence {
    /// The request ran.
    Ran,
    /// The request may have run or may be running.
    MayHaveRun,
}

/// Evidence over all attempts of one request. No later evidence revokes an earlier possible run.
#[derive(Clone, Debug, Default)]
pub struct RequestEvidence {
    open: u32,
    ran: bool,
    unknown: bool,
}

impl RequestEvidence {
    /// Creates the evidence of a request that was not started because its id had been used before.
    pub fn from_claim(claim: ClaimEvidence) -> Self {
        Self {
            open: 0,
            ran: claim == ClaimEvidence::Ran,
            unknown: claim == ClaimEvidence::MayHaveRun,
        }
    }

    /// Records that a call is about to be sent to a target.
    ///
    /// It must be called before the first byte is written, so that a request that is cancelled in
    /// between counts as sent.
    pub fn record_send(&mut self) {
        self.open += 1;
    }

    /// Records the end of an attempt, after [`RequestEvidence::record_send`].
    pub fn record_end(&mut self, evidence: AttemptEvidence) {
        debug_assert!(self.open > 0, "an attempt ended that was never sent");
        self.open = self.open.saturating_sub(1);
        match evidence {
            AttemptEvidence::NotSent | AttemptEvidence::RefusedBeforeStart => (),
            AttemptEvidence::Ran => self.ran = true,
            AttemptEvidence::Sent | AttemptEvidence::Unknown => self.unknown = true,
        }
    }

    /// Returns the value of `ran`. Open attempts count as unknown.
    pub fn ran(&self) -> RanStatus {
        if self.ran {
            RanStatus::Yes
        } else if self.unknown || self.open > 0 {
            RanStatus::Unknown
        } else {
            RanStatus::No
        }
    }
}
