//! Guards against truncated responses that reach clients framed as complete.

mod common;

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::ops::Range;
use std::time::Duration;

use common::wait_until;
use common::RouteSite;
use common::ENGINE;
use common::QUICK;
use turnford_standin::LinkCut;
use turnford_standin::RawEnd;
use turnford_standin::RawResponse;
use turnford_standin::RouteTarget;

/// A stream of two events with different line ends.
const STREAM: &[u8] = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n";

/// Length of the first event.
const FIRST_EVENT: usize = 15;

/// Timeout of a client's read.
const READ_TIMEOUT: Duration = Duration::from_secs(8);

/// A response as a client receives it.
#[derive(Debug)]
struct Received {
    status: String,
    body: Vec<u8>,
    is_complete: bool,
}

/// HTTP version of a client, with further header lines.
#[derive(Clone, Copy, Debug)]
enum Client {
    Http11,
    Http11Closing,
    Http10,
}

const CLIENTS: [Client; 3] = [Client::Http11, Client::Http11Closing, Client::Http10];

impl Client {
    fn open(self, to: SocketAddr, path: &str, attempt: &str) -> TcpStream {
        let (version, more) = match self {
            Client::Http11 => ("1.1", ""),
            Client::Http11Closing => ("1.1", "connection: close\r\n"),
            Client::Http10 => ("1.0", ""),
        };
        let mut stream = TcpStream::connect(to).expect("a connection");
        let timeout = Some(READ_TIMEOUT);
        stream.set_read_timeout(timeout).expect("a timeout");
        let head = format!(
            "POST {path} HTTP/{version}\r\nhost: site.example\r\nx-turnford-attempt-id: {attempt}\r\n\
             x-turnford-deadline-ms: 6000\r\nauthorization: Bearer key-skagen\r\n{more}\
             content-length: 0\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).expect("sent");
        stream
    }

    fn call(self, to: SocketAddr, path: &str, attempt: &str) -> Received {
        receive(self.open(to, path, attempt))
    }
}

/// Reads a response until it is complete or its connection ends.
fn receive(mut stream: impl Read) -> Received {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        let ended = match stream.read(&mut buffer) {
            Ok(0) => Some(true),
            Ok(length) => {
                bytes.extend_from_slice(&buffer[..length]);
                None
            }
            Err(error) => {
                let is_timeout = error.kind() == std::io::ErrorKind::WouldBlock;
                assert!(!is_timeout, "no end of the response: {bytes:?}");
                Some(false)
            }
        };
        let received = decode(&bytes, ended == Some(true));
        if ended.is_some() || received.is_complete {
            return received;
        }
    }
}

fn decode(bytes: &[u8], is_closed: bool) -> Received {
    let end = bytes.windows(4).position(|window| window == b"\r\n\r\n");
    let Some(end) = end else {
        return Received {
            status: String::new(),
            body: Vec::new(),
            is_complete: false,
        };
    };
    let head = String::from_utf8_lossy(&bytes[..end]).to_ascii_lowercase();
    let rest = &bytes[end + 4..];
    let status = head.split(' ').nth(1).unwrap_or("").to_owned();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    let (body, is_complete) = if head.contains("transfer-encoding: chunked") {
        decode_chunks(rest)
    } else if let Some(length) = length {
        let length: usize = length.parse().expect("a length");
        (rest.to_vec(), rest.len() >= length)
    } else {
        (rest.to_vec(), is_closed)
    };
    Received {
        status,
        body,
        is_complete,
    }
}

fn decode_chunks(mut rest: &[u8]) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    while let Some(end) = rest.windows(2).position(|window| window == b"\r\n") {
        let length = std::str::from_utf8(&rest[..end]).expect("a length");
        let length = usize::from_str_radix(length, 16).expect("a length");
        rest = &rest[end + 2..];
        if length == 0 {
            return (body, rest.starts_with(b"\r\n"));
        }
        body.extend_from_slice(&rest[..length.min(rest.len())]);
        if rest.len() < length + 2 {
            break;
        }
        rest = &rest[length + 2..];
    }
    (body, false)
}

/// Framing and end of a target's response that is cut somewhere.
#[derive(Clone, Copy, Debug)]
enum Cut {
    /// The announced length is that of the whole body.
    ShortLength,
    /// The announced length is that of the part before the cut.
    Length,
    /// The connection closes before the last chunk.
    ShortChunks,
    /// The last chunk follows the part before the cut.
    Chunks,
    /// Neither length nor chunks; the connection closes.
    Close,
    /// Neither length nor chunks; the connection is reset.
    Reset,
}

const CUTS: [Cut; 6] = [
    Cut::ShortLength,
    Cut::Length,
    Cut::ShortChunks,
    Cut::Chunks,
    Cut::Close,
    Cut::Reset,
];

impl Cut {
    fn response(self, body: &[u8], at: usize) -> RawResponse {
        let part = &body[..at];
        let (framing, bytes) = match self {
            Cut::ShortLength => (format!("content-length: {}\r\n", body.len()), part.to_vec()),
            Cut::Length => (format!("content-length: {at}\r\n"), part.to_vec()),
            Cut::ShortChunks => ("transfer-encoding: chunked\r\n".to_owned(), chunks(part)),
            Cut::Chunks => {
                let bytes = [&chunks(part)[..], b"0\r\n\r\n"].concat();
                ("transfer-encoding: chunked\r\n".to_owned(), bytes)
            }
            Cut::Close | Cut::Reset => (String::new(), part.to_vec()),
        };
        RawResponse {
            attempt: None,
            is_signed: true,
            status: 200,
            framing: format!("{framing}connection: close\r\n"),
            body: bytes,
            end: match self {
                Cut::Reset => RawEnd::Reset,
                _ => RawEnd::Close,
            },
        }
    }

    /// Returns whether the framing says that a body of `length` bytes that is cut at `at` is complete.
    fn is_framed_complete(self, at: usize, length: usize) -> bool {
        match self {
            Cut::ShortLength => at == length,
            Cut::Length | Cut::Chunks | Cut::Close => true,
            Cut::ShortChunks | Cut::Reset => false,
        }
    }
}

/// Encodes bytes in chunks of a few bytes.
fn chunks(bytes: &[u8]) -> Vec<u8> {
    let chunks = bytes.chunks(4).map(|chunk| {
        let length = format!("{:x}\r\n", chunk.len());
        [length.as_bytes(), chunk, b"\r\n"].concat()
    });
    chunks.collect::<Vec<_>>().concat()
}

/// Returns whether [`STREAM`] may end here.
fn is_between_events(at: usize) -> bool {
    // The CR of the last line end is one by itself.
    [0, FIRST_EVENT, STREAM.len() - 1, STREAM.len()].contains(&at)
}

/// Returns whether the node reports that a stream of which nothing arrived failed.
fn is_own_failure(received: &Received, at: usize) -> bool {
    at == 0 && received.is_complete && matches!(received.status.as_str(), "502" | "504")
}

/// A node before one engine, and the address for its clients.
struct CutSite {
    site: RouteSite,
    engine: RouteTarget,
    address: SocketAddr,
}

impl CutSite {
    fn direct() -> Self {
        let mut site = RouteSite::new();
        let engine = site.target("s1", "sprog", ENGINE);
        let node = site.node("one");
        let address = site.nodes[node].settings.listen;
        Self {
            site,
            engine,
            address,
        }
    }

    /// Creates a site whose first node reaches the engine only through the second one.
    fn relayed() -> Self {
        let mut site = RouteSite::new();
        let engine = site.target("s1", "sprog", ENGINE);
        let (node, links) = site.node_behind("one", std::slice::from_ref(&engine));
        site.node("two");
        site.settle();
        links[0].cut(LinkCut::Reset).expect("a port");
        let address = site.nodes[node].settings.listen;
        Self {
            site,
            engine,
            address,
        }
    }

    /// Cuts a stream everywhere in all framings; returns what clients received wrongly.
    fn cut_everywhere(&self, range: Range<usize>) -> Vec<String> {
        let mut wrong = Vec::new();
        for (cut, at) in CUTS
            .iter()
            .flat_map(|cut| range.clone().map(move |at| (*cut, at)))
        {
            self.engine.respond_raw(Some(cut.response(STREAM, at)));
            for client in CLIENTS {
                let attempt = format!("{cut:?}-{at}-{client:?}");
                let received = client.call(self.address, "/draft/", &attempt);
                let expected = cut.is_framed_complete(at, STREAM.len()) && is_between_events(at);
                let is_prefix = STREAM[..at].starts_with(&received.body);
                let whole = (0..=at).rev().find(|at| is_between_events(*at));
                // A reset may discard what was sent before.
                let is_delivered =
                    matches!(cut, Cut::Reset) || received.body.len() >= whole.unwrap_or(0);
                if is_own_failure(&received, at) && !expected {
                    continue;
                }
                if received.status != "200"
                    || received.is_complete != expected
                    || !is_prefix
                    || !is_delivered
                {
                    wrong.push(format!("{attempt}: {received:?}"));
                }
            }
        }
        wrong
    }
}

fn assert_none(wrong: &[String]) {
    assert!(wrong.is_empty(), "{} wrong: {wrong:#?}", wrong.len());
}

#[test]
fn direct_streams() {
    let site = CutSite::direct();
    assert_none(&site.cut_everywhere(0..STREAM.len() + 1));
}

#[test]
fn relayed_streams() {
    let site = CutSite::relayed();
    assert_none(&site.cut_everywhere(0..STREAM.len() + 1));
    let relayed = "turnford_service_events_total{service=\"sprog\",event=\"relayed\"}";
    assert!(site.site.metrics(0).contains(relayed));
}

#[test]
fn large_event() {
    let site = CutSite::direct();
    let event = [b"data: ", &[b'x'; 40_000][..], b"\n\n"].concat();
    for (at, is_whole) in [
        (event.len(), true),
        (30_000, false),
        (event.len() - 1, false),
    ] {
        for cut in [Cut::Length, Cut::Chunks, Cut::Close] {
            site.engine.respond_raw(Some(cut.response(&event, at)));
            for client in CLIENTS {
                let attempt = format!("{cut:?}-{at}-{client:?}");
                let received = client.call(site.address, "/draft/", &attempt);
                assert_eq!(received.is_complete, is_whole, "{attempt}");
                assert!(!is_whole || received.body == event, "{attempt}");
            }
        }
    }
}

#[test]
fn slow_reader() {
    // A reset must not discard the whole events that the client has yet to read.
    let site = CutSite::direct();
    let event = [b"data: ", &[b'x'; 9_992][..], b"\n\n"].concat();
    let events = event.repeat(80);
    let stream = [&events[..], b"data: partial"].concat();
    for cut in [Cut::Close, Cut::Chunks, Cut::Reset] {
        let response = cut.response(&stream, stream.len());
        site.engine.respond_raw(Some(response));
        for client in CLIENTS {
            let attempt = format!("slow-{cut:?}-{client:?}");
            let stream = client.open(site.address, "/draft/", &attempt);
            let received = receive(SlowReader(stream));
            assert!(!received.is_complete, "{attempt}");
            // A target's reset may discard what the node has not read yet.
            let is_delivered = matches!(cut, Cut::Reset) || received.body.starts_with(&events);
            assert!(is_delivered, "{attempt}: {} bytes", received.body.len());
        }
    }
}

/// Reads a few kilobytes at a time.
struct SlowReader(TcpStream);

impl Read for SlowReader {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        std::thread::sleep(Duration::from_millis(3));
        self.0.read(buffer)
    }
}

#[test]
fn buffered_calls() {
    // A call that is closed in order is complete; any other end is reported as a failure.
    let mut site = RouteSite::new();
    let target = site.target("b1", "booking", QUICK);
    let node = site.node("one");
    let address = site.nodes[node].settings.listen;
    let body = b"twelve bytes";
    for (cut, at) in CUTS
        .iter()
        .flat_map(|cut| [0, 5, body.len()].map(|at| (*cut, at)))
    {
        target.respond_raw(Some(cut.response(body, at)));
        for client in CLIENTS {
            let attempt = format!("{cut:?}-{at}-{client:?}");
            let received = client.call(address, "/hold/", &attempt);
            let is_whole = cut.is_framed_complete(at, body.len());
            let expected: &[&str] = if is_whole { &["200"] } else { &["502", "504"] };
            assert!(
                expected.contains(&received.status.as_str()),
                "{attempt}: {received:?}"
            );
            assert!(received.is_complete, "{attempt}");
            assert!(!is_whole || received.body == body[..at], "{attempt}");
        }
    }
}

#[test]
fn crashed_engine() {
    // An engine that crashes inside an event of a stream without a length has not ended it well.
    let site = CutSite::direct();
    site.engine.respond_raw(Some(RawResponse {
        attempt: None,
        is_signed: true,
        status: 200,
        framing: "connection: close\r\n".to_owned(),
        body: STREAM[..FIRST_EVENT + 3].to_vec(),
        end: RawEnd::KeepOpen,
    }));
    let stream = Client::Http11.open(site.address, "/draft/", "a1");
    wait_until("the engine runs the request", || {
        site.site.metrics(0).contains("event=\"sent\"} 1")
    });
    std::thread::sleep(Duration::from_millis(100));
    site.engine.crash();
    assert!(!receive(stream).is_complete);
    wait_until("the crash is recorded", || {
        site.site
            .metrics(0)
            .contains("turnford_target_crashes_total 1")
    });
}

#[test]
fn unused_connection() {
    // A connection is not used again after a stream that ended inside an event.
    let site = CutSite::direct();
    let body = [&chunks(&STREAM[..FIRST_EVENT + 3])[..], b"0\r\n\r\n"].concat();
    site.engine.respond_raw(Some(RawResponse {
        attempt: None,
        is_signed: true,
        status: 200,
        framing: "transfer-encoding: chunked\r\nkeep-alive: timeout=5\r\n".to_owned(),
        body,
        end: RawEnd::KeepOpen,
    }));
    for attempt in ["a1", "a2", "a3"] {
        let received = Client::Http11.call(site.address, "/draft/", attempt);
        assert!(!received.is_complete, "{received:?}");
    }
    let connected = "turnford_service_events_total{service=\"sprog\",event=\"connected\"} 3";
    let metrics = site.site.metrics(0);
    assert!(metrics.contains(connected), "{metrics}");
}
