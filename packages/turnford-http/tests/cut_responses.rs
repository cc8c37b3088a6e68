//! Guards against cut responses that look complete because the end of their connection is their only end.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use bytes::Bytes;
use futures_lite::FutureExt;
use http::Request;
use http::Response;
use http_body_util::StreamBody;
use hyper::body::Frame;
use hyper::body::Incoming;
use turnford_http::bind_listener;
use turnford_http::serve_client;
use turnford_http::ConnectionLimits;

const TIMEOUT: Duration = Duration::from_secs(20);

/// Time after which the server drops the connection, like the end of its process.
const SERVE_TIME: Duration = Duration::from_millis(300);

/// Serves one connection with a body of unknown length, which ends or goes on for good, and connects to it.
fn connect(ends: bool) -> TcpStream {
    let listener = bind_listener(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a free port");
    let address = listener.local_addr().expect("the port is known");
    std::thread::spawn(move || {
        async_io::block_on(async {
            let (stream, _) = listener.accept().await.expect("a connection");
            let (_open, closing) = async_channel::bounded(1);
            let handler = Rc::new(move |_: Request<Incoming>| async move {
                let (sender, chunks) = async_channel::bounded(2);
                let part = Frame::data(Bytes::from_static(b"part"));
                sender
                    .try_send(Ok::<_, std::io::Error>(part))
                    .expect("room");
                if !ends {
                    // An open channel has no end.
                    std::mem::forget(sender);
                }
                Response::new(StreamBody::new(Box::pin(chunks)))
            });
            let limits = || ConnectionLimits {
                max_header_bytes: 8192,
                header_timeout: TIMEOUT,
                idle_timeout: TIMEOUT,
            };
            let serve = serve_client(stream, limits, closing, Arc::default(), handler);
            let end = async {
                Timer::after(SERVE_TIME).await;
            };
            serve.or(end).await;
        });
    });
    let mut stream = TcpStream::connect(address).expect("a connection");
    stream.set_read_timeout(Some(TIMEOUT)).expect("a timeout");
    stream.write_all(b"GET / HTTP/1.0\r\n\r\n").expect("sent");
    stream
}

#[test]
fn old_client() {
    let mut received = Vec::new();
    let read = connect(false).read_to_end(&mut received);
    assert!(received.ends_with(b"part"), "{received:?}");
    let error = read.expect_err("a reset");
    assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
}

#[test]
fn complete_response() {
    let mut received = Vec::new();
    let read = connect(true).read_to_end(&mut received);
    read.expect("an orderly close");
    assert!(received.ends_with(b"part"), "{received:?}");
}
