//! Benchmark of crash tracking: time to compute a request digest and to look up a request, and
//! memory of a full table.

use std::time::Duration;
use std::time::Instant;

use turnford_fleet::CrashEvent;
use turnford_fleet::CrashKeys;
use turnford_fleet::CrashPart;
use turnford_fleet::CrashTable;
use turnford_fleet::CrashUpdate;
use turnford_fleet::SuccessMemory;
use turnford_policy::RequestDigest;

/// Number of requests in a full table.
const REQUESTS: u32 = 1024;

/// Number of crashes per request.
const CRASHES: u32 = 6;

/// Repetitions of each measurement.
const ROUNDS: u32 = 200;

fn measure(name: &str, mut run: impl FnMut()) {
    let started_at = Instant::now();
    for _ in 0..ROUNDS {
        run();
    }
    let duration = started_at.elapsed() / ROUNDS;
    println!("{name}: {:.2} us", duration.as_secs_f64() * 1e6);
}

/// Returns the resident memory of this process in bytes.
fn memory() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|text| text.parse().ok());
    pages.unwrap_or(0) * 4096
}

fn digest(number: u32) -> RequestDigest {
    RequestDigest::new("account", "host", "/path/", &number.to_le_bytes())
}

fn full_table() -> CrashTable {
    let mut table = CrashTable::default();
    for crash in 0..CRASHES {
        for request in 0..REQUESTS {
            let news = CrashUpdate {
                digest: digest(request).0,
                event: CrashEvent::Crashed {
                    target: format!("i-{request:08x}"),
                    born: u64::from(crash),
                    part: CrashPart::BegunTrial,
                    is_cleared: false,
                },
                age_ms: crash * 1000 + request / 10,
            };
            table.apply(Duration::from_secs(100), &news);
        }
    }
    table
}

fn main() {
    for size in [0, 800, 64 * 1024, 4 * 1024 * 1024] {
        let body = vec![7; size];
        measure(&format!("digest of a body of {size} bytes"), || {
            std::hint::black_box(RequestDigest::new("account", "host", "/path/", &body));
        });
    }
    let before = memory();
    let table = full_table();
    let taken = (memory() - before) / 1024;
    println!("table of {} requests: {taken} KB", table.len());
    let now = Duration::from_secs(101);
    let (known, other) = (digest(7), digest(REQUESTS + 1));
    measure("look-up of a sound request", || {
        std::hint::black_box(table.verdict(now, &other));
    });
    measure("look-up of a request that crashes targets", || {
        std::hint::black_box(table.verdict(now, &known));
    });
    let segments: Vec<u64> = (0..11).collect();
    measure("keys of a prompt with ten shared segments", || {
        std::hint::black_box(CrashKeys::new(other, "service", &segments));
    });
    let keys = CrashKeys::new(other, "service", &segments);
    measure("look-up of all of its keys", || {
        std::hint::black_box(table.suspect(now, &keys));
    });
    let mut memory_of_ends = SuccessMemory::default();
    let mut at = now;
    measure("record of a good end", || {
        at += Duration::from_millis(1);
        memory_of_ends.record(at, keys.iter().map(|key| key.digest));
    });
    measure("sum of the table", || {
        std::hint::black_box(table.checksum());
    });
    let news = table.snapshot(now);
    let bytes = bincode::encode_to_vec(&news, bincode::config::standard());
    let bytes = bytes.map_or(0, |bytes| bytes.len());
    println!("list of {} crashes: {bytes} bytes", news.len());
}
