//! What is known of an attempt, and the only way to the caller's `ran` word.

/// What the node knows of one attempt at one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEvidence {
    /// No byte of the call was handed to a target.
    NotSent,
    /// The call was handed over and nothing more is known yet.
    Sent,
    /// The target itself refused before it started.
    RefusedBeforeStart,
    /// The target ran the call, whole or not.
    Ran,
    /// The call was handed over and its outcome can't be learned.
    Unknown,
}

/// The word that a caller gets about whether anything ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RanStatus {
    /// Nothing ran, and nothing is billed.
    No,
    /// Something ran.
    Yes,
    /// Something may have run.
    Unknown,
}

impl RanStatus {
    /// Returns the word as the interface spells it.
    pub fn as_str(self) -> &'static str {
        match self {
            RanStatus::No => "no",
            RanStatus::Yes => "yes",
            RanStatus::Unknown => "unknown",
        }
    }
}

/// What a claim says of an earlier request with the same id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimEvidence {
    /// It ran.
    Ran,
    /// It may have run or be running.
    MayHaveRun,
}

/// Evidence over all attempts of one request; it only ever gets worse.
#[derive(Clone, Debug, Default)]
pub struct RequestEvidence {
    open: u32,
    ran: bool,
    unknown: bool,
}

impl RequestEvidence {
    /// Returns the evidence of a request that was not started because its id was used before.
    pub fn from_claim(knowledge: ClaimEvidence) -> Self {
        Self {
            open: 0,
            ran: knowledge == ClaimEvidence::Ran,
            unknown: knowledge == ClaimEvidence::MayHaveRun,
        }
    }

    /// Notes that a call is about to be handed to a target.
    ///
    /// It is called before the first byte is written, so that a request that is cut off in between
    /// counts as sent.
    pub fn record_send(&mut self) {
        self.open += 1;
    }

    /// Notes how an attempt ended, after [`RequestEvidence::record_send`].
    pub fn record_end(&mut self, evidence: AttemptEvidence) {
        debug_assert!(self.open > 0, "an attempt ended that was never sent");
        self.open = self.open.saturating_sub(1);
        match evidence {
            AttemptEvidence::NotSent | AttemptEvidence::RefusedBeforeStart => (),
            AttemptEvidence::Ran => self.ran = true,
            AttemptEvidence::Sent | AttemptEvidence::Unknown => self.unknown = true,
        }
    }

    /// Returns the caller's word. An attempt still open counts as unknown.
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
