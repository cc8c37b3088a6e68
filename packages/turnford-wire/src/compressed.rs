//! Compression of long texts for transfer between nodes.

use std::io::Read;
use std::io::Write;

use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use flate2::Compression;

use crate::FrameError;

/// Maximum decompressed size, in bytes: four times the largest value of the platform's store. Keeps a
/// malformed frame from exhausting the memory of a small VM.
const TEXT_LIMIT: u64 = 4 * 1024 * 1024;

/// A DEFLATE-compressed text.
///
/// Configurations compress well, so that a node on a slow link can send a large one to many peers in
/// time.
#[derive(Clone, Debug, PartialEq, Eq, bincode::Encode, bincode::Decode)]
pub struct CompressedText(Vec<u8>);

impl CompressedText {
    /// Compresses a text.
    pub fn compress(text: &str) -> Self {
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        let compressed = encoder
            .write_all(text.as_bytes())
            .and_then(|()| encoder.finish());
        // Writing to a vector does not fail.
        Self(compressed.unwrap_or_default())
    }

    /// Returns the decompressed text.
    ///
    /// # Errors
    ///
    /// Returns [`FrameError::TooLarge`] if the text exceeds the size limit, [`FrameError::Malformed`] if
    /// the bytes are not compressed UTF-8 text.
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

    /// Returns the compressed size, in bytes.
    pub fn size(&self) -> usize {
        self.0.len()
    }
}
