//! A response is read as long as data keeps arriving and abandoned once it stalls.
//!
//! Guards against a timeout for the whole response. It was 0.3 s beyond the wait of the request, so a node on
//! a 10 Mbit/s link did not receive a configuration of 0.85 MB, which takes 0.7 s, and logged for ten seconds
//! that the peer did not answer. In one run 487 of 500 abandoned responses, 48 MB in total, had begun to
//! arrive.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use async_executor::LocalExecutor;
use async_io::Timer;
use async_net::TcpListener;
use turnford_standin::start_threads;
use turnford_standin::LinkProxy;
use turnford_standin::LinkState;
use turnford_wire::accept_peers;
use turnford_wire::CancelPolicy;
use turnford_wire::PeerClient;
use turnford_wire::PeerError;
use turnford_wire::WorkReply;
use turnford_wire::WorkRequest;

/// Time in which a response has to begin.
const FIRST_BYTE_TIMEOUT: Duration = Duration::from_millis(300);

/// Number of values in a large response; each is encoded in five bytes, 300 KB in total.
const VALUE_COUNT: usize = 60_000;

/// Bandwidth of the slow link, in bytes per second: a large response takes 1.5 s.
const LINK_RATE: u32 = 200_000;

/// Serves large responses behind a proxy and makes one call through it.
fn call_through(disturb: impl FnOnce(LinkProxy) + 'static) -> Result<WorkReply, PeerError> {
    let threads = start_threads("proxy", 1);
    let executor = Rc::new(LocalExecutor::new());
    let client = PeerClient::new(executor.clone());
    async_io::block_on(executor.run(async {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = TcpListener::bind(any).await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let handler = |_: WorkRequest| async { large_response() };
        let refusal = || WorkReply::Refused;
        let policy = CancelPolicy::Drop;
        let accept = accept_peers(listener, executor.clone(), policy, refusal, handler);
        executor.spawn(accept).detach();
        let link = LinkProxy::start(&threads, address).expect("a free port");
        link.set(LinkState::Throttled(LINK_RATE));
        let to = link.address;
        disturb(link);
        client
            .call(to, &WorkRequest::Probe, FIRST_BYTE_TIMEOUT)
            .await
    }))
}

fn large_response() -> WorkReply {
    WorkReply::Admitted(1, vec![u32::MAX; VALUE_COUNT])
}

#[test]
fn slow_response() {
    let started = Instant::now();
    assert_eq!(call_through(|_| {}), Ok(large_response()));
    assert!(
        started.elapsed() > FIRST_BYTE_TIMEOUT,
        "the link should be slow"
    );
}

#[test]
fn stalled_response() {
    let started = Instant::now();
    let response = call_through(|link| {
        // Part of the response passes before the link goes silent.
        std::thread::spawn(move || {
            async_io::block_on(Timer::after(Duration::from_millis(600)));
            link.set(LinkState::Stalled);
        });
    });
    assert!(response.is_err());
    assert!(
        started.elapsed() < Duration::from_secs(3),
        "a stalled response should be abandoned early"
    );
}
