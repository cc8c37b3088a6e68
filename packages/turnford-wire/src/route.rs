//! Messages between nodes that serve routes: fleet state between control threads, work between traffic
//! threads.

use std::net::SocketAddr;

use turnford_fleet::CrashUpdate;
use turnford_fleet::LimitTerm;
use turnford_fleet::MemberUpdate;
use turnford_fleet::StreamAnswer;
use turnford_fleet::StreamKey;
use turnford_fleet::StreamRecord;
use turnford_policy::StorePosition;
use turnford_policy::DIGEST_BYTES;

use crate::CompressedText;
use crate::LimitDigest;
use crate::LimitReport;
use crate::LimitUpdate;
use crate::PermitAcquire;
use crate::PermitReply;

/// Digest of a node's knowledge, compared between nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, bincode::Encode, bincode::Decode)]
pub struct ViewDigest {
    /// Configuration version.
    pub config: u64,
    /// Store position at the last change of a target.
    pub targets: StorePosition,
}

/// Position in one process's log of target changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, bincode::Encode, bincode::Decode)]
pub struct ViewCursor {
    /// Start time of that process, in Unix milliseconds.
    pub process: u64,
    /// Store era known to that process. A cursor of another era cannot be continued.
    pub era: u64,
    /// Number of the last known change.
    pub change: u64,
}

/// Request from one control thread to another.
#[derive(Clone, Debug, PartialEq, bincode::Encode, bincode::Decode)]
pub enum ControlRequest {
    /// Failure-detector probe that carries membership gossip and the sender's digest.
    Ping {
        /// Membership updates, the sender's own first.
        gossip: Vec<MemberUpdate>,
        /// Digest of the sender's knowledge.
        digest: ViewDigest,
        /// Checksum of the members that the sender considers alive.
        members: u64,
    },
    /// Indirect probe: asks the receiver to probe another member.
    PingVia {
        /// Member to probe.
        target: MemberUpdate,
    },
    /// Requests the member list.
    MemberPull,
    /// Notifies the receiver that the sender has newer data.
    Notify {
        /// Address to pull the data from.
        from: SocketAddr,
        /// Digest of the sender's knowledge.
        digest: ViewDigest,
    },
    /// Pulls what the receiver knows and the sender does not (long poll).
    ViewPull {
        /// Configuration version of the sender.
        config: u64,
        /// Last change that the sender has from the receiving process; `None` requests all targets.
        cursor: Option<ViewCursor>,
        /// Time to wait for a change before replying, in milliseconds.
        wait_ms: u32,
    },
    /// A [`ControlRequest::ViewPull`] whose reply has the software versions of the targets.
    VersionedViewPull {
        /// Configuration version of the sender.
        config: u64,
        /// Last change that the sender has from the receiving process; `None` requests all targets.
        cursor: Option<ViewCursor>,
        /// Time to wait for a change before replying, in milliseconds.
        wait_ms: u32,
    },
}

/// A target as sent between nodes.
#[derive(Clone, Debug, PartialEq, Eq, bincode::Encode, bincode::Decode)]
pub struct TargetEntry {
    /// Id of the target.
    pub id: String,
    /// Start time of the target's process, in Unix milliseconds; 0 if unknown.
    pub process_start: u64,
    /// Service of the target.
    pub service: String,
    /// Address of the target.
    pub address: SocketAddr,
    /// Hall of the target.
    pub hall: String,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Number of orders that the target's process has accepted.
    pub orders: u64,
    /// Whether the target is leaving.
    pub leaving: bool,
    /// Time until the target expires, in milliseconds, if its entry lapsed while the store was unavailable.
    pub expires_in_ms: Option<u32>,
    /// Whether the entry has not been written since the store was restored from a backup.
    pub is_restored: bool,
}

/// What the sender knows and the receiver does not.
#[derive(Clone, Debug, PartialEq, Eq, bincode::Encode, bincode::Decode)]
pub struct ViewUpdate {
    /// The whole configuration as stored, if it is newer than the receiver's.
    pub config: Option<CompressedText>,
    /// Store position up to which the sender knows the configuration.
    pub config_position: StorePosition,
    /// Whether `targets` holds all targets instead of only changed ones.
    pub is_full: bool,
    /// New and changed targets.
    pub targets: Vec<TargetEntry>,
    /// Ids of removed targets.
    pub removed: Vec<String>,
    /// Store position up to which the sender knows the targets.
    pub target_position: StorePosition,
    /// Cursor to continue from.
    pub cursor: ViewCursor,
    /// Age of the sender's knowledge when it began the reply: time since the store last confirmed that it is
    /// complete, in milliseconds.
    pub age_ms: u32,
    /// Time that the sender waited for a change before replying, in milliseconds.
    pub waited_ms: u32,
}

/// Reply of a control thread.
#[derive(Clone, Debug, PartialEq, bincode::Encode, bincode::Decode)]
pub enum ControlReply {
    /// Reply to a ping.
    Pong {
        /// Membership updates, the replying node's own first.
        gossip: Vec<MemberUpdate>,
        /// Digest of the replying node's knowledge.
        digest: ViewDigest,
        /// Checksum of the members that it considers alive.
        members: u64,
    },
    /// Reply to an indirect probe: whether the member answered.
    Reached(bool),
    /// Reply to a member pull.
    Members(Vec<MemberUpdate>),
    /// Acknowledges a notification.
    Ack,
    /// Reply to a view pull.
    View(ViewUpdate),
    /// The request could not be decoded.
    Refused,
    /// Reply to a versioned view pull.
    VersionedView {
        /// The update.
        view: ViewUpdate,
        /// Software version of each target of the update, in the same order; `None` if unknown.
        versions: Vec<Option<String>>,
    },
}

/// An input of pieces, with what is needed to release it.
#[derive(Clone, Debug, PartialEq, Eq, bincode::Encode, bincode::Decode)]
pub struct InputEntry {
    /// Service whose target holds the result.
    pub service: String,
    /// Id of that target's process.
    pub target: String,
    /// Handle of the result.
    pub handle: String,
    /// Node that batched the piece.
    pub batcher: SocketAddr,
}

/// Pieces of one stage of one request, sent to the node that batches them.
#[derive(Clone, Debug, PartialEq, Eq, bincode::Encode, bincode::Decode)]
pub struct PieceRequest {
    /// Service that runs the pieces.
    pub service: String,
    /// Cell of the service's targets.
    pub cell: u32,
    /// Attempt id of the request.
    pub attempt: String,
    /// Digest of the request's content.
    pub digest: [u8; DIGEST_BYTES],
    /// Index of the stage within the request.
    pub stage: u32,
    /// Indices of the pieces within the stage.
    pub pieces: Vec<u32>,
    /// Key that pieces of a first stage need.
    pub piece_key: Option<String>,
    /// Handles of the results that the pieces need.
    pub inputs: Vec<String>,
    /// Results that no other pieces need; they may be released once all pieces have read them.
    pub last_use: Vec<InputEntry>,
    /// Time until the results are no longer needed, in milliseconds.
    pub remaining_ms: u64,
    /// Time until the pieces should be done, in milliseconds.
    pub due_ms: u64,
    /// Priority ranks of the request, account rank first, then route rank; 0 is the highest.
    pub ranks: (u8, u8),
    /// Size of a result, in bytes.
    pub result_bytes: u64,
    /// Preferred hall.
    pub hall: Option<String>,
    /// Time to wait for a target in the preferred hall, in milliseconds.
    pub hall_wait_ms: u32,
}

/// Outcome of one piece.
#[derive(Clone, Debug, PartialEq, Eq, bincode::Encode, bincode::Decode)]
pub enum PieceReplyItem {
    /// The piece completed.
    Completed {
        /// Handle of the result.
        handle: String,
        /// Id of the target process that holds the result.
        target: String,
    },
    /// A required input no longer exists.
    InputMissing,
    /// The piece failed.
    Failed,
    /// The piece was not offered to any target because the node has stopped batching.
    NotScheduled,
}

/// Outcomes of the pieces of a request, in the order of the request.
pub type PieceReply = Vec<PieceReplyItem>;

/// Request for the target of a call: a call to a model engine, or a suspect request to any service.
#[derive(Clone, Debug, PartialEq, Eq, bincode::Encode, bincode::Decode)]
pub struct PlaceRequest {
    /// Service of the targets.
    pub service: String,
    /// Digest of the request's content.
    pub digest: [u8; DIGEST_BYTES],
    /// Ids of the prompt's segments with their lengths in tokens, the most widely shared segment first.
    pub segments: Vec<(u64, u64)>,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u64,
    /// Maximum length of the output, in tokens.
    pub max_output_tokens: u64,
    /// Size of the request's inputs in each hall, in bytes.
    pub inputs: Vec<(String, u64)>,
    /// Targets of earlier attempts.
    pub tried: Vec<String>,
    /// Time until the first event is due, in milliseconds.
    pub due_ms: u64,
    /// Time until the request's deadline, in milliseconds.
    pub remaining_ms: u64,
    /// Term of the service's allocator, as the sender knows it.
    pub term: Option<LimitTerm>,
    /// Position in the permit queue, used if all targets are rate limited.
    pub entry: QueueEntry,
}

/// Entry of a request in the permit queue, used if all targets are rate limited.
#[derive(Clone, Copy, Debug, PartialEq, Eq, bincode::Encode, bincode::Decode)]
pub struct QueueEntry {
    /// Number of the request, unchanged while it waits.
    pub number: u64,
    /// Priority ranks of the request, account rank first, then route rank; 0 is the highest.
    pub ranks: (u8, u8),
    /// Time since the request began to wait, in milliseconds.
    pub waited_ms: u32,
    /// Time until the request must have been sent, in milliseconds.
    pub send_deadline_ms: u32,
}

/// Result of a placement request.
#[derive(Clone, Debug, PartialEq, Eq, bincode::Encode, bincode::Decode)]
pub enum PlaceReply {
    /// The request is assigned to a target.
    Assigned {
        /// Id of the target.
        target: String,
        /// Number of the placement.
        ticket: u64,
        /// Whether the request is a suspect and the only one of its kind at the target.
        is_alone: bool,
        /// Whether a permit for one call is included, if the target is rate limited.
        has_permit: bool,
    },
    /// All targets are rate limited and no permit is available yet.
    Wait {
        /// Time after which to ask again, in milliseconds.
        wait_ms: u32,
    },
    /// All targets are rate limited and no permit will be available in time.
    Full {
        /// Time after which a similar request would be accepted, in milliseconds.
        retry_after_ms: u32,
    },
    /// Another node is the allocator of the targets' permits and places the service's requests.
    Redirect(LimitTerm),
    /// No target can take the request.
    NoTarget,
    /// The request is a suspect and another copy of it is running.
    Held,
    /// The request is refused because it crashes targets.
    Refused {
        /// Time for which it is refused, in milliseconds.
        retry_after_ms: u64,
    },
}

/// One stage of an admission request.
#[derive(Clone, Debug, PartialEq, Eq, bincode::Encode, bincode::Decode)]
pub struct AdmitStage {
    /// Service that runs the stage.
    pub service: String,
    /// Number of pieces.
    pub pieces: u32,
    /// Indices of the stages whose results the stage needs.
    pub inputs: Vec<u32>,
}

/// Request to admit a request to its stages.
#[derive(Clone, Debug, PartialEq, Eq, bincode::Encode, bincode::Decode)]
pub struct AdmitRequest {
    /// Service of the request's final call; its placing node decides on admission.
    pub service: String,
    /// Stages of the request.
    pub stages: Vec<AdmitStage>,
    /// Priority ranks of the request, account rank first, then route rank; 0 is the highest.
    pub ranks: (u8, u8),
    /// Time in which the stages must complete, in milliseconds.
    pub time_budget_ms: u64,
    /// Time in which the final call must be sent, in milliseconds.
    pub send_deadline_ms: u64,
    /// Time until the request's deadline, in milliseconds.
    pub remaining_ms: u64,
}

/// Progress of an admitted or placed request. The first field is the number of its admission or placement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, bincode::Encode, bincode::Decode)]
pub enum RunUpdate {
    /// The first event arrived this many milliseconds after placement, so the prompt has been processed.
    Started(u64, u32),
    /// The engine was unreachable or did not accept the request.
    Refused(u64),
    /// The request ended.
    Ended(u64),
    /// The stage with this index is done.
    StageDone(u64, u32),
    /// The request needs no further results of its stages.
    StagesEnded(u64),
}

/// A target that announced in a response that it is leaving.
#[derive(Clone, Debug, PartialEq, Eq, bincode::Encode, bincode::Decode)]
pub struct LeavingUpdate {
    /// Service of the target.
    pub service: String,
    /// Id of the target.
    pub target: String,
    /// Start time of the target's process, in Unix milliseconds; 0 if unknown.
    pub process_start: u64,
}

/// A stage target that asked its batching node to back off.
#[derive(Clone, Debug, PartialEq, Eq, bincode::Encode, bincode::Decode)]
pub struct BackoffUpdate {
    /// Service of the target.
    pub service: String,
    /// Id of the target.
    pub target: String,
    /// Start time of the target's process, in Unix milliseconds; 0 if unknown.
    pub process_start: u64,
    /// Duration of the backoff, in milliseconds.
    pub backoff_ms: u64,
}

/// Request from one traffic thread to another.
#[derive(Clone, Debug, PartialEq, bincode::Encode, bincode::Decode)]
pub enum WorkRequest {
    /// Liveness probe.
    Probe,
    /// Runs pieces.
    Pieces(PieceRequest),
    /// Asks for admission of a request to its stages.
    Admit(AdmitRequest),
    /// Asks when the remaining stages of an admitted request will be done.
    Forecast {
        /// Service whose placing node admitted the request.
        service: String,
        /// Number of the admission.
        ticket: u64,
        /// Whether the request will miss its deadline in any case.
        is_late: bool,
    },
    /// Asks for the target of a request.
    Place(PlaceRequest),
    /// Updates on requests that crash targets.
    Crashes(Vec<CrashUpdate>),
    /// Anti-entropy exchange of known crashes.
    CrashSync {
        /// Checksum of the crashes that the sender knows.
        sum: u64,
        /// Whether the sender has just started.
        is_new: bool,
    },
    /// Targets that announced that they are leaving.
    Leaving(Vec<LeavingUpdate>),
    /// Limit that a target announced in a response.
    LimitReport(LimitReport),
    /// Requests a permit for one call to a rate-limited target.
    Permit(PermitAcquire),
    /// Limits of targets, announced by their allocators.
    Limits(Vec<LimitUpdate>),
    /// Anti-entropy exchange of limits.
    LimitSync(Vec<LimitDigest>),
    /// A stage target asked its batching node, the sender, to back off.
    Backoff(BackoffUpdate),
    /// Progress of placed requests.
    Progress {
        /// Service of the engines.
        service: String,
        /// Updates in the order of their occurrence.
        updates: Vec<RunUpdate>,
    },
    /// Releases results that are no longer needed.
    Release {
        /// Service whose targets hold the results.
        service: String,
        /// Target and handle of each result.
        results: Vec<(String, String)>,
    },
    /// Sends a call to a target that the sender can't reach.
    Relay(RelayRequest),
    /// Asks whether the receiver reaches a target.
    ReachTarget {
        /// Service of the target.
        service: String,
        /// Id of the target.
        target: String,
    },
    /// Services whose targets announced that they are brittle.
    Brittle(Vec<BrittleUpdate>),
    /// Records of streams that the sender began, for the receiver to keep.
    StreamRecords(Vec<StreamRecord>),
    /// Asks for the origin of a stream.
    StreamQuery {
        /// Key of the stream.
        key: StreamKey,
        /// Services that may have begun the stream.
        services: Vec<String>,
    },
    /// Asks whether the node has processor time left.
    LoadQuery,
    /// Targets that were observed to repeat responses.
    Repeats(Vec<RepeatUpdate>),
}

/// A call to a target that the receiver sends for the sender.
#[derive(Clone, Debug, PartialEq, Eq, bincode::Encode, bincode::Decode)]
pub struct RelayRequest {
    /// Service of the target.
    pub service: String,
    /// Id of the target.
    pub target: String,
    /// Start time of the target's process, in Unix milliseconds.
    pub process_start: u64,
    /// Client attempt that the response must carry, if any.
    pub attempt: Option<String>,
    /// Whether the call adds no new work at the target.
    pub is_maintenance: bool,
    /// Method of the HTTP request.
    pub method: String,
    /// Path and query of the HTTP request.
    pub path: String,
    /// Headers of the HTTP request.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Body of the HTTP request.
    pub body: Vec<u8>,
    /// Time until the call ends, in milliseconds.
    pub remaining_ms: u32,
}

/// A service whose targets fail when they reject too many requests of all nodes together.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, bincode::Encode, bincode::Decode)]
pub struct BrittleUpdate {
    /// Service of the targets.
    pub service: String,
    /// Time since a target announced it, in milliseconds.
    pub age_ms: u32,
}

/// A target that repeats responses on kept connections.
#[derive(Clone, Debug, PartialEq, Eq, bincode::Encode, bincode::Decode)]
pub struct RepeatUpdate {
    /// Id of the target.
    pub target: String,
    /// Time since the last repeated response, in milliseconds.
    pub age_ms: u32,
}

/// Whether a node reaches a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, bincode::Encode, bincode::Decode)]
pub enum ReachState {
    /// It does.
    Reached,
    /// The target's machine refuses its connections.
    Refused,
    /// It gets no reply.
    Silent,
    /// It reaches no targets at all, or does not know this one.
    Unknown,
}

/// Outcome of a relayed call.
#[derive(Clone, Debug, PartialEq, Eq, bincode::Encode, bincode::Decode)]
pub enum RelayReply {
    /// Head of the target's response; the body follows the reply.
    Response {
        /// Status of the HTTP response.
        status: u16,
        /// Headers of the HTTP response.
        headers: Vec<(String, Vec<u8>)>,
    },
    /// No byte was sent: the relaying node does not reach the target.
    NotReached {
        /// Whether it reaches no target at all.
        is_isolated: bool,
    },
    /// No byte was sent: the target accepts no such call from the relaying node at present.
    Unavailable,
    /// No byte was sent: the relaying node has no capacity for further calls.
    Busy,
    /// The call was sent, and its connection was lost.
    Disconnected,
    /// The call was sent, and its outcome is unknown.
    Unknown,
}

/// Reply of a traffic thread.
#[derive(Clone, Debug, PartialEq, bincode::Encode, bincode::Decode)]
pub enum WorkReply {
    /// Acknowledges a probe, crash updates, leaving and backoff updates, progress, a release and
    /// stream records.
    Ack,
    /// Reply to a request to run pieces.
    Pieces {
        /// Outcomes of the pieces.
        results: PieceReply,
        /// Current expected wait of new pieces for each account rank, in milliseconds.
        waits: Vec<u32>,
        /// Whether the inputs listed in `last_use` were released.
        released: bool,
    },
    /// The request is admitted: number of the admission, and the time until each stage is done, in
    /// milliseconds.
    Admitted(u64, Vec<u32>),
    /// The request is not admitted because it would miss its deadline.
    NotAdmitted {
        /// Time by which it would be late, in milliseconds.
        late_ms: u32,
        /// Time after which to retry, in milliseconds.
        retry_after_ms: u32,
    },
    /// Reply to a forecast request: time until each stage is done, in milliseconds; `None` if the request is
    /// unknown.
    Forecast(Option<Vec<u32>>),
    /// Reply to a placement request.
    Placed(PlaceReply),
    /// Reply to a crash exchange.
    Crashes {
        /// Checksum of the crashes that the replying node knows.
        sum: u64,
        /// Known crashes, if the checksums differ.
        updates: Vec<CrashUpdate>,
    },
    /// Reply to a permit request.
    Permit(PermitReply),
    /// Reply to a limit report and to a limit exchange.
    Limits {
        /// Limits that are new to the sender.
        updates: Vec<LimitUpdate>,
        /// Services for which the sender has newer limits.
        behind: Vec<String>,
    },
    /// The request could not be decoded, or the node cannot handle it.
    Refused,
    /// Reply to a relay request.
    Relayed(RelayReply),
    /// Reply to a question whether the node reaches a target.
    Reached(ReachState),
    /// Reply to a question for the origin of a stream.
    Stream(StreamAnswer),
    /// Reply to a question for the load.
    Load {
        /// Whether the node has less processor time than its clients need.
        is_saturated: bool,
    },
}
