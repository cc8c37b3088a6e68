//! Long texts compress well, and decompression is bounded in memory.

use turnford_wire::decode_frame;
use turnford_wire::encode_frame;
use turnford_wire::CompressedText;
use turnford_wire::FrameError;

#[test]
fn round_trip() {
    for text in [
        "",
        "é",
        &"{\"name\":\"added\",\"path\":\"/added/\"},".repeat(4000),
    ] {
        let compressed = CompressedText::compress(text);
        let frame = encode_frame(&compressed).expect("a frame should encode");
        let read: CompressedText = decode_frame(&frame).expect("a compressed text should decode");
        assert_eq!(read.decompress().as_deref(), Ok(text));
        assert!(
            compressed.size() < text.len().max(20),
            "text did not shrink"
        );
    }
}

#[test]
fn oversized_text() {
    // Eight megabytes of one letter compress to a few kilobytes.
    let compressed = CompressedText::compress(&"a".repeat(8 * 1024 * 1024));
    assert!(compressed.size() < 100_000);
    assert_eq!(compressed.decompress(), Err(FrameError::TooLarge));
}

#[test]
fn malformed_text() {
    let frame = encode_frame(&vec![0xff_u8; 40]).expect("a frame should encode");
    let compressed: CompressedText = decode_frame(&frame).expect("bytes should decode");
    assert_eq!(compressed.decompress(), Err(FrameError::Malformed));
}
