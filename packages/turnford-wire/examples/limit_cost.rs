//! Measures the cost of allocating permits: the time of one request at the allocator and the size of the
//! messages.

use std::time::Duration;
use std::time::Instant;

use turnford_fleet::AllocatorId;
use turnford_fleet::LimitAllocator;
use turnford_fleet::LimitEntry;
use turnford_fleet::LimitTerm;
use turnford_fleet::PermitPurpose;
use turnford_fleet::QueuedRequest;
use turnford_policy::LimitState;
use turnford_policy::TargetId;
use turnford_wire::encode_frame;
use turnford_wire::LimitDigest;
use turnford_wire::LimitUpdate;
use turnford_wire::PermitAcquire;
use turnford_wire::PermitReply;
use turnford_wire::WorkReply;
use turnford_wire::WorkRequest;

/// Number of rate-limited targets of the service.
const TARGETS: usize = 450;

/// Number of permit requests that are timed.
const REQUESTS: u32 = 100_000;

fn main() {
    let targets: Vec<TargetId> = (0..TARGETS)
        .map(|number| format!("i-{number:010}").into())
        .collect();
    let mut allocator = LimitAllocator::new(Duration::ZERO);
    for target in &targets {
        allocator.adopt(Duration::ZERO, target, 1, LimitState::Limited(4.0));
    }
    let started = Instant::now();
    let mut granted = 0;
    for number in 0..REQUESTS {
        let now = Duration::from_micros(100 * u64::from(number));
        let target = &targets[number as usize % TARGETS];
        granted += u32::from(allocator.take(now, target, PermitPurpose::Work).is_ok());
    }
    println!(
        "permit: {:?} per request, {granted} granted",
        started.elapsed() / REQUESTS
    );
    let started = Instant::now();
    for number in 0..REQUESTS / 100 {
        let now = Duration::from_secs(20) + Duration::from_micros(100 * u64::from(number));
        let request = QueuedRequest {
            number: u64::from(number),
            ranks: (1, 1),
            requested_at: now,
            deadline: now + Duration::from_secs(4),
        };
        allocator.request_permit(now, &request, &targets);
    }
    let (_, waiting) = allocator.load(Duration::from_secs(20));
    println!(
        "queue: {:?} per request among {TARGETS} targets, {waiting} waiting",
        started.elapsed() / (REQUESTS / 100)
    );
    print_sizes();
}

fn print_sizes() {
    let service = "writers".to_owned();
    let term = LimitTerm {
        number: 12,
        holder: AllocatorId {
            name: "front-piassa-3".to_owned(),
            process_start: 1_796_279_614_729,
            work_address: "10.3.0.12:7742".parse().expect("an address"),
        },
    };
    let request = WorkRequest::Permit(PermitAcquire {
        service: service.clone(),
        term: Some(term.clone()),
        target: "i-91b9f41feb".to_owned(),
        process_start: 1_796_279_614_729,
        state: LimitState::Limited(1.0),
        purpose: PermitPurpose::Work,
    });
    let reply = WorkReply::Permit(PermitReply::Wait { wait_ms: 400 });
    let digest = LimitDigest {
        service: service.clone(),
        term: Some(term.clone()),
        sum: u64::MAX,
    };
    let update = |count: usize| {
        let entry = LimitEntry {
            target: "i-91b9f41feb".to_owned(),
            process_start: 1_796_279_614_729,
            sequence: 7,
            state: LimitState::Limited(1.0),
        };
        WorkRequest::Limits(vec![LimitUpdate {
            service: service.clone(),
            term: term.clone(),
            entries: vec![entry; count],
        }])
    };
    let size = |frame: Result<Vec<u8>, _>| frame.map_or(0, |frame: Vec<u8>| frame.len());
    println!("permit request: {} bytes", size(encode_frame(&request)));
    println!("permit reply: {} bytes", size(encode_frame(&reply)));
    println!(
        "limit digest: {} bytes",
        size(encode_frame(&WorkRequest::LimitSync(vec![digest])))
    );
    for count in [1, 60] {
        println!(
            "update of {count} targets: {} bytes",
            size(encode_frame(&update(count)))
        );
    }
}
