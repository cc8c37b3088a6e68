//! Long texts pack to a fraction of their size and never take more memory than the bound.

use turnford_wire::decode_frame;
use turnford_wire::encode_frame;
use turnford_wire::CompressedText;
use turnford_wire::FrameError;

#[test]
fn same_text() {
    for text in [
        "",
        "é",
        &"{\"name\":\"added\",\"path\":\"/added/\"},".repeat(4000),
    ] {
        let packed = CompressedText::compress(text);
        let frame = encode_frame(&packed).expect("a frame");
        let read: CompressedText = decode_frame(&frame).expect("a packed text");
        assert_eq!(read.decompress().as_deref(), Ok(text));
        assert!(packed.size() < text.len().max(20), "it got smaller");
    }
}

#[test]
fn bounded_text() {
    // Eight megabytes of one letter pack to a few kilobytes.
    let packed = CompressedText::compress(&"a".repeat(8 * 1024 * 1024));
    assert!(packed.size() < 100_000);
    assert_eq!(packed.decompress(), Err(FrameError::TooLarge));
}

#[test]
fn damaged_text() {
    let frame = encode_frame(&vec![0xff_u8; 40]).expect("a frame");
    let packed: CompressedText = decode_frame(&frame).expect("bytes");
    assert_eq!(packed.decompress(), Err(FrameError::Malformed));
}
