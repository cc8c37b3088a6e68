//! The inner protocol between the nodes of one fleet: typed messages in `bincode`, over `h2`
//! streams, one call a stream.
//!
//! A frame is a version byte and a body of bounded size. A node understands frames of its own
//! version only and refuses others by a frame that every version reads.

mod body;
mod client;
mod codec;
mod limit;
mod message;
mod packed;
mod route;
mod server;

pub use client::PeerClient;
pub use client::PeerFault;
pub use codec::decode_frame;
pub use codec::decode_reply;
pub use codec::decode_request;
pub use codec::encode_frame;
pub use codec::encode_reply;
pub use codec::encode_request;
pub use codec::FrameFault;
pub use codec::FRAME_LIMIT;
pub use codec::PROTOCOL_VERSION;
pub use limit::LimitMark;
pub use limit::LimitNews;
pub use limit::LimitReport;
pub use limit::PermitAsk;
pub use limit::PermitReply;
pub use message::PeerReply;
pub use message::PeerRequest;
pub use packed::PackedText;
pub use route::AdmitAsk;
pub use route::AdmitStage;
pub use route::InputEntry;
pub use route::LeavingNews;
pub use route::PieceAsk;
pub use route::PieceReply;
pub use route::PieceReplyEnd;
pub use route::PlaceAsk;
pub use route::PlaceReply;
pub use route::PlaceTurn;
pub use route::RestNews;
pub use route::RouteReply;
pub use route::RouteRequest;
pub use route::RunNews;
pub use route::TargetEntry;
pub use route::ViewCursor;
pub use route::ViewMark;
pub use route::ViewNews;
pub use route::WorkReply;
pub use route::WorkRequest;
pub use server::accept_peers;
pub use server::GivenUpCall;
