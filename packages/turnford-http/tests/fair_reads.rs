//! Guards against a peer whose bytes keep all other tasks of a thread from running.

use std::future::Future;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_executor::LocalExecutor;
use async_io::Timer;
use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use turnford_http::bind_listener;
use turnford_http::serve_client;
use turnford_http::ConnectionLimits;
use turnford_http::HttpClient;
use turnford_http::HttpConnection;

/// Time after which a timer beside the peer's bytes expires.
const TIMER: Duration = Duration::from_millis(300);

/// Latest time at which the thread runs its task, and at which the peer stops.
const LATE: Duration = Duration::from_millis(800);
const PEER_TIME: Duration = Duration::from_secs(3);

/// Zeros before a chunk's length, which has no end.
const ZEROS: &[u8] = &[b'0'; 64 * 1024];

/// Sends bytes for some time, or until the reader closes the connection.
fn send_without_end(mut stream: TcpStream, begin: &[u8]) {
    let started_at = Instant::now();
    let mut sent = stream.write_all(begin);
    while sent.is_ok() && started_at.elapsed() < PEER_TIME {
        sent = stream.write_all(ZEROS);
    }
}

/// Runs a task beside a timer, and returns when the timer's task ran.
fn time_beside(
    executor: &LocalExecutor<'static>,
    task: impl Future<Output = ()> + 'static,
) -> Duration {
    let started_at = Instant::now();
    executor.spawn(task).detach();
    async_io::block_on(executor.run(async {
        Timer::after(TIMER).await;
        started_at.elapsed()
    }))
}

#[test]
fn endless_response() {
    check_response(b"HTTP/1.1 200 -\r\ntransfer-encoding: chunked\r\n\r\n");
}

/// Guards against zeros behind a whole chunk, which no longer count as part of the head.
#[test]
fn endless_chunk() {
    check_response(b"HTTP/1.1 200 -\r\ntransfer-encoding: chunked\r\n\r\n5\r\nfirst\r\n");
}

fn check_response(begin: &'static [u8]) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let to = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let length = stream.read(&mut [0; 4096]).expect("a request");
        assert!(length > 0);
        send_without_end(stream, begin);
    });
    let executor: Rc<LocalExecutor<'static>> = Rc::default();
    let driver = executor.clone();
    let exchange = async move {
        let opened = HttpConnection::open(&driver, to, TIMER).await;
        let mut connection = opened.expect("a connection");
        let request = Request::new(Full::new(Bytes::new()));
        let response = connection.send(request).await.expect("a head");
        // The body has no end.
        let _ = response.into_body().collect().await;
    };
    let time = time_beside(&executor, exchange);
    assert!(time < LATE, "the timer's task ran after {time:?}");
}

/// Guards against a large response of the own interface, whose bytes are bounded, but not those of one poll.
#[test]
fn endless_fetch() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let to = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let length = stream.read(&mut [0; 4096]).expect("a request");
        assert!(length > 0);
        let head = b"HTTP/1.1 200 -\r\ntransfer-encoding: chunked\r\n\r\n5\r\nfirst\r\n";
        send_without_end(stream, head);
    });
    let executor: Rc<LocalExecutor<'static>> = Rc::default();
    let fetch = async move {
        let client = HttpClient::new();
        let request = HttpClient::request(Method::GET, to, "/").expect("a path");
        let response = client.send_large(to, request, PEER_TIME).await;
        assert!(response.is_err(), "the body has no end");
    };
    let time = time_beside(&executor, fetch);
    assert!(time < LATE, "the timer's task ran after {time:?}");
}

#[test]
fn endless_request() {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = bind_listener(address).expect("a port");
    let to = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        let stream = TcpStream::connect(to).expect("a connection");
        send_without_end(
            stream,
            b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n",
        );
    });
    let executor: Rc<LocalExecutor<'static>> = Rc::default();
    let serve = async move {
        let (stream, _) = listener.accept().await.expect("a connection");
        let (_closing, closed) = async_channel::bounded(1);
        let limits = || ConnectionLimits {
            max_header_bytes: 16 * 1024,
            header_timeout: PEER_TIME,
            idle_timeout: PEER_TIME,
        };
        let handler = async |request: Request<Incoming>| {
            // The body has no end.
            let _ = request.into_body().collect().await;
            Response::new(Full::new(Bytes::new()))
        };
        let deliveries = Arc::default();
        serve_client(stream, limits, closed, deliveries, Rc::new(handler)).await;
    };
    let time = time_beside(&executor, serve);
    assert!(time < LATE, "the timer's task ran after {time:?}");
}
