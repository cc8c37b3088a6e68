//! Measures the cost of relayed calls and of placements at brittle targets: times at the deciding node and sizes
//! of the messages.

use std::time::Duration;
use std::time::Instant;

use turnford_fleet::QueuedRequest;
use turnford_fleet::RoomAllocator;
use turnford_policy::LinkTable;
use turnford_policy::TargetSpec;
use turnford_wire::decode_frame;
use turnford_wire::encode_frame;
use turnford_wire::BrittleUpdate;
use turnford_wire::ReachState;
use turnford_wire::RelayReply;
use turnford_wire::RelayRequest;
use turnford_wire::WorkReply;
use turnford_wire::WorkRequest;

/// Number of targets.
const TARGETS: usize = 4500;

/// Number of targets of one brittle service.
const SERVICE_TARGETS: usize = 450;

/// Number of operations that are timed.
const ROUNDS: u32 = 100_000;

fn main() {
    measure_links();
    measure_rooms();
    for body in [0, 2_000, 18_000] {
        measure_relay(body);
    }
    let reach = WorkRequest::ReachTarget {
        service: "writers".to_owned(),
        target: "i-6cadea7d21".to_owned(),
    };
    let brittle = WorkRequest::Brittle(vec![BrittleUpdate {
        service: "writers".to_owned(),
        age_ms: 250,
    }]);
    println!(
        "question whether a target is reached: {} bytes, reply {}; announcement of a brittle service: {}",
        size_of_frame(&reach),
        size_of_frame(&WorkReply::Reached(ReachState::Reached)),
        size_of_frame(&brittle)
    );
}

fn size_of_frame<T: bincode::Encode>(message: &T) -> usize {
    encode_frame(message).map_or(0, |frame| frame.len())
}

fn measure_links() {
    let ids: Vec<String> = (0..TARGETS)
        .map(|number| format!("i-{number:010}"))
        .collect();
    let mut links = LinkTable::default();
    for id in &ids {
        links.record_contact(Duration::ZERO, id);
    }
    let started = Instant::now();
    for number in 0..ROUNDS {
        let id = &ids[number as usize % TARGETS];
        let now = Duration::from_micros(u64::from(number));
        links.path(now, id);
        links.record_contact(now, id);
    }
    println!(
        "path and contact: {:?} with {TARGETS} links",
        started.elapsed() / ROUNDS
    );
    for id in &ids {
        links.record_failure(Duration::from_secs(1), id);
    }
    let started = Instant::now();
    let due = links.take_due_probes(Duration::from_secs(2), 32).len();
    println!(
        "probes of an isolated node: {due} due, found in {:?}",
        started.elapsed()
    );
}

fn measure_rooms() {
    let target = |number: usize| TargetSpec {
        id: format!("i-{number:010}").into(),
        service: "writers".into(),
        address: ([127, 0, 0, 1], 1).into(),
        hall: "hal-a".into(),
        slots: 8,
        process_start: 1,
        orders: 0,
        leaving: false,
        version: None,
    };
    let targets: Vec<TargetSpec> = (0..SERVICE_TARGETS).map(target).collect();
    let mut allocator = RoomAllocator::default();
    let rounds = ROUNDS / 100;
    let started = Instant::now();
    for number in 0..u64::from(rounds) {
        let now = Duration::from_millis(number);
        let request = QueuedRequest {
            number,
            ranks: (1, 1),
            requested_at: now,
            deadline: now + Duration::from_secs(4),
        };
        allocator.request(now, &request, &targets);
        if let Some(target) = allocator.free_targets(now, &targets).first() {
            allocator.start(now, number, target, request.deadline);
        }
        allocator.end(now, number.saturating_sub(100));
    }
    println!(
        "room: {:?} per request among {SERVICE_TARGETS} targets",
        started.elapsed() / rounds
    );
}

fn measure_relay(body: usize) {
    let header = |name: &str, value: &str| (name.to_owned(), value.as_bytes().to_vec());
    let headers = vec![
        header("host", "zibo91.example"),
        header("attempt-id-of-a-client", "e7edafb6260eba26"),
        header("remaining-milliseconds", "10000"),
        header("instance-of-the-target", "i-6cadea7d21"),
        header("model-of-the-engine", "m"),
        header("counts-of-the-tokens", "1460,80"),
        header(
            "segments-of-the-prompt",
            "5c1e07a2:800,91bd3f06:410,e4402b7d:250",
        ),
    ];
    let request = WorkRequest::Relay(RelayRequest {
        service: "writers".to_owned(),
        target: "i-6cadea7d21".to_owned(),
        process_start: 1_764_000_000_000,
        attempt: Some("e7edafb6260eba26".to_owned()),
        is_maintenance: false,
        method: "POST".to_owned(),
        path: "/nyfi851/ti66/".to_owned(),
        headers: headers.clone(),
        body: vec![b'a'; body],
        remaining_ms: 10_000,
    });
    let reply = WorkReply::Relayed(RelayReply::Response {
        status: 200,
        headers,
    });
    let rounds = ROUNDS / 10;
    let started = Instant::now();
    for _ in 0..rounds {
        let frame = encode_frame(&request).expect("a frame");
        let decoded: WorkRequest = decode_frame(&frame).expect("a request");
        assert!(matches!(decoded, WorkRequest::Relay(_)));
    }
    println!(
        "relayed call with a body of {body} bytes: {} bytes, head of the response {}, {:?} to encode and decode",
        size_of_frame(&request),
        size_of_frame(&reply),
        started.elapsed() / rounds
    );
}
