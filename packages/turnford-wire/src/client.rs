//! The calling side: one `h2` connection to each peer.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Timer;
use async_net::TcpStream;
use bincode::Decode;
use bincode::Encode;
use bytes::Bytes;
use futures_lite::FutureExt;
use h2::client::SendRequest;
use http::Method;
use http::Request;
use tokio_util::compat::FuturesAsyncReadCompatExt;

use crate::decode_frame;
use crate::encode_frame;
use crate::server::read_body;
use crate::FrameFault;

/// Why a call to a peer failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerFault {
    /// No connection, or it broke.
    Broken,
    /// No whole answer in time, but so many bytes of it.
    Late(usize),
    /// The message or its answer was not understood.
    Frame(FrameFault),
}

impl fmt::Display for PeerFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PeerFault::Broken => f.write_str("connection broken"),
            PeerFault::Late(received) => write!(f, "no answer in time, received={received}"),
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
}

impl PeerClient {
    /// Makes a client whose connections are driven by an executor.
    pub fn new(executor: Rc<LocalExecutor<'static>>) -> Self {
        Self {
            executor,
            connections: RefCell::new(HashMap::new()),
            sent_bytes: RefCell::new(0),
        }
    }

    /// Returns the bytes of all frames sent and received so far, as the codec counts them.
    pub fn frame_bytes(&self) -> u64 {
        *self.sent_bytes.borrow()
    }

    /// Makes a call.
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
        let received = Cell::new(0);
        let exchange = self.exchange(to, frame, &received);
        let late = async {
            Timer::after(limit).await;
            Err(PeerFault::Late(received.get()))
        };
        let answer = exchange.or(late).await;
        if matches!(answer, Err(PeerFault::Broken | PeerFault::Late(_))) {
            // A connection that failed once is made anew for the next call.
            self.connections.borrow_mut().remove(&to);
        }
        let answer = answer?;
        *self.sent_bytes.borrow_mut() += answer.len() as u64;
        decode_frame(&answer).map_err(PeerFault::Frame)
    }

    /// Makes an exchange, and counts the bytes of its answer as they come.
    async fn exchange(
        &self,
        to: SocketAddr,
        frame: Vec<u8>,
        received: &Cell<usize>,
    ) -> Result<Vec<u8>, PeerFault> {
        let mut sender = self.ready_connection(to).await?;
        let request = Request::builder().method(Method::POST).uri("http://peer/");
        let request = request.body(()).map_err(|_| PeerFault::Broken)?;
        let sent = sender
            .send_request(request, false)
            .map_err(|_| PeerFault::Broken)?;
        let (response, mut body) = sent;
        body.send_data(Bytes::from(frame), true)
            .map_err(|_| PeerFault::Broken)?;
        let response = response.await.map_err(|_| PeerFault::Broken)?;
        read_body(response.into_body(), received)
            .await
            .ok_or(PeerFault::Broken)
    }

    /// Returns a connection that takes a call now. A kept one that has ended meanwhile, as with a peer
    /// that was restarted, is made anew: nothing was sent on it.
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
        let stream = TcpStream::connect(to)
            .await
            .map_err(|_| PeerFault::Broken)?;
        stream.set_nodelay(true).map_err(|_| PeerFault::Broken)?;
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
