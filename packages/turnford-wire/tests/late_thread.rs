//! A thread that runs late does not take replies that have arrived in time for missing.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Timer;
use async_net::TcpListener;
use futures_lite::future;
use turnford_wire::accept_peers;
use turnford_wire::CancelPolicy;
use turnford_wire::PeerClient;
use turnford_wire::PeerError;
use turnford_wire::WorkReply;
use turnford_wire::WorkRequest;

/// Timeout of a call, as for requests to place.
const TIMEOUT: Duration = Duration::from_millis(120);

/// Time for which other tasks occupy the thread in each round.
const ROUND_TIME: Duration = Duration::from_millis(150);

/// Number of calls of a test.
const CALLS: usize = 3;

/// Starts a peer on a thread of its own, which replies at once if `replies` is set, or else never.
fn start_peer(replies: bool) -> SocketAddr {
    let (sender, address) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let executor = Rc::new(LocalExecutor::new());
        let serve = async {
            let any = SocketAddr::from(([127, 0, 0, 1], 0));
            let listener = TcpListener::bind(any).await.expect("a port");
            let bound = listener.local_addr().expect("an address");
            sender.send(bound).expect("a receiver");
            let handler = move |_: WorkRequest| async move {
                if !replies {
                    future::pending::<()>().await;
                }
                WorkReply::Ack
            };
            let refusal = || WorkReply::Refused;
            let policy = CancelPolicy::Drop;
            accept_peers(listener, executor.clone(), policy, refusal, handler).await;
        };
        async_io::block_on(executor.run(serve));
    });
    address.recv().expect("an address")
}

/// Calls a peer several times on a thread that other tasks occupy.
fn call_late(peer: SocketAddr) -> Vec<Result<WorkReply, PeerError>> {
    let executor = Rc::new(LocalExecutor::new());
    let client = PeerClient::new(executor.clone());
    let occupy = async {
        loop {
            std::thread::sleep(ROUND_TIME);
            Timer::after(Duration::from_millis(1)).await;
        }
    };
    executor.spawn(occupy).detach();
    async_io::block_on(executor.run(async {
        let mut replies = Vec::new();
        for _ in 0..CALLS {
            replies.push(client.call(peer, &WorkRequest::Probe, TIMEOUT).await);
        }
        replies
    }))
}

#[test]
fn prompt_replies() {
    let replies = call_late(start_peer(true));
    assert_eq!(replies, vec![Ok(WorkReply::Ack); CALLS]);
}

#[test]
fn silent_peer() {
    let replies = call_late(start_peer(false));
    assert_eq!(replies, vec![Err(PeerError::Timeout); CALLS]);
}
