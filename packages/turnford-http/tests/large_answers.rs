//! A large response is read as long as data keeps arriving.

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

/// Timeouts with a short time for the response to begin.
const TIMEOUTS: ResponseTimeouts = ResponseTimeouts::new(Duration::from_millis(300));

/// Size of a large response, in bytes.
const RESPONSE_SIZE: usize = 300_000;

/// Bandwidth of the slow link, in bytes per second: a large response takes 1.5 s.
const LINK_RATE: u32 = 200_000;

/// Serves large responses behind a proxy and requests one through it.
fn fetch_through(disturb: impl FnOnce(LinkProxy)) -> Result<BufferedResponse, HttpError> {
    let executor = start_threads("standin", 2);
    let listener = bind_listener(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port");
    let address = listener.local_addr().expect("an address");
    let serve = async move {
        while let Ok((stream, _)) = listener.accept().await {
            let response = |_| async {
                let mut response = HttpResponse::new(StatusCode::OK);
                response.set_body(vec![b'a'; RESPONSE_SIZE]);
                Some(response)
            };
            serve_connection(stream, 1024, response).await;
        }
    };
    executor.spawn(serve).detach();
    let link = LinkProxy::start(&executor, address).expect("a port");
    link.set(LinkState::Throttled(LINK_RATE));
    let to = link.address;
    disturb(link);
    let request = HttpClient::request(Method::GET, to, "/list").expect("a path");
    let client = HttpClient::new();
    async_io::block_on(client.fetch(to, request, &TIMEOUTS))
}

#[test]
fn slow_fetch() {
    let started = Instant::now();
    let response = fetch_through(|_| {}).expect("a response");
    assert_eq!(response.body.len(), RESPONSE_SIZE);
    assert!(
        started.elapsed() > TIMEOUTS.first_byte,
        "the link should be slow"
    );
}

#[test]
fn stalled_fetch() {
    let started = Instant::now();
    let response = fetch_through(|link| {
        std::thread::spawn(move || {
            std::thread::sleep(Duration::from_millis(600));
            link.set(LinkState::Stalled);
        });
    });
    assert_eq!(response.err(), Some(HttpError::TimeoutAfterSend));
    assert!(
        started.elapsed() < Duration::from_secs(3),
        "a stalled response should be abandoned early"
    );
}
