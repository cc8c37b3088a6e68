//! Guards against callers that stop sending their request or reading their response, and never leave.

use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::Sender;
use std::time::Duration;
use std::time::Instant;

use http::StatusCode;
use turnford_http::serve_caller;
use turnford_http::BufferedRequest;
use turnford_http::CallerLimits;
use turnford_http::HttpBody;
use turnford_http::HttpResponse;

const LIMITS: CallerLimits = CallerLimits {
    max_body_bytes: 1000,
    body_idle: Duration::from_millis(300),
    body_total: Duration::from_millis(900),
    write_idle: Duration::from_millis(500),
};

/// Time that a connection may take beyond the limit that ends it.
const MARGIN: Duration = Duration::from_millis(500);

/// Time for which a connection that nothing is read from is written to: the system's buffers take more some
/// time after the first part.
const WRITE_TIME: Duration = Duration::from_millis(1500);

/// More than the buffers of a connection hold on both sides.
const LARGE_LENGTH: usize = 64 * 1024 * 1024;

/// Reports its drop.
struct DropSignal(Sender<&'static str>);

impl Drop for DropSignal {
    fn drop(&mut self) {
        let _ = self.0.send("body dropped");
    }
}

/// Serves one connection; the receiver gets a message for each request and at the end.
fn serve(
    respond: impl Fn(Sender<&'static str>) -> HttpResponse + Send + 'static,
) -> (TcpStream, Receiver<&'static str>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (sender, events) = mpsc::channel();
    std::thread::spawn(move || {
        let (stream, _) = listener.accept().expect("a connection");
        stream.set_nonblocking(true).expect("set");
        let stream = async_net::TcpStream::try_from(stream).expect("a stream");
        let handler = |_: BufferedRequest| {
            let _ = sender.send("request");
            let response = respond(sender.clone());
            async move { Some(response) }
        };
        async_io::block_on(serve_caller(stream, LIMITS, handler));
        let _ = sender.send("end");
    });
    let client = TcpStream::connect(address).expect("connected");
    client
        .set_read_timeout(Some(Duration::from_secs(5)))
        .expect("set");
    (client, events)
}

fn accepted(_: Sender<&'static str>) -> HttpResponse {
    HttpResponse::new(StatusCode::OK)
}

/// Reads until the server closes the connection, and returns the status line.
fn read_status(client: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    // The unread body may reset the connection after the response.
    let _ = client.read_to_end(&mut bytes);
    let text = String::from_utf8_lossy(&bytes).into_owned();
    text.lines().next().unwrap_or("").to_owned()
}

#[test]
fn stopped_body() {
    let (mut client, events) = serve(accepted);
    let started_at = Instant::now();
    let head = b"POST / HTTP/1.1\r\ncontent-length: 500\r\n\r\nhalf";
    client.write_all(head).expect("sent");
    let status = read_status(&mut client);
    assert!(status.contains("408"), "{status}");
    assert!(started_at.elapsed() < LIMITS.body_idle + MARGIN);
    assert_eq!(events.recv(), Ok("end"), "the request was not handled");
}

#[test]
fn trickled_body() {
    let (mut client, events) = serve(accepted);
    let mut reader = client.try_clone().expect("cloned");
    let started_at = Instant::now();
    let head = b"POST / HTTP/1.1\r\ncontent-length: 500\r\n\r\n";
    client.write_all(head).expect("sent");
    std::thread::spawn(move || {
        while client.write_all(b"x").is_ok() {
            std::thread::sleep(Duration::from_millis(50));
        }
    });
    let status = read_status(&mut reader);
    assert!(status.contains("408"), "{status}");
    assert!(started_at.elapsed() < LIMITS.body_total + MARGIN);
    assert_eq!(events.recv(), Ok("end"), "the request was not handled");
}

#[test]
fn long_body() {
    let (mut client, _) = serve(accepted);
    let head = b"POST / HTTP/1.1\r\ncontent-length: 2000\r\n\r\n";
    client.write_all(head).expect("sent");
    let _ = client.write_all(&[b'x'; 2000]);
    let status = read_status(&mut client);
    assert!(status.contains("413"), "{status}");
}

#[test]
fn unread_response() {
    let (mut client, events) = serve(|_| {
        let mut response = HttpResponse::new(StatusCode::OK);
        response.set_body(vec![0; LARGE_LENGTH]);
        response
    });
    client.write_all(b"GET / HTTP/1.1\r\n\r\n").expect("sent");
    assert_eq!(events.recv(), Ok("request"));
    let end = events.recv_timeout(WRITE_TIME + MARGIN);
    assert_eq!(end, Ok("end"));
}

#[test]
fn unread_stream() {
    let (mut client, events) = serve(|sender| {
        let signal = DropSignal(sender);
        let chunks = futures_lite::stream::unfold(signal, |signal| async move {
            Some((vec![0; 64 * 1024], signal))
        });
        let mut response = HttpResponse::new(StatusCode::OK);
        response.set_body(HttpBody::stream(chunks));
        response
    });
    client.write_all(b"GET / HTTP/1.1\r\n\r\n").expect("sent");
    assert_eq!(events.recv(), Ok("request"));
    let end = events.recv_timeout(WRITE_TIME + MARGIN);
    assert_eq!(end, Ok("body dropped"));
}

/// A caller that reads slowly keeps its response.
#[test]
fn slow_reader() {
    let (mut client, events) = serve(|_| {
        let mut response = HttpResponse::new(StatusCode::OK);
        response.set_body(vec![0; LARGE_LENGTH]);
        response
    });
    client
        .write_all(b"GET / HTTP/1.1\r\nconnection: close\r\n\r\n")
        .expect("sent");
    assert_eq!(events.recv(), Ok("request"));
    let mut length = 0;
    let mut part = vec![0; 8 * 1024 * 1024];
    loop {
        let read = client.read(&mut part).expect("read");
        if read == 0 {
            break;
        }
        length += read;
        std::thread::sleep(Duration::from_millis(20));
    }
    assert!(length >= LARGE_LENGTH, "{length}");
}

/// A chunk's length without end is read and dropped, so no size limit applies to it.
#[test]
fn endless_chunk() {
    let (mut client, events) = serve(accepted);
    let mut reader = client.try_clone().expect("cloned");
    let started_at = Instant::now();
    let head = b"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n";
    client.write_all(head).expect("sent");
    std::thread::spawn(move || while client.write_all(&[b'0'; 65536]).is_ok() {});
    let status = read_status(&mut reader);
    assert!(status.contains("408"), "{status}");
    assert!(started_at.elapsed() < LIMITS.body_idle + MARGIN);
    assert_eq!(events.recv(), Ok("end"), "the request was not handled");
}
