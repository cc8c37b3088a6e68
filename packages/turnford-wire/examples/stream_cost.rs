//! Measures the cost of stream records at a fleet of the target size: times at a node, sizes of the messages and
//! memory of the records.

use std::time::Duration;
use std::time::Instant;

use turnford_fleet::rank_members;
use turnford_fleet::stream_key;
use turnford_fleet::stream_origin;
use turnford_fleet::Duty;
use turnford_fleet::StreamAnswer;
use turnford_fleet::StreamLookup;
use turnford_fleet::StreamRecord;
use turnford_fleet::StreamTable;
use turnford_fleet::VersionKnowledge;
use turnford_wire::encode_frame;
use turnford_wire::WorkReply;
use turnford_wire::WorkRequest;

/// Number of nodes.
const NODES: usize = 880;

/// Number of nodes that keep a record.
const HOLDERS: usize = 3;

/// Streams that a node begins in a second.
const STREAMS_PER_SECOND: u32 = 40;

/// Time for which a record is kept.
const LIFETIME: Duration = Duration::from_secs(22);

/// Number of operations that are timed.
const ROUNDS: u32 = 10_000;

fn main() {
    let names: Vec<String> = (0..NODES)
        .map(|number| format!("front-{number:04}"))
        .collect();
    let started_at = Instant::now();
    for round in 0..ROUNDS {
        let key = stream_key("skagen", &format!("{round:016x}"));
        let names = names.iter().map(String::as_str);
        std::hint::black_box(rank_members(&Duty::Stream(key), names, HOLDERS));
    }
    let ranking = started_at.elapsed() / ROUNDS;
    let mut table = StreamTable::default();
    let started_at = Instant::now();
    for round in 0..ROUNDS {
        table.insert(Duration::from_millis(u64::from(round)), &record(round));
    }
    let insertion = started_at.elapsed() / ROUNDS;
    let kept = STREAMS_PER_SECOND * HOLDERS as u32 * LIFETIME.as_secs() as u32;
    println!("holders among {NODES} nodes: {ranking:?}; a record kept: {insertion:?}; {kept} records at a node");
    let query = WorkRequest::StreamQuery {
        key: record(1).key,
        services: vec!["writers".to_owned()],
    };
    let answer = WorkReply::Stream(StreamAnswer {
        lookup: StreamLookup::Recorded(record(1).origin, 1200),
        versions: vec![VersionKnowledge::Mixed],
    });
    println!(
        "a message with one record: {} bytes, with 64: {}, its reply: {}; question: {}, answer: {}",
        size_of_frame(&WorkRequest::StreamRecords(vec![record(1)])),
        size_of_frame(&WorkRequest::StreamRecords((0..64).map(record).collect())),
        size_of_frame(&WorkReply::Ack),
        size_of_frame(&query),
        size_of_frame(&answer),
    );
}

fn record(number: u32) -> StreamRecord {
    StreamRecord {
        key: stream_key("skagen", &format!("{number:016x}")),
        origin: stream_origin("writers", "v1.2"),
        lifetime_ms: 22_000,
    }
}

fn size_of_frame<T: bincode::Encode>(message: &T) -> usize {
    encode_frame(message).map_or(0, |frame| frame.len())
}
