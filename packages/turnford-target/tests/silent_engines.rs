//! Guards against calls that outlast their timeout because an engine falls silent.

mod common;

use std::time::Duration;
use std::time::Instant;

use common::call;
use common::serve_once;
use common::CALL_TIMEOUT;
use turnford_target::TargetClient;
use turnford_target::TargetError;

/// Time that a call may take beyond its timeout.
const MARGIN: Duration = Duration::from_millis(200);

/// Reads a stream to its end.
async fn read_stream(response: String) -> Result<(), TargetError> {
    let (call, _) = call();
    let client = TargetClient::new();
    let mut stream = client.stream(serve_once(response), &call).await?;
    stream.next().await.map(|_| ())
}

fn assert_ends(response: &str) {
    let started_at = Instant::now();
    let late = async {
        async_io::Timer::after(CALL_TIMEOUT * 5).await;
        Ok(())
    };
    let read = read_stream(response.to_owned());
    let end = async_io::block_on(futures_lite::future::or(read, late));
    let elapsed = started_at.elapsed();
    assert!(elapsed < CALL_TIMEOUT + MARGIN, "{elapsed:?}: {response}");
    assert_eq!(end, Err(TargetError::Timeout), "{response}");
}

#[test]
fn error_body() {
    assert_ends("HTTP/1.1 500 -\r\ncontent-length: 20\r\n\r\nhalf");
}

#[test]
fn first_line() {
    assert_ends("HTTP/1.1 200 -\r\ncontent-length: 20\r\n\r\n");
}

#[test]
fn last_line() {
    let (call, _) = call();
    let line = format!("{{\"attempt\":\"{}\",\"done\":true}}\n", call.attempt);
    let length = line.len() + 1;
    assert_ends(&format!(
        "HTTP/1.1 200 -\r\ncontent-length: {length}\r\n\r\n{line}"
    ));
}
