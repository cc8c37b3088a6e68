//! Bodies that are made while they are sent.

use std::io;
use std::pin::Pin;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::task::ready;
use std::task::Context;
use std::task::Poll;

use futures_lite::io::AsyncBufRead;
use futures_lite::io::AsyncRead;
use futures_lite::Stream;
use http_types::Body;

/// The stream behind a body.
type ChunkStream = Pin<Box<dyn Stream<Item = Vec<u8>> + Send>>;

/// Reads a stream of chunks. The lock is never contended; it makes the reader `Sync`, as
/// `http-types` asks.
struct ChunkReader {
    stream: Mutex<ChunkStream>,
    chunk: Vec<u8>,
    used: usize,
}

/// Makes a body of unknown length from chunks. Dropping the body drops the stream.
pub fn stream_body(stream: impl Stream<Item = Vec<u8>> + Send + 'static) -> Body {
    let reader = ChunkReader {
        stream: Mutex::new(Box::pin(stream)),
        chunk: Vec::new(),
        used: 0,
    };
    Body::from_reader(reader, None)
}

impl AsyncBufRead for ChunkReader {
    fn poll_fill_buf(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let reader = self.get_mut();
        while reader.used >= reader.chunk.len() {
            let stream = reader
                .stream
                .get_mut()
                .unwrap_or_else(PoisonError::into_inner);
            match ready!(stream.as_mut().poll_next(cx)) {
                Some(chunk) => {
                    reader.chunk = chunk;
                    reader.used = 0;
                }
                None => return Poll::Ready(Ok(&[])),
            }
        }
        Poll::Ready(Ok(&reader.chunk[reader.used..]))
    }

    fn consume(mut self: Pin<&mut Self>, amount: usize) {
        self.used += amount;
    }
}

impl AsyncRead for ChunkReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let available = ready!(self.as_mut().poll_fill_buf(cx))?;
        let amount = available.len().min(buf.len());
        buf[..amount].copy_from_slice(&available[..amount]);
        self.consume(amount);
        Poll::Ready(Ok(amount))
    }
}
