//! Measures the growth rates behind docs/CAPACITY.md.
//!
//! `cargo run --release -p turnford-node --example capacity` loads the control state of one node
//! with fleets of increasing size. It prints heap bytes (from a counting allocator), CPU time (of
//! this thread, from the system) and bytes of the internal protocol (as encoded by the codec).

use std::alloc::GlobalAlloc;
use std::alloc::Layout;
use std::alloc::System;
use std::net::SocketAddr;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use turnford_config::ConfigObject;
use turnford_config::ObjectKind;
use turnford_fleet::hash_target;
use turnford_fleet::ClaimAction;
use turnford_fleet::ClaimCommitter;
use turnford_fleet::ClaimKey;
use turnford_fleet::ClaimOwner;
use turnford_fleet::ClaimRequest;
use turnford_fleet::ConfigChange;
use turnford_fleet::ConfigView;
use turnford_fleet::DigestTable;
use turnford_fleet::LenderStamp;
use turnford_fleet::LoadDigest;
use turnford_fleet::MemberState;
use turnford_fleet::MemberTable;
use turnford_fleet::MemberUpdate;
use turnford_fleet::Moment;
use turnford_fleet::NodeContacts;
use turnford_fleet::RangeRead;
use turnford_fleet::RangeWrite;
use turnford_fleet::Rumor;
use turnford_fleet::ServiceLoad;
use turnford_fleet::ShareDemand;
use turnford_fleet::ShareLender;
use turnford_fleet::ShareSize;
use turnford_policy::PoolSettings;
use turnford_policy::ServicePool;
use turnford_policy::StageOutcome;
use turnford_policy::StageWork;
use turnford_policy::SubmitResult;
use turnford_policy::TargetFacts;
use turnford_wire::decode_request;
use turnford_wire::encode_reply;
use turnford_wire::encode_request;
use turnford_wire::PeerReply;
use turnford_wire::PeerRequest;

/// Allocator that counts the bytes in use.
struct CountingAllocator;

static IN_USE: AtomicUsize = AtomicUsize::new(0);

// SAFETY: Every call is forwarded unchanged to the system allocator; only a counter is updated.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        IN_USE.fetch_add(layout.size(), Ordering::Relaxed);
        // SAFETY: The caller upholds the requirements on `layout`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        IN_USE.fetch_sub(layout.size(), Ordering::Relaxed);
        // SAFETY: The pointer was returned by `alloc` above for the same layout.
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// Number of rounds in which nodes request shares from a lender, 300 ms apart.
const ROUNDS: u64 = 34;

/// Returns a value and the number of heap bytes that it holds.
fn measure_heap<T>(make: impl FnOnce() -> T) -> (T, usize) {
    let before = IN_USE.load(Ordering::Relaxed);
    let value = make();
    (value, IN_USE.load(Ordering::Relaxed).saturating_sub(before))
}

/// Returns the CPU time that this thread has used.
fn thread_time() -> Duration {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let nanos = text
        .split_whitespace()
        .next()
        .and_then(|first| first.parse().ok())
        .unwrap_or(0);
    Duration::from_nanos(nanos)
}

/// Returns the mean CPU time of one run of a step over `count` runs.
fn time_each(count: u32, mut step: impl FnMut(u32)) -> Duration {
    let before = thread_time();
    for number in 0..count {
        step(number);
    }
    (thread_time() - before) / count
}

fn micros(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e6
}

fn member(number: usize) -> MemberUpdate {
    MemberUpdate {
        name: format!("dk-vest-hal-a-node-{number:04}"),
        address: SocketAddr::from(([10, 20, (number / 250) as u8, (number % 250) as u8], 7000)),
        work_address: SocketAddr::from((
            [10, 20, (number / 250) as u8, (number % 250) as u8],
            7000,
        )),
        hall: format!("hal-{}", number % 7),
        incarnation: 1,
        state: MemberState::Alive,
    }
}

fn measure_members() {
    println!("\nmembers: state, one probe both ways, and its bytes");
    println!("| members | heap KB | tick us | probe us | checksum us | ping B | pong B |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for count in [100, 300, 880] {
        let (mut table, heap) = measure_heap(|| {
            let mut table = MemberTable::new(member(0), 1);
            for number in 1..count {
                table.apply(Moment::ZERO, member(number));
            }
            table
        });
        let view = config_view(930);
        let tick = time_each(40_000, |number| {
            table.expire(Duration::from_millis(u64::from(number)));
        });
        let mut sizes = (0, 0);
        let probe = time_each(40_000, |number| {
            // Each probe carries a membership change, so that the gossip stays full.
            let mut update = member(1 + number as usize % (count - 1));
            update.incarnation = 2 + u64::from(number);
            table.apply(Moment::ZERO, update);
            let gossip = table.take_gossip("");
            let ping = PeerRequest::Ping {
                gossip,
                digest: view.digest(),
                members: table.checksum(),
            };
            let frame = encode_request(&ping).unwrap_or_default();
            let back = table.take_gossip("");
            let pong = PeerReply::Pong {
                gossip: back,
                digest: view.digest(),
                members: table.checksum(),
            };
            let answer = encode_reply(&pong).unwrap_or_default();
            sizes = (frame.len(), answer.len());
            if let Ok(PeerRequest::Ping { gossip, .. }) = decode_request(&frame) {
                for update in gossip {
                    table.apply(Moment::ZERO, update);
                }
            }
        });
        let checksum = time_each(40_000, |_| {
            std::hint::black_box(table.checksum());
        });
        println!(
            "| {count} | {:.1} | {:.1} | {:.1} | {:.1} | {} | {} |",
            heap as f64 / 1024.0,
            micros(tick),
            micros(probe),
            micros(checksum),
            sizes.0,
            sizes.1
        );
    }
}

fn account_text(number: usize) -> String {
    format!(
        "name = \"account-{number}\"\nkey_sha256 = \"{number:064x}\"\nclass = 1\nrate = 60\n\
         concurrency = 200\n[templates.chat]\nmax_tokens = 32\n[templates.draft]\n\
         max_tokens = 48\n[templates.reserve]\ndeadline_ms = 3000\n"
    )
}

fn config_change(number: usize, version: u64) -> ConfigChange {
    ConfigChange {
        key: ObjectKind::Account.key(&format!("account-{number}")),
        version,
        text: Some(account_text(number)),
    }
}

fn config_view(count: usize) -> ConfigView {
    let mut view = ConfigView::default();
    for number in 0..count {
        view.apply(config_change(number, number as u64 + 1));
    }
    view
}

fn measure_config() {
    println!("\nconfiguration: state, digest for each ping, activation of one change");
    println!("| objects | heap KB | digest us | snapshot ms | rumor B |");
    println!("| --- | --- | --- | --- | --- |");
    for count in [100, 300, 930] {
        let (view, heap) = measure_heap(|| config_view(count));
        let digest = time_each(40_000, |_| {
            std::hint::black_box(view.digest());
        });
        let snapshot = time_each(100, |_| {
            for (key, _, text) in view.live() {
                let parsed = ConfigObject::parse_kind(ObjectKind::Account, key, text);
                std::hint::black_box(parsed.is_ok());
            }
        });
        let rumor = PeerRequest::Rumors(vec![Rumor::Config(config_change(1, 1))]);
        let bytes = encode_request(&rumor).map_or(0, |frame| frame.len());
        println!(
            "| {count} | {:.1} | {:.1} | {:.2} | {bytes} |",
            heap as f64 / 1024.0,
            micros(digest),
            micros(snapshot) / 1000.0
        );
    }
}

fn facts(number: usize) -> TargetFacts {
    TargetFacts {
        id: Arc::from(format!("sprog-hal-a-runner-{number:04}")),
        hardware: Arc::from(if number.is_multiple_of(2) {
            "new"
        } else {
            "old"
        }),
        slots: 64,
        cost: 1.0,
        one_way_delay: Duration::from_micros(500),
        models: Vec::new(),
    }
}

fn work() -> StageWork {
    StageWork {
        account: Arc::from("account-1"),
        class: 1,
        share: 1.0,
        cost_weight: 0.2,
        length: 640,
        expected_time: Duration::from_millis(700),
        latest_start: Duration::from_secs(3),
        latest_end: Duration::from_secs(4),
        infeasible_after: Duration::from_secs(3),
        model: None,
        prefix: Some(7),
        tried: Vec::new(),
    }
}

fn measure_pools() {
    println!("\npools: state, one decision with its end, all reports once");
    println!("| targets | heap KB | decide+finish us | reports us |");
    println!("| --- | --- | --- | --- |");
    for count in [500, 600, 1500, 4500] {
        let (mut pool, heap) = measure_heap(|| {
            let mut pool = ServicePool::new(PoolSettings::default());
            pool.apply_list((0..count).map(facts).collect());
            pool
        });
        let decide = time_each(200_000, |number| {
            let now = Duration::from_millis(u64::from(number));
            if let SubmitResult::Run(placement) = pool.submit(now, work()) {
                pool.finish(now, &placement, StageOutcome::Completed);
            }
        });
        let names: Vec<_> = pool
            .views()
            .iter()
            .map(|view| view.facts.id.clone())
            .collect();
        let reports = time_each(200, |number| {
            let taken_at = Duration::from_secs(30 + u64::from(number));
            for name in &names {
                pool.apply_report(
                    name,
                    turnford_policy::LoadReport {
                        inflight: 9,
                        taken_at,
                    },
                );
            }
        });
        println!(
            "| {count} | {:.1} | {:.2} | {:.0} |",
            heap as f64 / 1024.0,
            micros(decide),
            micros(reports)
        );
    }
}

fn digest(targets: usize) -> LoadDigest {
    let inflight = (0..targets)
        .map(|number| (hash_target(&facts(number).id), 3))
        .collect();
    let load = ServiceLoad {
        service: "sprog".to_owned(),
        backlog_ms: 1200,
        mean_ms: 700,
        inflight,
    };
    LoadDigest {
        sequence: 1,
        incarnation: 1,
        services: vec![load],
    }
}

fn measure_digests() {
    println!("\ndigests: one digest sent, and the sum over all peers");
    println!("| peers | busy targets | frame B | sum us |");
    println!("| --- | --- | --- | --- |");
    for (peers, targets) in [(7, 33), (15, 33), (15, 100), (100, 100)] {
        let digest = digest(targets);
        let request = PeerRequest::Digest {
            node: member(1).name,
            digest: digest.clone(),
        };
        let bytes = encode_request(&request).map_or(0, |frame| frame.len());
        let mut table = DigestTable::default();
        for peer in 0..peers {
            table.apply(Moment::ZERO, &member(peer).name, digest.clone());
        }
        let sum = time_each(5_000, |_| {
            std::hint::black_box(table.service_load("sprog").1.len());
        });
        println!("| {peers} | {targets} | {bytes} | {:.1} |", micros(sum));
    }
}

fn claim_key(number: u64) -> ClaimKey {
    let mut key = ClaimKey::default();
    key[..8].copy_from_slice(&number.wrapping_mul(0x9E37_79B9_7F4A_7C15).to_be_bytes());
    key[8..].copy_from_slice(&number.to_be_bytes());
    key
}

/// Measures a range that commits claims in groups of `group` until it holds `total`.
fn measure_claims() {
    println!("\nclaims: one range filled in groups; the last write's cost and size");
    println!("| claims held | group | writes | us per claim | ms per write | value KB |");
    println!("| --- | --- | --- | --- | --- | --- |");
    for (total, group) in [
        (1_000_u64, 25_u64),
        (5_000, 25),
        (15_000, 25),
        (15_000, 250),
    ] {
        let mut range = ClaimCommitter::new();
        let mut now = Moment::ZERO;
        let (mut version, mut writes, mut size) = (0, 0_u32, 0);
        let mut next = 0;
        let before = thread_time();
        while next < total {
            for _ in 0..group {
                let owner = ClaimOwner {
                    incarnation: u64::MAX / 3,
                    sequence: next,
                };
                range.submit(
                    ClaimRequest::Acquire(claim_key(next), owner),
                    now + Duration::from_secs(9),
                );
                next += 1;
            }
            while !range.is_idle() {
                now += Duration::from_millis(100);
                match range.step(now).action {
                    Some(ClaimAction::Read) => {
                        range.handle_read(now, RangeRead::Found(version, Vec::new()));
                    }
                    Some(ClaimAction::Write { bytes, .. }) => {
                        version += 1;
                        writes += 1;
                        size = bytes.len();
                        range.handle_write(now, RangeWrite::Accepted(version));
                    }
                    None => (),
                }
            }
        }
        let cpu_time = thread_time() - before;
        println!(
            "| {total} | {group} | {writes} | {:.1} | {:.2} | {:.0} |",
            micros(cpu_time) / total as f64,
            micros(cpu_time) / 1000.0 / f64::from(writes),
            size as f64 / 1024.0
        );
    }
}

fn measure_lender() {
    println!(
        "\nlender: one account lent to nodes, after 10 s of rounds; bytes of a request and its reply"
    );
    println!(
        "| nodes | heap KB per account | us per request | request B | reply B | empty request B |"
    );
    println!("| --- | --- | --- | --- | --- | --- |");
    for nodes in [8, 100, 300, 880] {
        let names: Vec<String> = (0..nodes).map(|number| member(number).name).collect();
        let mut demands: Vec<ShareDemand> = (0..nodes).map(|_| share_demand()).collect();
        let mut cpu_time = Duration::ZERO;
        let mut stamp = LenderStamp::default();
        let (state, heap) = measure_heap(|| {
            let limit = ShareSize {
                rate: 1000.0,
                concurrency: 2000,
            };
            let mut lender = ShareLender::new(Moment::ZERO, 1, limit, true);
            let mut contacts = NodeContacts::new(Moment::ZERO, 1, nodes as u32);
            let mut last = None;
            for round in 0..ROUNDS {
                let now = Duration::from_millis(300 * round);
                cpu_time += time_each(1, |_| {
                    for (name, demand) in names.iter().zip(&mut demands) {
                        stamp = contacts.record_contact(now, name, stamp);
                        last = lender.lend(now, name, demand, &contacts);
                        if let Some(grant) = &last {
                            demand.newest = grant.number;
                            demand.using = grant.size;
                        }
                    }
                });
            }
            cpu_time /= ROUNDS as u32 * nodes as u32;
            (lender, contacts, last)
        });
        let request_bytes = |demands| {
            let node = names[0].clone();
            let request = PeerRequest::Share {
                node,
                group: 1,
                stamp,
                demands,
            };
            encode_request(&request).map_or(0, |frame| frame.len())
        };
        let reply = PeerReply::Shares {
            stamp,
            grants: state.2.into_iter().collect(),
        };
        let reply = encode_reply(&reply).map_or(0, |frame| frame.len());
        println!(
            "| {nodes} | {:.1} | {:.1} | {} | {reply} | {} |",
            heap as f64 / 1024.0,
            micros(cpu_time),
            request_bytes(vec![demands[0].clone()]),
            request_bytes(Vec::new())
        );
    }
}

fn share_demand() -> ShareDemand {
    ShareDemand {
        account: "account-17".to_owned(),
        rate: 3.0,
        running: 2,
        newest: Default::default(),
        using: Default::default(),
    }
}

fn main() {
    measure_members();
    measure_config();
    measure_pools();
    measure_digests();
    measure_claims();
    measure_lender();
}
