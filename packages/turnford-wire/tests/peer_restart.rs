//! The first call to a peer that restarted since the last call succeeds on a new connection.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Timer;
use async_net::TcpListener;
use bytes::Bytes;
use http::Response;
use tokio_util::compat::FuturesAsyncReadCompatExt;
use turnford_wire::accept_peers;
use turnford_wire::encode_frame;
use turnford_wire::CancelPolicy;
use turnford_wire::PeerClient;
use turnford_wire::WorkReply;
use turnford_wire::WorkRequest;

const TIMEOUT: Duration = Duration::from_secs(5);

/// Accepts one connection, answers one call, closes the connection and returns the listener.
async fn answer_once(listener: TcpListener) -> TcpListener {
    let (stream, _) = listener.accept().await.expect("a connection");
    let handshake = h2::server::handshake(stream.compat()).await;
    let mut connection = handshake.expect("a peer");
    let accepted = connection.accept().await.expect("a call");
    let (_, mut respond) = accepted.expect("a sound call");
    let mut body = respond
        .send_response(Response::new(()), false)
        .expect("an open call");
    let frame = encode_frame(&WorkReply::Ack).expect("a frame");
    body.send_data(Bytes::from(frame), true)
        .expect("an open call");
    // Polling the connection for another call flushes the response.
    let sent = async {
        Timer::after(Duration::from_millis(50)).await;
    };
    let next = async {
        connection.accept().await;
    };
    futures_lite::future::or(sent, next).await;
    listener
}

#[test]
fn call_after_restart() {
    let executor = Rc::new(LocalExecutor::new());
    let client = PeerClient::new(executor.clone());
    async_io::block_on(executor.run(async {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = TcpListener::bind(any).await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let old = executor.spawn(answer_once(listener));
        let call = || client.call::<_, WorkReply>(address, &WorkRequest::Probe, TIMEOUT);
        assert_eq!(call().await, Ok(WorkReply::Ack));
        let listener = old.await;
        // Wait until the client sees the old connection close.
        Timer::after(Duration::from_millis(50)).await;
        let handler = |_: WorkRequest| async { WorkReply::Ack };
        let refusal = || WorkReply::Refused;
        let policy = CancelPolicy::Drop;
        let accept = accept_peers(listener, executor.clone(), policy, refusal, handler);
        executor.spawn(accept).detach();
        assert_eq!(call().await, Ok(WorkReply::Ack));
    }));
}
