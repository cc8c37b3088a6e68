//! Requirements of the routes on the HTTP library. `async-h1` failed each of these tests.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::rc::Rc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_executor::LocalExecutor;
use async_io::Timer;
use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use turnford_http::bind_listener;
use turnford_http::serve_client;
use turnford_http::ConnectionLimits;
use turnford_http::HttpConnection;

const TIMEOUT: Duration = Duration::from_secs(5);

/// Accepts one connection, answers its first request with `response` and closes it.
fn serve_once(response: &'static [u8]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("the port is known");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut call = [0; 4096];
        let length = stream.read(&mut call).expect("a call");
        assert!(length > 0);
        stream.write_all(response).expect("sent");
    });
    address
}

fn read_response(to: SocketAddr) -> Option<Bytes> {
    let executor = LocalExecutor::new();
    async_io::block_on(executor.run(async {
        let mut connection = HttpConnection::open(&executor, to, TIMEOUT)
            .await
            .expect("a connection");
        let request = Request::builder().uri("/").header("host", "h");
        let request = request.body(Full::new(Bytes::new())).expect("a request");
        let response = connection.send(request).await.expect("a head");
        let body = response.into_body().collect().await;
        body.ok().map(http_body_util::Collected::to_bytes)
    }))
}

#[test]
fn unsized_body() {
    let address = serve_once(b"HTTP/1.1 200 OK\r\n\r\nall of it");
    assert_eq!(
        read_response(address),
        Some(Bytes::from_static(b"all of it"))
    );
}

#[test]
fn short_body() {
    let address = serve_once(b"HTTP/1.1 200 OK\r\ncontent-length: 90\r\n\r\nhalf");
    assert_eq!(read_response(address), None);
}

#[test]
fn second_answer() {
    // Bytes after a complete response close the connection; they must not answer the next request.
    let both = b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\noneHTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\ntwo";
    let address = serve_once(both);
    let executor = LocalExecutor::new();
    async_io::block_on(executor.run(async {
        let mut connection = HttpConnection::open(&executor, address, TIMEOUT)
            .await
            .expect("a connection");
        let request = || {
            let request = Request::builder().uri("/").header("host", "h");
            request.body(Full::new(Bytes::new())).expect("a request")
        };
        let response = connection.send(request()).await.expect("a head");
        let body = response.into_body().collect().await.expect("a body");
        assert_eq!(body.to_bytes(), Bytes::from_static(b"one"));
        Timer::after(Duration::from_millis(50)).await;
        assert!(connection.is_closed() || connection.send(request()).await.is_err());
    }));
}

/// Sets a flag when it is dropped.
struct DropFlag(Arc<AtomicBool>);

impl Drop for DropFlag {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

#[test]
fn client_closes() {
    let listener = bind_listener(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a free port");
    let address = listener.local_addr().expect("the port is known");
    let dropped = Arc::new(AtomicBool::new(false));
    let started = Arc::new(AtomicBool::new(false));
    let flags = (dropped.clone(), started.clone());
    std::thread::spawn(move || {
        async_io::block_on(async {
            let (stream, _) = listener.accept().await.expect("a connection");
            let (_open, closing) = async_channel::bounded(1);
            let handler = Rc::new(move |_: Request<hyper::body::Incoming>| {
                let flag = DropFlag(flags.0.clone());
                flags.1.store(true, Ordering::SeqCst);
                async move {
                    let _flag = flag;
                    std::future::pending::<()>().await;
                    Response::new(Full::new(Bytes::new()))
                }
            });
            let limits = || ConnectionLimits {
                max_header_bytes: 8192,
                header_timeout: Duration::from_secs(60),
                idle_timeout: Duration::from_secs(60),
            };
            serve_client(stream, limits, closing, Arc::default(), handler).await;
        });
    });
    let mut stream = TcpStream::connect(address).expect("a connection");
    stream
        .write_all(b"GET / HTTP/1.1\r\nhost: h\r\n\r\n")
        .expect("sent");
    wait(&started);
    drop(stream);
    wait(&dropped);
}

fn wait(flag: &AtomicBool) {
    let started = Instant::now();
    while !flag.load(Ordering::SeqCst) {
        assert!(
            started.elapsed() < TIMEOUT,
            "flag not set within {TIMEOUT:?}"
        );
        std::thread::sleep(Duration::from_millis(2));
    }
}
