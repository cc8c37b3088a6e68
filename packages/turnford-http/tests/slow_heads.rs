//! Connections of clients close if they stay idle, or receive a request head, for too long.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use turnford_http::bind_listener;
use turnford_http::serve_client;
use turnford_http::ConnectionLimits;

const HEADER_TIMEOUT: Duration = Duration::from_millis(300);

const IDLE_TIMEOUT: Duration = Duration::from_millis(900);

/// Time that the server takes to respond: longer than both timeouts.
const RESPONSE_TIME: Duration = Duration::from_millis(1500);

/// Upper bound for each wait of these tests.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

const WHOLE_HEAD: &[u8] = b"GET / HTTP/1.1\r\nhost: h\r\n\r\n";

/// Serves one connection, with a delayed response to `/slow`, and connects to it.
fn connect() -> TcpStream {
    let listener = bind_listener(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a free port");
    let address = listener.local_addr().expect("the port is known");
    std::thread::spawn(move || {
        async_io::block_on(async {
            let (stream, _) = listener.accept().await.expect("a connection");
            let (_open, closing) = async_channel::bounded(1);
            let handler = Rc::new(|request: Request<Incoming>| async move {
                if request.uri().path() == "/slow" {
                    Timer::after(RESPONSE_TIME).await;
                }
                Response::new(Full::new(Bytes::from_static(b"done")))
            });
            let limits = || ConnectionLimits {
                max_header_bytes: 8192,
                header_timeout: HEADER_TIMEOUT,
                idle_timeout: IDLE_TIMEOUT,
            };
            serve_client(stream, limits, closing, Arc::default(), handler).await;
        });
    });
    let stream = TcpStream::connect(address).expect("a connection");
    stream
        .set_read_timeout(Some(TEST_TIMEOUT))
        .expect("read timeout should be set");
    stream
}

/// Reads until the server closes the connection and returns how long that took.
fn wait_closed(stream: &mut TcpStream) -> Duration {
    let started = Instant::now();
    let mut remaining = Vec::new();
    stream.read_to_end(&mut remaining).expect("closed in time");
    started.elapsed()
}

fn read_response(stream: &mut TcpStream) {
    let mut response = Vec::new();
    let mut byte = [0];
    while !response.ends_with(b"done") {
        stream.read_exact(&mut byte).expect("a response");
        response.push(byte[0]);
    }
}

/// Guards against connections that are held forever by an incomplete head.
#[test]
fn incomplete_head() {
    let mut stream = connect();
    stream.write_all(b"GET / HTTP/1.1\r\nhos").expect("sent");
    assert!(wait_closed(&mut stream) >= HEADER_TIMEOUT / 2);
}

/// Guards against a timeout that is restarted by each byte of a head.
#[test]
fn slow_head() {
    let mut stream = connect();
    let mut writer = stream.try_clone().expect("a second handle");
    let drip = std::thread::spawn(move || {
        let started = Instant::now();
        while started.elapsed() < TEST_TIMEOUT && writer.write_all(b"x").is_ok() {
            std::thread::sleep(HEADER_TIMEOUT / 6);
        }
    });
    let mut byte = [0];
    // A reset also closes the connection.
    let end = stream.read(&mut byte);
    assert!(matches!(end, Ok(0) | Err(_)), "{end:?}");
    drip.join().expect("the writer ends");
}

/// Guards against connections that stay idle forever, before the first request and after it.
#[test]
fn idle_connection() {
    let mut stream = connect();
    assert!(wait_closed(&mut stream) >= IDLE_TIMEOUT / 2);
    let mut stream = connect();
    stream.write_all(WHOLE_HEAD).expect("sent");
    read_response(&mut stream);
    assert!(wait_closed(&mut stream) >= IDLE_TIMEOUT / 2);
}

/// Guards against a timeout while a request is being served, and against closing an idle connection before
/// its timeout.
#[test]
fn busy_connection() {
    let mut stream = connect();
    stream
        .write_all(b"GET /slow HTTP/1.1\r\nhost: h\r\n\r\n")
        .expect("sent");
    read_response(&mut stream);
    std::thread::sleep(IDLE_TIMEOUT / 3);
    stream.write_all(WHOLE_HEAD).expect("sent");
    read_response(&mut stream);
}
