//! RPC protocol between the nodes of one fleet: `bincode`-encoded messages over HTTP/2, one call per
//! stream.
//!
//! A frame is a version byte followed by a body of bounded size. A node decodes only frames of its own
//! protocol version; it answers others with a refusal, which every version can decode.

mod body;
mod client;
mod codec;
mod compressed;
mod limit;
mod message;
mod route;
mod server;
mod streamed;

pub use client::PeerClient;
pub use client::PeerError;
pub use codec::decode_frame;
pub use codec::decode_reply;
pub use codec::decode_request;
pub use codec::encode_frame;
pub use codec::encode_reply;
pub use codec::encode_request;
pub use codec::FrameError;
pub use codec::FRAME_LIMIT;
pub use codec::PROTOCOL_VERSION;
pub use compressed::CompressedText;
pub use limit::LimitDigest;
pub use limit::LimitReport;
pub use limit::LimitUpdate;
pub use limit::PermitAcquire;
pub use limit::PermitReply;
pub use message::PeerReply;
pub use message::PeerRequest;
pub use route::AdmitRequest;
pub use route::AdmitStage;
pub use route::BackoffUpdate;
pub use route::BrittleUpdate;
pub use route::ControlReply;
pub use route::ControlRequest;
pub use route::InputEntry;
pub use route::LeavingUpdate;
pub use route::PieceReply;
pub use route::PieceReplyItem;
pub use route::PieceRequest;
pub use route::PlaceReply;
pub use route::PlaceRequest;
pub use route::QueueEntry;
pub use route::ReachState;
pub use route::RelayReply;
pub use route::RelayRequest;
pub use route::RepeatUpdate;
pub use route::RunUpdate;
pub use route::TargetEntry;
pub use route::ViewCursor;
pub use route::ViewDigest;
pub use route::ViewUpdate;
pub use route::WorkReply;
pub use route::WorkRequest;
pub use server::accept_peers;
pub use server::CancelPolicy;
pub use streamed::PeerBody;
pub use streamed::ReplyBody;
pub use streamed::StreamedReply;
