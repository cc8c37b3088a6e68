//! A target on loopback that sends given bytes.

#![allow(dead_code)]

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::time::Duration;

use turnford_policy::AttemptId;
use turnford_target::TargetCall;

/// Timeout of each call.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// Responds to the first request with the given bytes and leaves the connection open.
pub(crate) fn serve_once(response: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut request = [0; 4096];
        let length = stream.read(&mut request).expect("a request");
        assert!(length > 0);
        stream.write_all(response.as_bytes()).expect("sent");
        // The caller closes the connection.
        while matches!(stream.read(&mut request), Ok(length) if length > 0) {}
    });
    address
}

/// Returns a call and the id of another attempt.
pub(crate) fn call() -> (TargetCall, AttemptId) {
    let attempt: AttemptId = "1-2-3-4".parse().expect("an id");
    let other = "1-2-3-5".parse().expect("an id");
    let call = TargetCall {
        attempt,
        priority: 0,
        input: String::new(),
        max_tokens: 0,
        resume_from: 0,
        limit: CALL_TIMEOUT,
    };
    (call, other)
}
