//! Frames: a version byte, then the message.

use std::fmt;

use bincode::Decode;
use bincode::Encode;

use crate::PeerReply;
use crate::PeerRequest;

/// Version that this program speaks.
pub const PROTOCOL_VERSION: u8 = 4;

/// Largest frame, in bytes.
///
/// A value of the platform's store, which is a megabyte at most, fits in.
pub const FRAME_LIMIT: usize = 1280 * 1024;

/// Why a frame was not understood.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameFault {
    /// The frame has no version byte.
    Empty,
    /// The frame is larger than [`FRAME_LIMIT`].
    TooLarge,
    /// The sender speaks another version.
    OtherVersion(u8),
    /// The body is damaged or has bytes too many.
    Damaged,
}

impl fmt::Display for FrameFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FrameFault::Empty => f.write_str("empty frame"),
            FrameFault::TooLarge => f.write_str("frame too large"),
            FrameFault::OtherVersion(version) => {
                write!(f, "protocol version {version}, not {PROTOCOL_VERSION}")
            }
            FrameFault::Damaged => f.write_str("damaged frame"),
        }
    }
}

impl std::error::Error for FrameFault {}

/// Returns the frame of a call.
///
/// # Errors
///
/// Returns [`FrameFault::TooLarge`] for a message over the bound.
pub fn encode_request(request: &PeerRequest) -> Result<Vec<u8>, FrameFault> {
    encode_frame(request)
}

/// Returns the frame of an answer.
///
/// # Errors
///
/// Returns [`FrameFault::TooLarge`] for a message over the bound.
pub fn encode_reply(reply: &PeerReply) -> Result<Vec<u8>, FrameFault> {
    encode_frame(reply)
}

/// Reads the frame of a call.
///
/// # Errors
///
/// Returns why the frame was not understood.
pub fn decode_request(frame: &[u8]) -> Result<PeerRequest, FrameFault> {
    decode_frame(frame)
}

/// Reads the frame of an answer.
///
/// # Errors
///
/// Returns why the frame was not understood.
pub fn decode_reply(frame: &[u8]) -> Result<PeerReply, FrameFault> {
    decode_frame(frame)
}

/// Returns the frame of any message.
///
/// # Errors
///
/// Returns [`FrameFault::TooLarge`] for a message over the bound.
pub fn encode_frame<T: Encode>(message: &T) -> Result<Vec<u8>, FrameFault> {
    let config = bincode::config::standard();
    let mut frame = vec![PROTOCOL_VERSION];
    let body = bincode::encode_to_vec(message, config).map_err(|_| FrameFault::Damaged)?;
    frame.extend(body);
    if frame.len() > FRAME_LIMIT {
        return Err(FrameFault::TooLarge);
    }
    Ok(frame)
}

/// Reads the frame of any message.
///
/// # Errors
///
/// Returns why the frame was not understood.
pub fn decode_frame<T: Decode<()>>(frame: &[u8]) -> Result<T, FrameFault> {
    if frame.len() > FRAME_LIMIT {
        return Err(FrameFault::TooLarge);
    }
    let (version, body) = frame.split_first().ok_or(FrameFault::Empty)?;
    if *version != PROTOCOL_VERSION {
        return Err(FrameFault::OtherVersion(*version));
    }
    let config = bincode::config::standard().with_limit::<FRAME_LIMIT>();
    let decoded = bincode::decode_from_slice(body, config);
    let (message, used) = decoded.map_err(|_| FrameFault::Damaged)?;
    if used != body.len() {
        return Err(FrameFault::Damaged);
    }
    Ok(message)
}
