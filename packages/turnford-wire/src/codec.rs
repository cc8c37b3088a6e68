//! Frame encoding and decoding: a version byte followed by the encoded message.

use std::fmt;

use bincode::Decode;
use bincode::Encode;

use crate::PeerReply;
use crate::PeerRequest;

/// Protocol version of this build.
pub const PROTOCOL_VERSION: u8 = 4;

/// Maximum frame size, in bytes.
///
/// Large enough for the largest value of the platform's store, which is one megabyte.
pub const FRAME_LIMIT: usize = 1280 * 1024;

/// Reason a frame could not be encoded or decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// The frame has no version byte.
    Empty,
    /// The frame is larger than [`FRAME_LIMIT`].
    TooLarge,
    /// The sender uses another protocol version.
    UnsupportedVersion(u8),
    /// The body cannot be decoded or has trailing bytes.
    Malformed,
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FrameError::Empty => f.write_str("empty frame"),
            FrameError::TooLarge => f.write_str("frame exceeds the size limit"),
            FrameError::UnsupportedVersion(version) => {
                write!(
                    f,
                    "unsupported protocol version {version}, expected {PROTOCOL_VERSION}"
                )
            }
            FrameError::Malformed => f.write_str("malformed frame"),
        }
    }
}

impl std::error::Error for FrameError {}

/// Encodes a request as a frame.
///
/// # Errors
///
/// Returns [`FrameError::TooLarge`] if the frame exceeds [`FRAME_LIMIT`].
pub fn encode_request(request: &PeerRequest) -> Result<Vec<u8>, FrameError> {
    encode_frame(request)
}

/// Encodes a reply as a frame.
///
/// # Errors
///
/// Returns [`FrameError::TooLarge`] if the frame exceeds [`FRAME_LIMIT`].
pub fn encode_reply(reply: &PeerReply) -> Result<Vec<u8>, FrameError> {
    encode_frame(reply)
}

/// Decodes a request from a frame.
///
/// # Errors
///
/// Returns an error if the frame is empty, too large, malformed or of another protocol version.
pub fn decode_request(frame: &[u8]) -> Result<PeerRequest, FrameError> {
    decode_frame(frame)
}

/// Decodes a reply from a frame.
///
/// # Errors
///
/// Returns an error if the frame is empty, too large, malformed or of another protocol version.
pub fn decode_reply(frame: &[u8]) -> Result<PeerReply, FrameError> {
    decode_frame(frame)
}

/// Encodes any message as a frame.
///
/// # Errors
///
/// Returns [`FrameError::TooLarge`] if the frame exceeds [`FRAME_LIMIT`].
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

/// Decodes any message from a frame.
///
/// # Errors
///
/// Returns an error if the frame is empty, too large, malformed or of another protocol version.
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
