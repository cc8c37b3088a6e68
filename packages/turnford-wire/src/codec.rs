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
pub enum FrameError {
    /// The frame has no version byte.
    Empty,
    /// The frame is larger than [`FRAME_LIMIT`].
    TooLarge,
    /// The sender speaks another version.
    UnsupportedVersion(u8),
    /// The body is damaged or has bytes too many.
    Malformed,
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FrameError::Empty => f.write_str("empty frame"),
            FrameError::TooLarge => f.write_str("frame too large"),
            FrameError::UnsupportedVersion(version) => {
                write!(f, "protocol version {version}, not {PROTOCOL_VERSION}")
            }
            FrameError::Malformed => f.write_str("damaged frame"),
        }
    }
}

impl std::error::Error for FrameError {}

/// Returns the frame of a call.
///
/// # Errors
///
/// Returns [`FrameError::TooLarge`] for a message over the bound.
pub fn encode_request(request: &PeerRequest) -> Result<Vec<u8>, FrameError> {
    encode_frame(request)
}

/// Returns the frame of an answer.
///
/// # Errors
///
/// Returns [`FrameError::TooLarge`] for a message over the bound.
pub fn encode_reply(reply: &PeerReply) -> Result<Vec<u8>, FrameError> {
    encode_frame(reply)
}

/// Reads the frame of a call.
///
/// # Errors
///
/// Returns why the frame was not understood.
pub fn decode_request(frame: &[u8]) -> Result<PeerRequest, FrameError> {
    decode_frame(frame)
}

/// Reads the frame of an answer.
///
/// # Errors
///
/// Returns why the frame was not understood.
pub fn decode_reply(frame: &[u8]) -> Result<PeerReply, FrameError> {
    decode_frame(frame)
}

/// Returns the frame of any message.
///
/// # Errors
///
/// Returns [`FrameError::TooLarge`] for a message over the bound.
pub fn encode_frame<T: Encode>(message: &T) -> Result<Vec<u8>, FrameError> {
    let config = bincode::config::standard();
    let mut frame = vec![PROTOCOL_VERSION];
    let body = bincode::encode_to_vec(message, config).map_err(|_| FrameError::Malformed)?;
    frame.extend(body);
    if frame.len() > FRAME_LIMIT {
        return Err(FrameError::TooLarge);
    }
    Ok(frame)
}

/// Reads the frame of any message.
///
/// # Errors
///
/// Returns why the frame was not understood.
pub fn decode_frame<T: Decode<()>>(frame: &[u8]) -> Result<T, FrameError> {
    if frame.len() > FRAME_LIMIT {
        return Err(FrameError::TooLarge);
    }
    let (version, body) = frame.split_first().ok_or(FrameError::Empty)?;
    if *version != PROTOCOL_VERSION {
        return Err(FrameError::UnsupportedVersion(*version));
    }
    let config = bincode::config::standard().with_limit::<FRAME_LIMIT>();
    let decoded = bincode::decode_from_slice(body, config);
    let (message, used) = decoded.map_err(|_| FrameError::Malformed)?;
    if used != body.len() {
        return Err(FrameError::Malformed);
    }
    Ok(message)
}
