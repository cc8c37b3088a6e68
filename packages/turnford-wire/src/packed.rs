//! Long texts as they go over the wire.

use std::io::Read;
use std::io::Write;

use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use flate2::Compression;

use crate::FrameError;

/// Longest text that is unpacked, in bytes: four of the largest values of the platform's store. A
/// damaged frame must not take the memory of a small VM.
const TEXT_LIMIT: u64 = 4 * 1024 * 1024;

/// A text, compressed.
///
/// Configurations pack to a small part, so that a node with a small link tells many others of a large one in
/// time.
#[derive(Clone, Debug, PartialEq, Eq, bincode::Encode, bincode::Decode)]
pub struct CompressedText(Vec<u8>);

impl CompressedText {
    /// Packs a text.
    pub fn compress(text: &str) -> Self {
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        let packed = encoder
            .write_all(text.as_bytes())
            .and_then(|()| encoder.finish());
        // A vector takes all that is written to it.
        Self(packed.unwrap_or_default())
    }

    /// Returns the text.
    ///
    /// # Errors
    ///
    /// Returns [`FrameError::TooLarge`] for a text over the bound, [`FrameError::Malformed`] for
    /// bytes that hold none.
    pub fn decompress(&self) -> Result<String, FrameError> {
        let mut text = String::new();
        let mut decoder = DeflateDecoder::new(self.0.as_slice()).take(TEXT_LIMIT + 1);
        let read = decoder.read_to_string(&mut text);
        read.map_err(|_| FrameError::Malformed)?;
        if text.len() as u64 > TEXT_LIMIT {
            return Err(FrameError::TooLarge);
        }
        Ok(text)
    }

    /// Returns the number of bytes that go over the wire.
    pub fn size(&self) -> usize {
        self.0.len()
    }
}
