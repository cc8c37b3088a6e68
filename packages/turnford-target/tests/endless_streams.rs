//! Guards against token streams that never end: a stream ends by the tokens and bytes that were asked for, long
//! before its timeout.

mod common;

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::mpsc;
use std::time::Duration;

use common::call;
use turnford_target::StreamStep;
use turnford_target::TargetClient;
use turnford_target::TargetError;

/// Timeout of each call; none gets that far.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Time within which each call ends by its bytes.
const BYTES_TIME: Duration = Duration::from_secs(5);

const MAX_TOKENS: u32 = 20;

/// Sends a stream whose lines are made from their numbers, for as long as the client reads.
fn serve_lines(line: impl Fn(u64) -> String + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut request = [0; 4096];
        let length = stream.read(&mut request).expect("a request");
        assert!(length > 0);
        stream.write_all(b"HTTP/1.1 200 -\r\n\r\n").expect("sent");
        let mut number = 0;
        while stream.write_all(line(number).as_bytes()).is_ok() {
            number += 1;
        }
    });
    address
}

/// Reads a stream to its end, and returns the number of tokens and their bytes.
fn read_stream(address: SocketAddr) -> Option<(Result<(), TargetError>, usize, usize)> {
    let (sender, ends) = mpsc::channel();
    std::thread::spawn(move || {
        let (mut call, _) = call();
        call.limit = TIMEOUT;
        call.max_tokens = MAX_TOKENS;
        let client = TargetClient::new();
        let read = async {
            let mut stream = client.stream(address, &call).await?;
            let (mut count, mut bytes) = (0, 0);
            loop {
                match stream.next().await {
                    Ok(StreamStep::Token(token)) => {
                        count += 1;
                        bytes += token.len();
                    }
                    Ok(StreamStep::Done { .. }) => return Ok((Ok(()), count, bytes)),
                    Err(error) => return Ok((Err(error), count, bytes)),
                }
            }
        };
        let end: Result<_, TargetError> = async_io::block_on(read);
        let _ = sender.send(end.unwrap_or_else(|error| (Err(error), 0, 0)));
    });
    ends.recv_timeout(BYTES_TIME).ok()
}

fn token_line(number: u64, token: &str) -> String {
    let (call, _) = call();
    let attempt = call.attempt;
    format!("{{\"attempt\":\"{attempt}\",\"index\":{number},\"token\":\"{token}\"}}\n")
}

#[test]
fn more_tokens() {
    let end = read_stream(serve_lines(|number| token_line(number, "t")));
    let (error, count, _) = end.expect("an end");
    assert_eq!((error, count), (Err(TargetError::Malformed), 20));
}

#[test]
fn large_tokens() {
    let token = "t".repeat(60_000);
    let end = read_stream(serve_lines(move |number| token_line(number, &token)));
    let (error, _, bytes) = end.expect("an end");
    assert_eq!(error, Err(TargetError::Malformed));
    assert!(bytes < 200_000, "{bytes}");
}

#[test]
fn endless_line() {
    let end = read_stream(serve_lines(|_| "x".repeat(1000)));
    let (error, count, _) = end.expect("an end");
    assert_eq!((error, count), (Err(TargetError::Malformed), 0));
}

#[test]
fn endless_end() {
    // The last line is followed by others.
    let (call, _) = call();
    let done = format!("{{\"attempt\":\"{}\",\"done\":true}}\n", call.attempt);
    let end = read_stream(serve_lines(move |_| done.clone()));
    let (error, count, _) = end.expect("an end");
    assert_eq!((error, count), (Err(TargetError::Malformed), 0));
}
