//! Where an event stream may end, by the lines of the format and by a plain parser of the whole text.

mod common;

use proptest::prelude::*;
use turnford_policy::EventScanner;

fn is_whole(stream: &[u8]) -> bool {
    let mut scanner = EventScanner::default();
    scanner.read(stream);
    scanner.is_between_events()
}

/// Splits the whole stream into lines. Returns whether it ends with an end of line, and whether the lines
/// after the last empty one have a field.
fn is_whole_parsed(stream: &[u8]) -> bool {
    let stream = stream.strip_prefix(b"\xef\xbb\xbf").unwrap_or(stream);
    let mut lines = vec![Vec::new()];
    let mut bytes = stream.iter().peekable();
    while let Some(byte) = bytes.next() {
        match byte {
            b'\n' => lines.push(Vec::new()),
            b'\r' => {
                bytes.next_if(|next| **next == b'\n');
                lines.push(Vec::new());
            }
            byte => lines.last_mut().expect("a line").push(*byte),
        }
    }
    let unfinished = lines.pop().expect("a line");
    let mut pending = lines.iter().rev().take_while(|line| !line.is_empty());
    unfinished.is_empty() && pending.all(|line| line.starts_with(b":"))
}

#[test]
fn whole_streams() {
    for stream in [
        "",
        "\u{feff}",
        "\n",
        "data: 1\n\n",
        "data: 1\r\n\r\n",
        "data: 1\r\r",
        "data: 1\r\n\r",
        "id: 1\ndata: a\ndata: b\n\n:\n",
        ": ping\n",
        ": ping\n\n: ping\r\n",
        "\u{feff}data: 1\n\n",
        "data\n\n\n",
    ] {
        assert!(is_whole(stream.as_bytes()), "{stream:?}");
    }
}

#[test]
fn partial_streams() {
    for stream in [
        "d",
        "data: 1",
        "data: 1\n",
        "data: 1\r\n",
        "data: 1\r",
        "data: 1\n\ndata: 2\n",
        "data: 1\n: ping\n",
        ": pi",
        "data: 1\n\n: pi",
        "id: 1\n",
    ] {
        assert!(!is_whole(stream.as_bytes()), "{stream:?}");
    }
    assert!(!is_whole(b"\xef\xbb"));
    assert!(!is_whole(b"\xef\xbb\n"));
}

/// Returns pieces of the format, so that random streams reach all states.
fn stream() -> impl Strategy<Value = Vec<u8>> {
    let piece = prop_oneof![
        Just(b"\n".to_vec()),
        Just(b"\r".to_vec()),
        Just(b"\r\n".to_vec()),
        Just(b":".to_vec()),
        Just(b"data: x".to_vec()),
        Just(b"\xef\xbb\xbf".to_vec()),
        Just(b"\xef".to_vec()),
        any::<u8>().prop_map(|byte| vec![byte]),
    ];
    prop::collection::vec(piece, 0..12).prop_map(|pieces| pieces.concat())
}

proptest! {
    #![proptest_config(common::proptest_config(4000))]

    #[test]
    fn parsed_ends(stream in stream()) {
        prop_assert_eq!(is_whole(&stream), is_whole_parsed(&stream));
    }

    #[test]
    fn any_chunks(stream in stream(), cuts in prop::collection::vec(0_usize..40, 0..6)) {
        let mut cuts: Vec<usize> = cuts.iter().map(|cut| cut % (stream.len() + 1)).collect();
        cuts.extend([0, stream.len()]);
        cuts.sort_unstable();
        let mut scanner = EventScanner::default();
        for ends in cuts.windows(2) {
            scanner.read(&stream[ends[0]..ends[1]]);
        }
        prop_assert_eq!(scanner.is_between_events(), is_whole(&stream));
    }
}
