//! RPC client with one HTTP/2 connection to each peer.

use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
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
use turnford_http::wait_timeout;
use turnford_http::ReceiveCounter;
use turnford_http::ResponseTimeouts;

use crate::body::read_body;
use crate::decode_frame;
use crate::encode_frame;
use crate::streamed::FRAME_LENGTH_HEADER;
use crate::FrameError;
use crate::PeerBody;
use crate::FRAME_LIMIT;

/// Bytes that a peer may send on one connection before they are read, as HTTP/2 defaults to.
const DEFAULT_WINDOW: u32 = 65_535;

/// The same on connections for streamed replies: the default for each of the 256 streams that a peer
/// accepts.
const STREAMS_WINDOW: u32 = 256 * DEFAULT_WINDOW;

/// Timeouts for reading the rest of a reply whose head has arrived.
const REPLY_TIMEOUTS: ResponseTimeouts = ResponseTimeouts::new(Duration::ZERO);

/// Reason a call to a peer failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerError {
    /// The connection could not be opened, so that nothing was sent.
    NotConnected,
    /// The connection was lost.
    Disconnected,
    /// No response began within the timeout.
    Timeout,
    /// The response stalled after this many bytes.
    Stalled(usize),
    /// The request could not be encoded, so that nothing was sent.
    Frame(FrameError),
    /// The reply could not be decoded.
    Reply(FrameError),
}

impl fmt::Display for PeerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PeerError::NotConnected => f.write_str("no connection to the peer"),
            PeerError::Disconnected => f.write_str("connection to the peer lost"),
            PeerError::Timeout => f.write_str("no response from the peer in time"),
            PeerError::Stalled(received) => {
                write!(f, "response of the peer stalled, received={received}")
            }
            PeerError::Frame(error) => write!(f, "request: {error}"),
            PeerError::Reply(error) => write!(f, "reply: {error}"),
        }
    }
}

impl std::error::Error for PeerError {}

/// RPC client of one thread for all peers.
pub struct PeerClient {
    executor: Rc<LocalExecutor<'static>>,
    connections: RefCell<HashMap<SocketAddr, SendRequest<Bytes>>>,
    frame_bytes: RefCell<u64>,
    receiving: ReceiveCounter,
    /// Bytes that a peer may send on one connection before they are read.
    connection_window: u32,
}

impl PeerClient {
    /// Creates a client whose connections are driven by `executor`.
    pub fn new(executor: Rc<LocalExecutor<'static>>) -> Self {
        Self {
            executor,
            connections: RefCell::new(HashMap::new()),
            frame_bytes: RefCell::new(0),
            receiving: ReceiveCounter::default(),
            connection_window: DEFAULT_WINDOW,
        }
    }

    /// Creates a client for streamed replies, some of which may be read slowly without holding up
    /// the others of their connection.
    pub fn with_streams(executor: Rc<LocalExecutor<'static>>) -> Self {
        Self {
            connection_window: STREAMS_WINDOW,
            ..Self::new(executor)
        }
    }

    /// Returns the total size of all frames sent and received so far, in bytes, without HTTP/2 overhead.
    pub fn frame_bytes(&self) -> u64 {
        *self.frame_bytes.borrow()
    }

    /// Returns whether a response is being received.
    pub fn is_receiving(&self) -> bool {
        self.receiving.is_active()
    }

    /// Sends a request and reads the reply. The response must begin within `timeout`; after that it is
    /// read as long as data keeps arriving.
    ///
    /// # Errors
    ///
    /// Returns why the call failed. The peer may have received the request unless encoding failed.
    pub async fn call<Q: Encode, R: Decode<()>>(
        &self,
        to: SocketAddr,
        request: &Q,
        timeout: Duration,
    ) -> Result<R, PeerError> {
        let frame = encode_frame(request).map_err(PeerError::Frame)?;
        *self.frame_bytes.borrow_mut() += frame.len() as u64;
        let response = self
            .exchange(to, frame, &ResponseTimeouts::new(timeout))
            .await;
        if response.is_err() {
            // Do not reuse a connection on which a call failed.
            self.connections.borrow_mut().remove(&to);
        }
        let response = response?;
        *self.frame_bytes.borrow_mut() += response.len() as u64;
        decode_frame(&response).map_err(PeerError::Reply)
    }

    /// Opens another connection to a peer for the next call. Calls on the last one go on.
    pub fn forget_connection(&self, to: SocketAddr) {
        self.connections.borrow_mut().remove(&to);
    }

    /// Sends a request and reads the reply, which may be followed by further bytes. There is no timeout for
    /// the reply; a connection must be open within `connect_timeout`.
    ///
    /// # Errors
    ///
    /// Returns why the call failed. Only [`PeerError::NotConnected`] and [`PeerError::Frame`] mean that the peer
    /// has not received it.
    pub async fn call_streamed<Q: Encode, R: Decode<()>>(
        &self,
        to: SocketAddr,
        request: &Q,
        connect_timeout: Duration,
    ) -> Result<(R, Option<PeerBody>), PeerError> {
        let frame = encode_frame(request).map_err(PeerError::Frame)?;
        *self.frame_bytes.borrow_mut() += frame.len() as u64;
        let late = async {
            wait_timeout(connect_timeout).await;
            Err(PeerError::NotConnected)
        };
        let response = match self.ready_connection(to).or(late).await {
            Ok(sender) => send_frame(sender, frame).await,
            Err(error) => Err(error),
        };
        let reply = match response {
            Ok(response) => read_streamed(response).await,
            Err(error) => Err(error),
        };
        if matches!(
            reply,
            Err(PeerError::NotConnected | PeerError::Disconnected)
        ) {
            self.connections.borrow_mut().remove(&to);
        }
        let (frame, body) = reply?;
        let reply = decode_frame(&frame).map_err(PeerError::Reply)?;
        Ok((reply, body))
    }

    async fn exchange(
        &self,
        to: SocketAddr,
        frame: Vec<u8>,
        timeouts: &ResponseTimeouts,
    ) -> Result<Vec<u8>, PeerError> {
        let timeout = async {
            wait_timeout(timeouts.first_byte).await;
            Err(PeerError::Timeout)
        };
        let response = self.begin_exchange(to, frame).or(timeout).await?;
        let _receiving = self.receiving.begin();
        read_body(response.into_body(), timeouts).await
    }

    /// Sends a request and waits for the head of the response.
    async fn begin_exchange(
        &self,
        to: SocketAddr,
        frame: Vec<u8>,
    ) -> Result<Response<RecvStream>, PeerError> {
        let sender = self.ready_connection(to).await?;
        send_frame(sender, frame).await
    }

    /// Returns a connection that accepts a call now. A cached connection that has closed, for example
    /// because the peer restarted, is replaced: nothing was sent on it.
    async fn ready_connection(&self, to: SocketAddr) -> Result<SendRequest<Bytes>, PeerError> {
        let cached = self.connections.borrow().get(&to).cloned();
        if let Some(sender) = cached {
            if let Ok(sender) = sender.ready().await {
                return Ok(sender);
            }
            self.connections.borrow_mut().remove(&to);
        }
        let sender = self.connect(to).await?;
        sender.ready().await.map_err(|_| PeerError::NotConnected)
    }

    async fn connect(&self, to: SocketAddr) -> Result<SendRequest<Bytes>, PeerError> {
        let stream = open_stream(to).await.map_err(|_| PeerError::NotConnected)?;
        let mut builder = h2::client::Builder::new();
        builder.initial_connection_window_size(self.connection_window);
        let handshake = builder.handshake(stream.compat()).await;
        let (sender, connection) = handshake.map_err(|_| PeerError::NotConnected)?;
        let drive = async move {
            // Calls on the connection report its errors.
            let _ = connection.await;
        };
        self.executor.spawn(drive).detach();
        self.connections.borrow_mut().insert(to, sender.clone());
        Ok(sender)
    }
}

/// Sends a frame and waits for the head of the response.
async fn send_frame(
    mut sender: SendRequest<Bytes>,
    frame: Vec<u8>,
) -> Result<Response<RecvStream>, PeerError> {
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

/// Reads the frame of a reply. Returns it with the bytes that follow it, if any.
async fn read_streamed(
    response: Response<RecvStream>,
) -> Result<(Vec<u8>, Option<PeerBody>), PeerError> {
    let length = response.headers().get(FRAME_LENGTH_HEADER);
    let length = length.and_then(|length| length.to_str().ok()?.parse::<usize>().ok());
    let mut stream = response.into_body();
    let Some(length) = length else {
        let frame = read_body(stream, &REPLY_TIMEOUTS).await?;
        return Ok((frame, None));
    };
    let mut read = Vec::new();
    while read.len() < length {
        let chunk = stream.data().await.ok_or(PeerError::Disconnected)?;
        let chunk = chunk.map_err(|_| PeerError::Disconnected)?;
        stream
            .flow_control()
            .release_capacity(chunk.len())
            .map_err(|_| PeerError::Disconnected)?;
        read.extend_from_slice(&chunk);
        if read.len() > FRAME_LIMIT {
            return Err(PeerError::Reply(FrameError::TooLarge));
        }
    }
    let first = Bytes::from(read.split_off(length));
    Ok((read, Some(PeerBody::new(stream, first))))
}
