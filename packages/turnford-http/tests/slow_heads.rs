//! Connections of clients end that rest for too long, or on which a head does not arrive.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::rc::Rc;
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

const HEAD_SPAN: Duration = Duration::from_millis(300);

const IDLE_SPAN: Duration = Duration::from_millis(900);

/// Time that the server takes for an answer: longer than both limits.
const ANSWER_SPAN: Duration = Duration::from_millis(1500);

/// Longest time for anything in these tests.
const LIMIT: Duration = Duration::from_secs(20);

const WHOLE_HEAD: &[u8] = b"GET / HTTP/1.1\r\nhost: h\r\n\r\n";

/// Serves one connection, and answers `/slow` after a while.
fn connect() -> TcpStream {
    let listener = bind_listener(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a free port");
    let address = listener.local_addr().expect("the port is known");
    std::thread::spawn(move || {
        async_io::block_on(async {
            let (stream, _) = listener.accept().await.expect("a connection");
            let (_open, closing) = async_channel::bounded(1);
            let handler = Rc::new(|request: Request<Incoming>| async move {
                if request.uri().path() == "/slow" {
                    Timer::after(ANSWER_SPAN).await;
                }
                Response::new(Full::new(Bytes::from_static(b"done")))
            });
            let limits = || ConnectionLimits {
                max_header_bytes: 8192,
                header_timeout: HEAD_SPAN,
                idle_timeout: IDLE_SPAN,
            };
            serve_client(stream, limits, closing, handler).await;
        });
    });
    let stream = TcpStream::connect(address).expect("a connection");
    stream
        .set_read_timeout(Some(LIMIT))
        .expect("a limit for reads");
    stream
}

/// Reads until the server closes; returns how long that took.
fn wait_closed(stream: &mut TcpStream) -> Duration {
    let began = Instant::now();
    let mut rest = Vec::new();
    stream.read_to_end(&mut rest).expect("closed in time");
    began.elapsed()
}

fn read_answer(stream: &mut TcpStream) {
    let mut answer = Vec::new();
    let mut byte = [0];
    while !answer.ends_with(b"done") {
        stream.read_exact(&mut byte).expect("an answer");
        answer.push(byte[0]);
    }
}

/// Guards against connections that are held for ever by heads that never end.
#[test]
fn half_head() {
    let mut stream = connect();
    stream.write_all(b"GET / HTTP/1.1\r\nhos").expect("sent");
    assert!(wait_closed(&mut stream) >= HEAD_SPAN / 2);
}

/// Guards against a head that is kept alive by a byte now and then.
#[test]
fn dripping_head() {
    let mut stream = connect();
    let mut writer = stream.try_clone().expect("a second handle");
    let drip = std::thread::spawn(move || {
        let began = Instant::now();
        while began.elapsed() < LIMIT && writer.write_all(b"x").is_ok() {
            std::thread::sleep(HEAD_SPAN / 6);
        }
    });
    let mut byte = [0];
    // A reset is an end too.
    let end = stream.read(&mut byte);
    assert!(matches!(end, Ok(0) | Err(_)), "{end:?}");
    drip.join().expect("the writer ends");
}

/// Guards against connections that rest for ever, before the first request and after it.
#[test]
fn resting_link() {
    let mut stream = connect();
    assert!(wait_closed(&mut stream) >= IDLE_SPAN / 2);
    let mut stream = connect();
    stream.write_all(WHOLE_HEAD).expect("sent");
    read_answer(&mut stream);
    assert!(wait_closed(&mut stream) >= IDLE_SPAN / 2);
}

/// Guards against a request that is cut for the time that it takes, or a kept connection that is closed
/// before its rest is over.
#[test]
fn busy_link() {
    let mut stream = connect();
    stream
        .write_all(b"GET /slow HTTP/1.1\r\nhost: h\r\n\r\n")
        .expect("sent");
    read_answer(&mut stream);
    std::thread::sleep(IDLE_SPAN / 3);
    stream.write_all(WHOLE_HEAD).expect("sent");
    read_answer(&mut stream);
}
