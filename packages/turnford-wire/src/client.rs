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
use turnford_http::AnswerLimit;
use turnford_http::ArrivalCount;

use crate::body::read_body;
use crate::decode_frame;
use crate::encode_frame;
use crate::FrameFault;

/// Why a call to a peer failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerFault {
    /// No connection, or it broke.
    Broken,
    /// No answer in time.
    Late,
    /// The answer stopped coming after so many bytes.
    Stalled(usize),
    /// The message or its answer was not understood.
    Frame(FrameFault),
}

impl fmt::Display for PeerFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PeerFault::Broken => f.write_str("connection broken"),
            PeerFault::Late => f.write_str("no answer in time"),
            PeerFault::Stalled(received) => {
                write!(f, "the answer stopped coming, received={received}")
            }
            PeerFault::Frame(fault) => write!(f, "{fault}"),
        }
    }
}

impl std::error::Error for PeerFault {}

/// Client of all peers, for one thread.
pub struct PeerClient {
    executor: Rc<LocalExecutor<'static>>,
    connections: RefCell<HashMap<SocketAddr, SendRequest<Bytes>>>,
    sent_bytes: RefCell<u64>,
    arrivals: ArrivalCount,
}

impl PeerClient {
    /// Makes a client whose connections are driven by an executor.
    pub fn new(executor: Rc<LocalExecutor<'static>>) -> Self {
        Self {
            executor,
            connections: RefCell::new(HashMap::new()),
            sent_bytes: RefCell::new(0),
            arrivals: ArrivalCount::default(),
        }
    }

    /// Returns the bytes of all frames sent and received so far, as the codec counts them.
    pub fn frame_bytes(&self) -> u64 {
        *self.sent_bytes.borrow()
    }

    /// Tells whether an answer is arriving.
    pub fn is_receiving(&self) -> bool {
        self.arrivals.is_any()
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
    ) -> Result<R, PeerFault> {
        let frame = encode_frame(request).map_err(PeerFault::Frame)?;
        *self.sent_bytes.borrow_mut() += frame.len() as u64;
        let answer = self.exchange(to, frame, &AnswerLimit::new(limit)).await;
        if answer.is_err() {
            // A connection that failed once is made anew for the next call.
            self.connections.borrow_mut().remove(&to);
        }
        let answer = answer?;
        *self.sent_bytes.borrow_mut() += answer.len() as u64;
        decode_frame(&answer).map_err(PeerFault::Frame)
    }

    async fn exchange(
        &self,
        to: SocketAddr,
        frame: Vec<u8>,
        limit: &AnswerLimit,
    ) -> Result<Vec<u8>, PeerFault> {
        let late = async {
            Timer::after(limit.begin).await;
            Err(PeerFault::Late)
        };
        let response = self.begin_exchange(to, frame).or(late).await?;
        let _arrival = self.arrivals.enter();
        read_body(response.into_body(), limit).await
    }

    /// Sends a call and waits until its answer begins.
    async fn begin_exchange(
        &self,
        to: SocketAddr,
        frame: Vec<u8>,
    ) -> Result<Response<RecvStream>, PeerFault> {
        let mut sender = self.ready_connection(to).await?;
        let request = Request::builder().method(Method::POST).uri("http://peer/");
        let request = request.body(()).map_err(|_| PeerFault::Broken)?;
        let sent = sender
            .send_request(request, false)
            .map_err(|_| PeerFault::Broken)?;
        let (response, mut body) = sent;
        body.send_data(Bytes::from(frame), true)
            .map_err(|_| PeerFault::Broken)?;
        response.await.map_err(|_| PeerFault::Broken)
    }

    /// Returns a connection that takes a call now. A kept one that has ended meanwhile, as with a
    /// peer that was restarted, is made anew: nothing was sent on it.
    async fn ready_connection(&self, to: SocketAddr) -> Result<SendRequest<Bytes>, PeerFault> {
        let kept = self.connections.borrow().get(&to).cloned();
        if let Some(sender) = kept {
            if let Ok(sender) = sender.ready().await {
                return Ok(sender);
            }
            self.connections.borrow_mut().remove(&to);
        }
        let sender = self.connect(to).await?;
        sender.ready().await.map_err(|_| PeerFault::Broken)
    }

    async fn connect(&self, to: SocketAddr) -> Result<SendRequest<Bytes>, PeerFault> {
        let stream = open_stream(to).await.map_err(|_| PeerFault::Broken)?;
        let shaken = h2::client::handshake(stream.compat()).await;
        let (sender, connection) = shaken.map_err(|_| PeerFault::Broken)?;
        let drive = async move {
            // Its end shows in the calls that use it.
            let _ = connection.await;
        };
        self.executor.spawn(drive).detach();
        self.connections.borrow_mut().insert(to, sender.clone());
        Ok(sender)
    }
}
