//! Token streams of model engines.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;
use serde::Deserialize;
use turnford_http::HttpError;
use turnford_http::HttpStream;
use turnford_policy::AttemptId;
use turnford_policy::Clock;
use turnford_policy::SystemClock;

use crate::call::named_attempt;
use crate::call::parse_error;
use crate::TargetCall;
use crate::TargetClient;
use crate::TargetError;

/// Maximum number of bytes of a stream's lines for each token that was asked for, and of its last line.
const MAX_TOKEN_BYTES: usize = 1024;
const MAX_END_BYTES: usize = 64 * 1024;

/// A line of a token stream.
#[derive(Deserialize)]
struct StreamLine {
    attempt: String,
    #[serde(default)]
    index: u32,
    #[serde(default)]
    token: Option<String>,
    #[serde(default)]
    done: bool,
    #[serde(default)]
    cached: u32,
}

/// A step of a token stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamStep {
    /// The next token.
    Token(String),
    /// The stream is complete.
    Done {
        /// Total number of tokens, including those received before the stream was resumed.
        tokens: u32,
        /// Number of input tokens served from the prefix cache.
        cached: u32,
    },
}

/// A token stream. Dropping it closes the connection, which cancels the call at the engine.
pub struct EngineStream<'a> {
    stream: Option<HttpStream<'a>>,
    attempt: AttemptId,
    next_index: u32,
    max_tokens: u32,
    /// Bytes of further lines that are read.
    remaining_bytes: usize,
    /// Time since the start of the call.
    clock: SystemClock,
    timeout: Duration,
}

impl TargetClient {
    /// Starts a token stream and returns once the engine has accepted the call.
    ///
    /// # Errors
    ///
    /// Returns an error that tells whether the engine may have started the call.
    pub async fn stream(
        &self,
        to: SocketAddr,
        call: &TargetCall,
    ) -> Result<EngineStream<'_>, TargetError> {
        let request = call.request(to, true)?;
        let clock = SystemClock::new();
        let mut stream = self.http.open(to, request, call.limit).await?;
        if stream.status != 200 {
            let remaining = call.limit.saturating_sub(clock.now());
            let body = within(remaining, stream.read_body()).await?;
            let error = parse_error(call.attempt, stream.status, &body);
            if named_attempt(&body) == Some(call.attempt) {
                stream.recycle();
            }
            return Err(error);
        }
        Ok(EngineStream {
            stream: Some(stream),
            attempt: call.attempt,
            next_index: call.resume_from,
            max_tokens: call.max_tokens,
            remaining_bytes: call.max_tokens as usize * MAX_TOKEN_BYTES + MAX_END_BYTES,
            clock,
            timeout: call.limit,
        })
    }
}

impl EngineStream<'_> {
    /// Waits for the next step of the stream.
    ///
    /// # Errors
    ///
    /// Returns [`TargetError::AttemptMismatch`] for a line of another attempt, [`TargetError::Malformed`] for
    /// a malformed line, a token out of order or more than the call asked for, and [`TargetError::Disconnected`] or
    /// [`TargetError::Timeout`] if the stream stops before its end.
    pub async fn next(&mut self) -> Result<StreamStep, TargetError> {
        let stream = self.stream.as_mut().ok_or(TargetError::Disconnected)?;
        let remaining = self.timeout.saturating_sub(self.clock.now());
        let line = within(remaining, stream.next_line()).await?;
        let line = line.ok_or(TargetError::Disconnected)?;
        let remaining = self.remaining_bytes.checked_sub(line.len());
        self.remaining_bytes = remaining.ok_or(TargetError::Malformed)?;
        let parsed: Result<StreamLine, _> = serde_json::from_str(&line);
        let line = parsed.map_err(|_| TargetError::Malformed)?;
        if line.attempt.parse() != Ok(self.attempt) {
            return Err(TargetError::AttemptMismatch);
        }
        if line.done {
            self.finish().await?;
            return Ok(StreamStep::Done {
                tokens: self.next_index,
                cached: line.cached,
            });
        }
        if line.index != self.next_index || line.index >= self.max_tokens {
            return Err(TargetError::Malformed);
        }
        self.next_index += 1;
        let token = line.token.ok_or(TargetError::Malformed)?;
        Ok(StreamStep::Token(token))
    }

    /// Returns the number of tokens received, including those received before the stream was resumed.
    pub fn received(&self) -> u32 {
        self.next_index
    }

    /// Reads the end of the body and releases the connection for reuse.
    async fn finish(&mut self) -> Result<(), TargetError> {
        let Some(mut stream) = self.stream.take() else {
            return Ok(());
        };
        let remaining = self.timeout.saturating_sub(self.clock.now());
        if within(remaining, stream.next_line()).await?.is_some() {
            return Err(TargetError::Malformed);
        }
        stream.recycle();
        Ok(())
    }
}

async fn within<T>(
    timeout: Duration,
    read: impl Future<Output = Result<T, HttpError>>,
) -> Result<T, HttpError> {
    let timer = async {
        Timer::after(timeout).await;
        Err(HttpError::TimeoutAfterSend)
    };
    read.or(timer).await
}
