//! Guards against nodes that run out of memory because clients send large bodies at the same time.

mod common;

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use common::config;
use common::wait_until;
use common::ClientRequest;
use common::RouteSite;
use common::CLIENT_TIMEOUT;
use common::LIMIT;
use turnford_standin::TargetRole;

/// Size of a large body, in bytes: the limit for one.
const LARGE_BYTES: usize = 1024 * 1024;

/// Size of the chunks of a body, in bytes.
const CHUNK_BYTES: usize = 16 * 1024;

/// Number of clients that send large bodies at the same time.
const CLIENTS: usize = 96;

/// Time that a target takes, for which bodies are held.
const RUN_TIME: Duration = Duration::from_millis(600);

/// Time within which a body that finds no room is refused.
const REFUSAL_LIMIT: Duration = Duration::from_millis(500);

/// How a client sends its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sending {
    Length,
    Chunks,
    /// It announces the length and sends nothing.
    LengthOnly,
}

/// Sends the head of a request with a body of `length` bytes.
fn open(to: SocketAddr, attempt: &str, sending: Sending, length: usize) -> TcpStream {
    let mut stream = TcpStream::connect(to).expect("a connection");
    stream.set_read_timeout(Some(LIMIT)).expect("a timeout");
    let framing = match sending {
        Sending::Chunks => "transfer-encoding: chunked".to_owned(),
        _ => format!("content-length: {length}"),
    };
    let head = format!(
        "POST /hold/ HTTP/1.1\r\nhost: site.example\r\nx-turnford-attempt-id: {attempt}\r\n\
         x-turnford-deadline-ms: {}\r\nauthorization: Bearer key-skagen\r\nconnection: close\r\n\
         {framing}\r\n\r\n",
        CLIENT_TIMEOUT.as_millis()
    );
    stream.write_all(head.as_bytes()).expect("sent");
    stream
}

/// Sends a request with a large body; returns the head of the response.
fn send(to: SocketAddr, attempt: &str, sending: Sending) -> String {
    let mut stream = open(to, attempt, sending, LARGE_BYTES);
    let bytes = vec![b'x'; CHUNK_BYTES];
    for _ in 0..LARGE_BYTES / CHUNK_BYTES {
        match sending {
            Sending::Length => stream.write_all(&bytes).expect("sent"),
            Sending::Chunks => {
                let start = format!("{CHUNK_BYTES:x}\r\n");
                let chunk = [start.as_bytes(), &bytes, b"\r\n"].concat();
                stream.write_all(&chunk).expect("sent");
            }
            Sending::LengthOnly => {}
        }
    }
    if sending == Sending::Chunks {
        stream.write_all(b"0\r\n\r\n").expect("sent");
    }
    let mut response = Vec::new();
    if sending == Sending::LengthOnly {
        // The connection stays open for the body.
        response.resize(CHUNK_BYTES, 0);
        let length = stream.read(&mut response).expect("a response");
        response.truncate(length);
    } else {
        stream.read_to_end(&mut response).expect("a response");
    }
    String::from_utf8_lossy(&response[..response.len().min(1000)]).to_ascii_lowercase()
}

fn site(max_body_bytes: usize) -> (RouteSite, usize) {
    let mut site = RouteSite::new();
    let mut config = config(2);
    config["limits"]["max_body_bytes"] = json!(max_body_bytes);
    site.store.put("config", "main", config);
    for id in ["b1", "b2"] {
        site.target(id, "booking", TargetRole::Plain(RUN_TIME));
    }
    let node = site.node("one");
    (site, node)
}

fn metric(site: &RouteSite, node: usize, name: &str) -> u64 {
    let text = site.metrics(node);
    let mut lines = text.lines();
    let value = lines.find_map(|line| line.strip_prefix(name)?.trim().parse().ok());
    value.unwrap_or_else(|| panic!("no {name}"))
}

/// Sends large bodies from all clients at once.
fn check_burst(sending: Sending) {
    let (site, node) = site(LARGE_BYTES);
    let address = site.nodes[node].settings.listen;
    let limit = metric(&site, node, "turnford_body_bytes_limit");
    let is_done = AtomicBool::new(false);
    let mut most = 0;
    let responses: Vec<(String, String)> = std::thread::scope(|scope| {
        let calls: Vec<_> = (0..CLIENTS)
            .map(|number| {
                let attempt = format!("{sending:?}-{number}");
                scope.spawn(move || (send(address, &attempt, sending), attempt))
            })
            .collect();
        let watch = scope.spawn(|| {
            let mut most = 0;
            while !is_done.load(Ordering::SeqCst) {
                most = most.max(metric(&site, node, "turnford_body_bytes"));
                // Small bodies find room beside large ones.
                let mut request = ClientRequest::new("small", "/hold/");
                request.body = "small";
                let response = site.call(node, request).expect("a response");
                assert_eq!(response.status, 200);
            }
            most
        });
        let responses = calls.into_iter().map(|call| call.join().expect("a call"));
        let responses = responses.collect();
        is_done.store(true, Ordering::SeqCst);
        most = watch.join().expect("a watch");
        responses
    });
    let mut served = 0;
    for (response, attempt) in &responses {
        let runs = site.journal.requests(attempt).len();
        if response.starts_with("http/1.1 200") {
            served += 1;
            assert_eq!(runs, 1, "{attempt}");
            continue;
        }
        assert!(
            response.starts_with("http/1.1 503"),
            "{attempt}: {response}"
        );
        assert!(response.contains("retry-after"), "{attempt}: {response}");
        assert!(response.contains("\"ran\":\"no\""), "{attempt}: {response}");
        assert_eq!(runs, 0, "{attempt}");
    }
    assert!((1..CLIENTS).contains(&served), "{served} served");
    assert!(most > 0 && most <= limit, "{most} of {limit}");
    wait_until("no bytes are held", || {
        metric(&site, node, "turnford_body_bytes") == 0
    });
}

#[test]
fn announced_bodies() {
    check_burst(Sending::Length);
}

#[test]
fn chunked_bodies() {
    check_burst(Sending::Chunks);
}

#[test]
fn unsent_bodies() {
    // Bodies that were announced are counted, and one without room is refused before it is sent.
    let (site, node) = site(LARGE_BYTES);
    let address = site.nodes[node].settings.listen;
    let limit = metric(&site, node, "turnford_body_bytes_limit");
    let fitting = usize::try_from(limit).expect("a size") / LARGE_BYTES;
    let mut waiting = Vec::new();
    for number in 0..fitting {
        let attempt = format!("open-{number}");
        let stream = open(address, &attempt, Sending::LengthOnly, LARGE_BYTES);
        waiting.push(stream);
    }
    wait_until("bodies were refused", || {
        metric(&site, node, "turnford_refused_bodies_total") > 0
    });
    let started_at = Instant::now();
    let response = send(address, "late", Sending::LengthOnly);
    let elapsed = started_at.elapsed();
    assert!(response.starts_with("http/1.1 503"), "{response}");
    assert!(elapsed < REFUSAL_LIMIT, "{elapsed:?}");
    drop(waiting);
    wait_until("no bytes are held", || {
        metric(&site, node, "turnford_body_bytes") == 0
    });
    assert!(send(address, "fits", Sending::Length).starts_with("http/1.1 200"));
}

#[test]
fn unfitting_body() {
    // A body that the node never has room for is not asked for again.
    const MAX_BODY_BYTES: usize = 1 << 40;
    let (site, node) = site(MAX_BODY_BYTES);
    let address = site.nodes[node].settings.listen;
    let limit = metric(&site, node, "turnford_body_bytes_limit");
    let length = usize::try_from(limit).expect("a size");
    let mut stream = open(address, "unfitting", Sending::LengthOnly, length);
    let mut response = [0; CHUNK_BYTES];
    let received = stream.read(&mut response).expect("a response");
    let response = String::from_utf8_lossy(&response[..received]);
    assert!(response.starts_with("HTTP/1.1 413"), "{response}");
}
