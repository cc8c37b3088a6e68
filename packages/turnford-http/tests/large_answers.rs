//! A large answer is read for as long as it keeps coming.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use http::Method;
use http::StatusCode;
use turnford_http::bind_listener;
use turnford_http::serve_connection;
use turnford_http::BufferedResponse;
use turnford_http::HttpClient;
use turnford_http::HttpError;
use turnford_http::HttpResponse;
use turnford_http::ResponseTimeouts;
use turnford_standin::start_threads;
use turnford_standin::LinkProxy;
use turnford_standin::LinkState;

/// Time in which an answer has to begin.
const LIMIT: ResponseTimeouts = ResponseTimeouts::new(Duration::from_millis(300));

/// Bytes of a large answer.
const SIZE: usize = 300_000;

/// What the slow link carries, in bytes a second: a large answer takes 1.5 s.
const RATE: u32 = 200_000;

/// Serves large answers behind a proxy and asks for one.
fn fetch_through(harm: impl FnOnce(LinkProxy)) -> Result<BufferedResponse, HttpError> {
    let executor = start_threads("standin", 2);
    let listener = bind_listener(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port");
    let address = listener.local_addr().expect("an address");
    let serve = async move {
        while let Ok((stream, _)) = listener.accept().await {
            let answer = |_| async {
                let mut answer = HttpResponse::new(StatusCode::OK);
                answer.set_body(vec![b'a'; SIZE]);
                Some(answer)
            };
            serve_connection(stream, 1024, answer).await;
        }
    };
    executor.spawn(serve).detach();
    let link = LinkProxy::start(&executor, address).expect("a port");
    link.set(LinkState::Throttled(RATE));
    let to = link.address;
    harm(link);
    let request = HttpClient::request(Method::GET, to, "/list").expect("a path");
    let client = HttpClient::new();
    async_io::block_on(client.fetch(to, request, &LIMIT))
}

#[test]
fn whole_fetch() {
    let begun = Instant::now();
    let answer = fetch_through(|_| {}).expect("an answer");
    assert_eq!(answer.body.len(), SIZE);
    assert!(begun.elapsed() > LIMIT.first_byte, "the link is slow");
}

#[test]
fn stalled_fetch() {
    let begun = Instant::now();
    let answer = fetch_through(|link| {
        std::thread::spawn(move || {
            std::thread::sleep(Duration::from_millis(600));
            link.set(LinkState::Stalled);
        });
    });
    assert_eq!(answer.err(), Some(HttpError::TimeoutAfterSend));
    assert!(begun.elapsed() < Duration::from_secs(3), "given up soon");
}
