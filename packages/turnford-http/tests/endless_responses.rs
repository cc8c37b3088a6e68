//! Guards against responses that never end: an exchange ends by the bytes that it takes, long before its
//! timeout.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::sync::Arc;
use std::time::Duration;

use http::Method;
use turnford_http::HttpClient;
use turnford_http::HttpError;
use turnford_http::ResponseTimeouts;
use turnford_http::LARGE_RESPONSE_LIMIT;

/// Timeout of each exchange; none gets that far.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Time within which each exchange ends by its bytes.
const BYTES_TIME: Duration = Duration::from_secs(5);

/// Bytes of a response that may be sent beyond the limit, into the buffers of the connection.
const BUFFERED_BYTES: usize = 16 * 1024 * 1024;

/// Length of each write.
const WRITE_LENGTH: usize = 64 * 1024;

const CHUNKED: &str = "HTTP/1.1 200 -\r\ntransfer-encoding: chunked\r\n\r\n";

/// Sends a beginning and then one part for as long as the client reads. Counts the bytes.
fn serve_endless(begin: String, part: &str) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let count = Arc::new(AtomicUsize::new(0));
    let sent = count.clone();
    let parts = part.repeat(WRITE_LENGTH.div_ceil(part.len()));
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut request = [0; 4096];
        let length = stream.read(&mut request).expect("a request");
        assert!(length > 0);
        stream.write_all(begin.as_bytes()).expect("sent");
        while stream.write_all(parts.as_bytes()).is_ok() {
            sent.fetch_add(parts.len(), Ordering::SeqCst);
        }
    });
    (address, count)
}

/// Returns the beginnings and parts of responses without end.
fn endless_responses() -> Vec<(&'static str, String, &'static str)> {
    let ok = "HTTP/1.1 200 -\r\n";
    vec![
        ("status line", "HTTP/1.1 200 ".to_owned(), "x"),
        ("header", format!("{ok}name: "), "x"),
        ("headers", ok.to_owned(), "name: value\r\n"),
        ("interim responses", String::new(), "HTTP/1.1 100 -\r\n\r\n"),
        (
            "interim headers",
            String::new(),
            "HTTP/1.1 103 -\r\nname: value\r\n\r\n",
        ),
        ("line ends", String::new(), "\r\n"),
        (
            "sized body",
            format!("{ok}content-length: 99999999999\r\n\r\n"),
            "x",
        ),
        ("unsized body", format!("{ok}\r\n"), "x"),
        ("chunk", format!("{CHUNKED}ffffffffff\r\n"), "x"),
        ("chunks", CHUNKED.to_owned(), "1\r\nx\r\n"),
        ("chunk length", CHUNKED.to_owned(), "0"),
        ("chunk extension", format!("{CHUNKED}1;"), "x"),
        ("chunk extensions", CHUNKED.to_owned(), "1;x=y\r\nx\r\n"),
        ("trailer", format!("{CHUNKED}0\r\nname: "), "x"),
        ("trailers", format!("{CHUNKED}0\r\n"), "name: value\r\n"),
    ]
}

/// Runs an exchange with each response in a thread of its own, as it may never yield.
fn assert_ends(max_bytes: usize, exchange: fn(SocketAddr) -> Result<(), HttpError>) {
    let mut faults = Vec::new();
    for (name, begin, part) in endless_responses() {
        let (address, count) = serve_endless(begin, part);
        let (sender, ends) = mpsc::channel();
        std::thread::spawn(move || {
            let _ = sender.send(exchange(address));
        });
        let end = ends.recv_timeout(BYTES_TIME);
        let sent = count.load(Ordering::SeqCst);
        let is_bounded = sent < max_bytes + BUFFERED_BYTES;
        let was_sent = matches!(end, Ok(Err(error)) if error.was_sent());
        if !was_sent || !is_bounded {
            faults.push(format!("{name}: {end:?} after {sent} bytes"));
        }
    }
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}

fn send(to: SocketAddr) -> Result<(), HttpError> {
    let client = HttpClient::new();
    let request = HttpClient::request(Method::GET, to, "/")?;
    async_io::block_on(client.send(to, request, TIMEOUT)).map(|_| ())
}

/// As the clients of the platform do.
fn fetch(to: SocketAddr) -> Result<(), HttpError> {
    let client = HttpClient::new();
    let request = HttpClient::request(Method::GET, to, "/")?;
    let timeouts = ResponseTimeouts {
        first_byte: TIMEOUT,
        idle: TIMEOUT,
        total: TIMEOUT,
    };
    async_io::block_on(client.fetch(to, request, &timeouts)).map(|_| ())
}

#[test]
fn sent_requests() {
    // Chunks of one byte take six on the wire.
    assert_ends(8 * 1_200_000, send);
}

#[test]
fn fetched_values() {
    assert_ends(8 * LARGE_RESPONSE_LIMIT, fetch);
}

/// Interim responses before the response are no fault.
#[test]
fn interim_response() {
    let begin = "HTTP/1.1 103 -\r\nlink: x\r\n\r\nHTTP/1.1 200 -\r\ncontent-length: 1\r\n\r\n";
    let (address, _) = serve_endless(begin.to_owned(), "x");
    assert_eq!(send(address), Ok(()));
}
