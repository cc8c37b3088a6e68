//! The calling side: one `h2` connection to each peer.

use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Timer;
use bincode::Decode;
use bincode::Encode;
use bytes::Bytes;
use futures_lite::FutureExt;
use h2::client::SendRequest;
use h2::RecvStream;
use http::Method;
use http::Request;
use http::Response;
use tokio_util::compat::FuturesAsyncReadCompatExt;
use turnford_http::open_stream;
use turnford_http::ReceiveCounter;
use turnford_http::ResponseTimeouts;

use crate::body::read_body;
use crate::decode_frame;
use crate::encode_frame;
use crate::FrameError;

/// Why a call to a peer failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerError {
    /// No connection, or it broke.
    Disconnected,
    /// No answer in time.
    Timeout,
    /// The answer stopped coming after so many bytes.
    Stalled(usize),
    /// The message or its answer was not understood.
    Frame(FrameError),
}

impl fmt::Display for PeerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PeerError::Disconnected => f.write_str("connection broken"),
            PeerError::Timeout => f.write_str("no answer in time"),
            PeerError::Stalled(received) => {
                write!(f, "the answer stopped coming, received={received}")
            }
            PeerError::Frame(fault) => write!(f, "{fault}"),
        }
    }
}

impl std::error::Error for PeerError {}

/// Client of all peers, for one thread.
pub struct PeerClient {
    executor: Rc<LocalExecutor<'static>>,
    connections: RefCell<HashMap<SocketAddr, SendRequest<Bytes>>>,
    sent_bytes: RefCell<u64>,
    arrivals: ReceiveCounter,
}

impl PeerClient {
    /// Makes a client whose connections are driven by an executor.
    pub fn new(executor: Rc<LocalExecutor<'static>>) -> Self {
        Self {
            executor,
            connections: RefCell::new(HashMap::new()),
            sent_bytes: RefCell::new(0),
            arrivals: ReceiveCounter::default(),
        }
    }

    /// Returns the bytes of all frames sent and received so far, as the codec counts them.
    pub fn frame_bytes(&self) -> u64 {
        *self.sent_bytes.borrow()
    }

    /// Tells whether an answer is arriving.
    pub fn is_receiving(&self) -> bool {
        self.arrivals.is_active()
    }

    /// Makes a call whose answer has to begin within `limit`; then it is read for as long as it
    /// keeps coming.
    ///
    /// # Errors
    ///
    /// Returns the fault; the peer may have seen the call unless it is a fault of encoding.
    pub async fn call<Q: Encode, R: Decode<()>>(
        &self,
        to: SocketAddr,
        request: &Q,
        limit: Duration,
    ) -> Result<R, PeerError> {
        let frame = encode_frame(request).map_err(PeerError::Frame)?;
        *self.sent_bytes.borrow_mut() += frame.len() as u64;
        let answer = self
            .exchange(to, frame, &ResponseTimeouts::new(limit))
            .await;
        if answer.is_err() {
            // A connection that failed once is made anew for the next call.
            self.connections.borrow_mut().remove(&to);
        }
        let answer = answer?;
        *self.sent_bytes.borrow_mut() += answer.len() as u64;
        decode_frame(&answer).map_err(PeerError::Frame)
    }

    async fn exchange(
        &self,
        to: SocketAddr,
        frame: Vec<u8>,
        limit: &ResponseTimeouts,
    ) -> Result<Vec<u8>, PeerError> {
        let late = async {
            Timer::after(limit.first_byte).await;
            Err(PeerError::Timeout)
        };
        let response = self.begin_exchange(to, frame).or(late).await?;
        let _arrival = self.arrivals.begin();
        read_body(response.into_body(), limit).await
    }

    /// Sends a call and waits until its answer begins.
    async fn begin_exchange(
        &self,
        to: SocketAddr,
        frame: Vec<u8>,
    ) -> Result<Response<RecvStream>, PeerError> {
        let mut sender = self.ready_connection(to).await?;
        let request = Request::builder().method(Method::POST).uri("http://peer/");
        let request = request.body(()).map_err(|_| PeerError::Disconnected)?;
        let sent = sender
            .send_request(request, false)
            .map_err(|_| PeerError::Disconnected)?;
        let (response, mut body) = sent;
        body.send_data(Bytes::from(frame), true)
            .map_err(|_| PeerError::Disconnected)?;
        response.await.map_err(|_| PeerError::Disconnected)
    }

    /// Returns a connection that takes a call now. A kept one that has ended meanwhile, as with a
    /// peer that was restarted, is made anew: nothing was sent on it.
    async fn ready_connection(&self, to: SocketAddr) -> Result<SendRequest<Bytes>, PeerError> {
        let kept = self.connections.borrow().get(&to).cloned();
        if let Some(sender) = kept {
            if let Ok(sender) = sender.ready().await {
                return Ok(sender);
            }
            self.connections.borrow_mut().remove(&to);
        }
        let sender = self.connect(to).await?;
        sender.ready().await.map_err(|_| PeerError::Disconnected)
    }

    async fn connect(&self, to: SocketAddr) -> Result<SendRequest<Bytes>, PeerError> {
        let stream = open_stream(to).await.map_err(|_| PeerError::Disconnected)?;
        let shaken = h2::client::handshake(stream.compat()).await;
        let (sender, connection) = shaken.map_err(|_| PeerError::Disconnected)?;
        let drive = async move {
            // Its end shows in the calls that use it.
            let _ = connection.await;
        };
        self.executor.spawn(drive).detach();
        self.connections.borrow_mut().insert(to, sender.clone());
        Ok(sender)
    }
}
