//! Guards against planned stops that cut responses which clients still read.

mod common;

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use common::RouteSite;
use common::LIMIT;
use common::QUICK;
use rustix::net::sockopt::set_socket_recv_buffer_size;
use turnford_serve::ServeNode;
use turnford_standin::LinkCut;
use turnford_standin::RawEnd;
use turnford_standin::RawResponse;
use turnford_standin::RouteTarget;

/// Size of a response: more than the systems of both sides buffer.
const BODY_LENGTH: usize = 14_000_000;

/// Size of a response that the system of the node buffers whole.
const SHORT_LENGTH: usize = 500_000;

/// Receive buffer of a slow client.
const RECEIVE_BUFFER: usize = 65_536;

/// Time that a slow client takes for a response of [`BODY_LENGTH`].
const READ_TIME: Duration = Duration::from_millis(4500);

/// Time until the platform sends no new connections, after which a stop without requests ends.
const SETTLE_TIME: Duration = Duration::from_millis(2500);

/// Time for which a stop waits for a client that doesn't read.
const STALL_TIME: Duration = Duration::from_secs(4);

/// Time that a stop may take beyond the times above.
const STOP_MARGIN: Duration = Duration::from_millis(600);

/// Grace time that exceeds [`SETTLE_TIME`] and [`STALL_TIME`] together.
const LONG_GRACE: Duration = Duration::from_secs(10);

/// Grace time that ends while a client still reads.
const SHORT_GRACE: Duration = Duration::from_secs(4);

/// HTTP version and path of a request.
#[derive(Clone, Copy, Debug)]
struct Call {
    version: &'static str,
    path: &'static str,
}

const BUFFERED: Call = Call {
    version: "1.1",
    path: "/hold/",
};

const STREAMED: Call = Call {
    version: "1.1",
    path: "/draft/",
};

const OLD_BUFFERED: Call = Call {
    version: "1.0",
    path: "/hold/",
};

const OLD_STREAMED: Call = Call {
    version: "1.0",
    path: "/draft/",
};

/// Connects with a small receive buffer.
fn connect(to: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(to).expect("a connection");
    set_socket_recv_buffer_size(&stream, RECEIVE_BUFFER).expect("a buffer");
    stream.set_read_timeout(Some(LIMIT)).expect("a timeout");
    stream
}

impl Call {
    fn send(self, stream: &mut TcpStream) {
        let Call { version, path } = self;
        let head = format!(
            "POST {path} HTTP/{version}\r\nhost: site.example\r\nx-turnford-attempt-id: {version}{path}\r\n\
             x-turnford-deadline-ms: 9000\r\nauthorization: Bearer key-skagen\r\n\
             content-length: 0\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).expect("sent");
    }

    fn open(self, to: SocketAddr) -> TcpStream {
        let mut stream = connect(to);
        self.send(&mut stream);
        stream
    }
}

/// The number of `~` in a response, and whether an orderly close ended its connection.
#[derive(Debug)]
struct Received {
    length: usize,
    is_closed: bool,
}

fn count_body(bytes: &[u8]) -> usize {
    bytes.iter().filter(|byte| **byte == b'~').count()
}

/// Reads a response until its connection ends, at most so many bytes a second.
fn read_slowly(mut stream: TcpStream, pace: f64) -> Received {
    let started_at = Instant::now();
    let mut buffer = vec![0; 32_768];
    let (mut total, mut body) = (0, 0);
    loop {
        let due = Duration::from_secs_f64(total as f64 / pace);
        std::thread::sleep(due.saturating_sub(started_at.elapsed()));
        match stream.read(&mut buffer) {
            Ok(0) => {
                return Received {
                    length: body,
                    is_closed: true,
                }
            }
            Ok(length) => {
                total += length;
                body += count_body(&buffer[..length]);
            }
            Err(error) => {
                assert_ne!(error.kind(), std::io::ErrorKind::WouldBlock, "no end");
                return Received {
                    length: body,
                    is_closed: false,
                };
            }
        }
    }
}

fn read_pace() -> f64 {
    BODY_LENGTH as f64 / READ_TIME.as_secs_f64()
}

/// Returns a response with so many `~`.
fn response(length: usize) -> RawResponse {
    RawResponse {
        attempt: None,
        is_signed: true,
        status: 200,
        framing: format!("content-length: {length}\r\n"),
        body: vec![b'~'; length],
        end: RawEnd::KeepOpen,
    }
}

/// Returns a stream of events with so many `~`.
fn stream(length: usize) -> RawResponse {
    let event = [b"data: ", &[b'~'; 1000][..], b"\n\n"].concat();
    let body = event.repeat(length / 1000);
    RawResponse {
        framing: format!(
            "content-type: text/event-stream\r\ncontent-length: {}\r\n",
            body.len()
        ),
        body,
        ..response(0)
    }
}

/// Starts targets whose responses and streams have the given length.
fn targets(site: &RouteSite, length: usize) -> [RouteTarget; 2] {
    let plain = site.target("b1", "booking", QUICK);
    plain.respond_raw(Some(response(length)));
    let engine = site.target("s1", "sprog", common::ENGINE);
    engine.respond_raw(Some(stream(length)));
    [plain, engine]
}

fn take_node(site: &mut RouteSite, node: usize) -> (ServeNode, SocketAddr) {
    let address = site.nodes[node].settings.listen;
    (site.nodes[node].node.take().expect("a node"), address)
}

/// Stops a node. Returns the number of its unfinished requests and the time that it took.
fn stop(node: ServeNode) -> (u64, Duration) {
    let started_at = Instant::now();
    let unfinished = async_io::block_on(node.drain());
    node.stop();
    (unfinished, started_at.elapsed())
}

/// Lets the response of an opened connection begin.
fn wait_begun(stream: &TcpStream) {
    let peeked = stream.peek(&mut [0; 16]).expect("a response");
    assert!(peeked > 0);
}

/// Stops a node while a client reads slowly, and asserts that it gets everything.
fn assert_delivered(call: Call) {
    let mut site = RouteSite::new();
    let _targets = targets(&site, BODY_LENGTH);
    let node = site.node("one");
    let (node, address) = take_node(&mut site, node);
    std::thread::scope(|scope| {
        let stream = call.open(address);
        wait_begun(&stream);
        let client = scope.spawn(|| read_slowly(stream, read_pace()));
        let (unfinished, _) = stop(node);
        let received = client.join().expect("no panic");
        assert_eq!(received.length, BODY_LENGTH, "{call:?}: {received:?}");
        assert!(received.is_closed, "{call:?}");
        assert_eq!(unfinished, 0);
    });
}

#[test]
fn buffered_response() {
    assert_delivered(BUFFERED);
}

#[test]
fn streamed_response() {
    assert_delivered(STREAMED);
}

#[test]
fn old_buffered() {
    assert_delivered(OLD_BUFFERED);
}

#[test]
fn old_streamed() {
    assert_delivered(OLD_STREAMED);
}

/// A client that reads nothing until after the time at which idle connections close.
#[test]
fn paused_client() {
    for length in [SHORT_LENGTH, BODY_LENGTH] {
        let mut site = RouteSite::new();
        let _targets = targets(&site, length);
        let node = site.node("one");
        let (node, address) = take_node(&mut site, node);
        std::thread::scope(|scope| {
            let stream = BUFFERED.open(address);
            wait_begun(&stream);
            let client = scope.spawn(|| {
                std::thread::sleep(SETTLE_TIME + STOP_MARGIN);
                read_slowly(stream, f64::MAX)
            });
            let (unfinished, time) = stop(node);
            let received = client.join().expect("no panic");
            assert_eq!((received.length, received.is_closed), (length, true));
            assert_eq!(unfinished, 0);
            assert!(time > SETTLE_TIME + STOP_MARGIN, "ended after {time:?}");
        });
    }
}

/// A client of a kept connection, whose second response is the slow one.
#[test]
fn kept_connection() {
    let mut site = RouteSite::new();
    let [plain, _engine] = targets(&site, BODY_LENGTH);
    plain.respond_raw(Some(response(SHORT_LENGTH)));
    let node = site.node("one");
    let (node, address) = take_node(&mut site, node);
    let mut stream = BUFFERED.open(address);
    let mut received = 0;
    let mut buffer = vec![0; 32_768];
    while received < SHORT_LENGTH {
        let length = stream.read(&mut buffer).expect("a response");
        received += count_body(&buffer[..length]);
    }
    std::thread::scope(|scope| {
        STREAMED.send(&mut stream);
        wait_begun(&stream);
        let client = scope.spawn(|| read_slowly(stream, read_pace()));
        let (unfinished, _) = stop(node);
        assert_eq!(client.join().expect("no panic").length, BODY_LENGTH);
        assert_eq!(unfinished, 0);
    });
}

/// A client that reads nothing holds neither the stop nor the response for longer than a bound.
#[test]
fn unread_response() {
    for length in [SHORT_LENGTH, BODY_LENGTH] {
        let mut site = RouteSite::new();
        let _targets = targets(&site, length);
        let node = site.node_with_grace("one", LONG_GRACE);
        let (node, address) = take_node(&mut site, node);
        let stream = BUFFERED.open(address);
        wait_begun(&stream);
        let (unfinished, time) = stop(node);
        assert_eq!(unfinished, 0);
        assert!(time < SETTLE_TIME + STALL_TIME + STOP_MARGIN, "{time:?}");
        drop(stream);
    }
}

/// A client that still reads at the end of the grace time counts as unfinished.
#[test]
fn grace_ends() {
    let mut site = RouteSite::new();
    let _targets = targets(&site, BODY_LENGTH);
    let node = site.node_with_grace("one", SHORT_GRACE);
    let (node, address) = take_node(&mut site, node);
    let mut stream = OLD_STREAMED.open(address);
    wait_begun(&stream);
    let reader = std::thread::spawn(move || {
        let started_at = Instant::now();
        let mut buffer = vec![0; 32_768];
        while started_at.elapsed() < SHORT_GRACE {
            assert!(stream.read(&mut buffer).expect("bytes") > 0);
            std::thread::sleep(Duration::from_millis(40));
        }
    });
    let (unfinished, time) = stop(node);
    assert_eq!(unfinished, 1);
    assert!(time < SHORT_GRACE, "{time:?}");
    reader.join().expect("no panic");
}

/// Idle connections, and a request of which only a part has arrived, hold no stop.
#[test]
fn idle_clients() {
    let mut site = RouteSite::new();
    let _targets = targets(&site, SHORT_LENGTH);
    let node = site.node("one");
    let (node, address) = take_node(&mut site, node);
    let mut kept = BUFFERED.open(address);
    let mut received = vec![0; SHORT_LENGTH];
    kept.read_exact(&mut received).expect("a response");
    let unused = connect(address);
    let mut partial = connect(address);
    partial
        .write_all(b"POST /hold/ HTTP/1.1\r\n")
        .expect("sent");
    std::thread::sleep(Duration::from_millis(200));
    let mut late = vec![0; 4096];
    assert!(kept.read(&mut late).expect("the rest") > 0);
    partial.write_all(b"host: site").expect("sent");
    let (unfinished, time) = stop(node);
    assert_eq!(unfinished, 0);
    assert!(time < SETTLE_TIME + STOP_MARGIN, "{time:?}");
    drop((kept, unused, partial));
}

/// A relaying node, or one whose call is relayed, stops while a client reads slowly.
#[test]
fn relayed_streams() {
    for stopped in [0, 1] {
        let mut site = RouteSite::new();
        let targets = targets(&site, BODY_LENGTH);
        let (node, links) = site.node_behind("one", &targets);
        site.node("two");
        site.settle();
        for link in &links {
            link.cut(LinkCut::Reset).expect("a port");
        }
        let address = site.nodes[node].settings.listen;
        let (node, _) = take_node(&mut site, stopped);
        std::thread::scope(|scope| {
            for call in [STREAMED, BUFFERED] {
                let stream = call.open(address);
                wait_begun(&stream);
                scope.spawn(move || {
                    let received = read_slowly(stream, read_pace());
                    assert_eq!(received.length, BODY_LENGTH, "{call:?}, {stopped} stops");
                });
            }
            let (unfinished, _) = stop(node);
            assert_eq!(unfinished, 0, "{stopped} stops");
        });
    }
}
