//! Responses that a target sends byte by byte, with any framing and any end.

use std::io;
use std::time::Duration;

use async_io::Timer;
use async_net::TcpStream;
use futures_lite::AsyncReadExt;
use futures_lite::AsyncWriteExt;
use rustix::net::sockopt::set_socket_linger;

/// Delay of a reset, so that what was sent before arrives.
const RESET_DELAY: Duration = Duration::from_millis(20);

/// Response to calls that are not requests of clients.
const EMPTY_REPORT: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}";

/// How a target ends the connection of a raw response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RawEnd {
    /// It closes the connection.
    Close,
    /// It resets the connection.
    Reset,
    /// It leaves the connection open.
    KeepOpen,
}

/// A response as it is sent to each request of a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RawResponse {
    /// Attempt that the response names, to calls that are not requests of clients as well; `None` for the
    /// attempt of each request.
    pub attempt: Option<&'static str>,
    /// Whether the response is signed by the target.
    pub is_signed: bool,
    /// Status code.
    pub status: u16,
    /// Further header lines, which frame the body, each with its line end.
    pub framing: String,
    /// Everything after the head.
    pub body: Vec<u8>,
    /// End of the connection.
    pub end: RawEnd,
}

/// Serves one connection with raw responses, and records the attempts of the requests that get one.
///
/// # Errors
///
/// Returns the error of the connection.
pub(super) async fn serve_raw(
    mut stream: TcpStream,
    response: RawResponse,
    record_attempt: impl Fn(&str),
) -> io::Result<()> {
    loop {
        let Some(head) = read_head(&mut stream).await? else {
            return Ok(());
        };
        if response.attempt.is_none() && is_internal(&head) {
            stream.write_all(EMPTY_REPORT).await?;
            continue;
        }
        record_attempt(attempt_of(&head));
        let attempt = response.attempt.unwrap_or(attempt_of(&head));
        let stamp = if response.is_signed {
            format!("x-turnford-server-stamp: stamp-{attempt}\r\n")
        } else {
            String::new()
        };
        let start = format!(
            "HTTP/1.1 {} -\r\nx-turnford-attempt-id: {attempt}\r\n{stamp}{}\r\n",
            response.status, response.framing
        );
        stream.write_all(start.as_bytes()).await?;
        stream.write_all(&response.body).await?;
        match response.end {
            RawEnd::Close => return Ok(()),
            RawEnd::Reset => {
                Timer::after(RESET_DELAY).await;
                set_socket_linger(&stream, Some(Duration::ZERO))?;
                return Ok(());
            }
            RawEnd::KeepOpen => {}
        }
    }
}

/// Reads a request without a body. Returns its head, or `None` if the connection ends before it.
async fn read_head(stream: &mut TcpStream) -> io::Result<Option<String>> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).await? == 0 {
            return Ok(None);
        }
        head.push(byte[0]);
    }
    Ok(Some(String::from_utf8_lossy(&head).into_owned()))
}

fn is_internal(head: &str) -> bool {
    let path = head.split(' ').nth(1).unwrap_or("");
    path.starts_with("/v1/") || path == "/health"
}

fn attempt_of(head: &str) -> &str {
    let mut lines = head.lines().filter_map(|line| line.split_once(':'));
    let attempt = lines.find(|(name, _)| name.eq_ignore_ascii_case("x-turnford-attempt-id"));
    attempt.map_or("", |(_, value)| value.trim())
}
