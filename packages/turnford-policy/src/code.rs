//! Numbered result codes, as documented in docs/CODES.md.

/// Outcome of a request. The numbers are stable; the `ran` value beside them is derived from
/// [`RequestEvidence`](crate::RequestEvidence) alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[repr(u16)]
pub enum ResultCode {
    /// The response is complete and within the deadline.
    Done = 0,
    /// The response is complete, but after the deadline.
    DoneLate = 1,
    /// The complete response of a finished claim was returned again.
    DoneBefore = 2,
    /// The call is malformed.
    BadRequest = 100,
    /// The account key is missing or unknown.
    UnknownAccount = 101,
    /// The pipeline template does not exist.
    UnknownTemplate = 102,
    /// The account has no parameters for this template.
    TemplateNotAllowed = 103,
    /// The input is longer than the account's limit.
    InputTooLarge = 104,
    /// The account's rate limit is reached.
    RateLimited = 110,
    /// The account's concurrency limit is reached.
    ConcurrencyLimited = 111,
    /// The stages can't finish within the deadline.
    DeadlineTooShort = 120,
    /// The work queue is full of work of the same or a higher class.
    QueueFull = 121,
    /// Queued work was dropped because it could no longer finish in time.
    Shed = 122,
    /// No target can run the stage.
    NoTarget = 123,
    /// Targets crash when they run this request.
    CrashesTargets = 124,
    /// Targets crashed while they ran this request, and another copy of it is running on trial.
    OnTrial = 125,
    /// The software version that began the resumed stream is not known.
    StreamUnknown = 126,
    /// No target of the software version that began the resumed stream is left.
    VersionGone = 127,
    /// Targets crash when they run requests with a segment of this one's prompt.
    CrashingSegment = 128,
    /// The platform can't record the claim at the moment.
    ClaimUnavailable = 130,
    /// A request with the same id is running.
    ClaimRunning = 131,
    /// A request with the same id has run and its response is no longer stored.
    ClaimFinished = 132,
    /// A request with the same id was started and its outcome is unknown.
    ClaimUnknown = 133,
    /// The claim range is full until expired claims are removed.
    ClaimFull = 134,
    /// The node is shutting down.
    Draining = 140,
    /// The node has no configuration yet.
    NotReady = 141,
    /// A stage failed.
    StageFailed = 200,
    /// The deadline passed before the response was complete.
    DeadlinePassed = 201,
    /// A token stream broke before its end.
    StreamBroken = 202,
    /// The response of a target belonged to another attempt or could not be decoded.
    AnswerInvalid = 203,
    /// The caller disconnected.
    CallerGone = 204,
    /// The call was sent and its outcome is unknown.
    OutcomeUnknown = 300,
}

impl ResultCode {
    /// All codes in ascending order.
    pub const ALL: [ResultCode; 32] = [
        ResultCode::Done,
        ResultCode::DoneLate,
        ResultCode::DoneBefore,
        ResultCode::BadRequest,
        ResultCode::UnknownAccount,
        ResultCode::UnknownTemplate,
        ResultCode::TemplateNotAllowed,
        ResultCode::InputTooLarge,
        ResultCode::RateLimited,
        ResultCode::ConcurrencyLimited,
        ResultCode::DeadlineTooShort,
        ResultCode::QueueFull,
        ResultCode::Shed,
        ResultCode::NoTarget,
        ResultCode::CrashesTargets,
        ResultCode::OnTrial,
        ResultCode::StreamUnknown,
        ResultCode::VersionGone,
        ResultCode::CrashingSegment,
        ResultCode::ClaimUnavailable,
        ResultCode::ClaimRunning,
        ResultCode::ClaimFinished,
        ResultCode::ClaimUnknown,
        ResultCode::ClaimFull,
        ResultCode::Draining,
        ResultCode::NotReady,
        ResultCode::StageFailed,
        ResultCode::DeadlinePassed,
        ResultCode::StreamBroken,
        ResultCode::AnswerInvalid,
        ResultCode::CallerGone,
        ResultCode::OutcomeUnknown,
    ];

    /// Returns the number of the code.
    pub fn number(self) -> u16 {
        self as u16
    }

    /// Returns the name of the code in responses.
    pub fn name(self) -> &'static str {
        match self {
            ResultCode::Done => "done",
            ResultCode::DoneLate => "done-late",
            ResultCode::DoneBefore => "done-before",
            ResultCode::BadRequest => "bad-request",
            ResultCode::UnknownAccount => "unknown-account",
            ResultCode::UnknownTemplate => "unknown-template",
            ResultCode::TemplateNotAllowed => "template-not-allowed",
            ResultCode::InputTooLarge => "input-too-large",
            ResultCode::RateLimited => "rate-limited",
            ResultCode::ConcurrencyLimited => "concurrency-limited",
            ResultCode::DeadlineTooShort => "deadline-too-short",
            ResultCode::QueueFull => "queue-full",
            ResultCode::Shed => "shed",
            ResultCode::NoTarget => "no-target",
            ResultCode::CrashesTargets => "crashes-targets",
            ResultCode::OnTrial => "on-trial",
            ResultCode::StreamUnknown => "stream-unknown",
            ResultCode::VersionGone => "version-gone",
            ResultCode::CrashingSegment => "crashing-segment",
            ResultCode::ClaimUnavailable => "claim-unavailable",
            ResultCode::ClaimRunning => "claim-running",
            ResultCode::ClaimFinished => "claim-finished",
            ResultCode::ClaimUnknown => "claim-unknown",
            ResultCode::ClaimFull => "claim-full",
            ResultCode::Draining => "draining",
            ResultCode::NotReady => "not-ready",
            ResultCode::StageFailed => "stage-failed",
            ResultCode::DeadlinePassed => "deadline-passed",
            ResultCode::StreamBroken => "stream-broken",
            ResultCode::AnswerInvalid => "answer-invalid",
            ResultCode::CallerGone => "caller-gone",
            ResultCode::OutcomeUnknown => "outcome-unknown",
        }
    }

    /// Returns the HTTP status of responses with the code.
    pub fn http_status(self) -> u16 {
        match self {
            ResultCode::Done | ResultCode::DoneLate | ResultCode::DoneBefore => 200,
            ResultCode::BadRequest => 400,
            ResultCode::UnknownAccount => 401,
            ResultCode::TemplateNotAllowed => 403,
            ResultCode::UnknownTemplate => 404,
            ResultCode::ClaimRunning | ResultCode::ClaimFinished | ResultCode::ClaimUnknown => 409,
            ResultCode::InputTooLarge => 413,
            ResultCode::RateLimited | ResultCode::ConcurrencyLimited => 429,
            ResultCode::StageFailed | ResultCode::StreamBroken | ResultCode::AnswerInvalid => 502,
            ResultCode::DeadlinePassed | ResultCode::OutcomeUnknown => 504,
            _ => 503,
        }
    }

    /// Returns true if a limit of the account was reached.
    pub fn is_limit(self) -> bool {
        matches!(
            self,
            ResultCode::RateLimited | ResultCode::ConcurrencyLimited
        )
    }

    /// Returns true if the response is complete.
    pub fn is_complete(self) -> bool {
        self.number() < 100
    }
}
