//! Guards against connections that are used on although a response to another call arrived on them.

mod common;

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;

use common::call;
use turnford_target::TargetClient;
use turnford_target::TargetError;

/// Responds to every request with the given bytes, and counts the connections.
fn serve_repeatedly(response: &str) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let count = Arc::new(AtomicUsize::new(0));
    let connections = count.clone();
    let response = response.to_owned();
    std::thread::spawn(move || {
        while let Ok((mut stream, _)) = listener.accept() {
            connections.fetch_add(1, Ordering::SeqCst);
            let response = response.clone();
            std::thread::spawn(move || {
                let mut request = [0; 4096];
                while matches!(stream.read(&mut request), Ok(length) if length > 0) {
                    if stream.write_all(response.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    (address, count)
}

fn response(status: u16, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status} -\r\ncontent-length: {length}\r\n\r\n{body}")
}

/// Returns responses that do not name the call's attempt.
fn foreign_responses() -> Vec<String> {
    let (_, other) = call();
    vec![
        response(
            200,
            &format!("{{\"attempt\":\"{other}\",\"output\":\"x\"}}"),
        ),
        response(
            503,
            &format!("{{\"attempt\":\"{other}\",\"refused\":\"full\"}}"),
        ),
        response(503, "{\"refused\":\"full\"}"),
        response(500, ""),
        response(200, "{}"),
    ]
}

/// Makes two calls one after the other and returns the first one's error and the number of connections.
async fn call_twice<T>(
    response: &str,
    run: impl AsyncFn(&TargetClient, SocketAddr) -> Result<T, TargetError>,
) -> (Option<TargetError>, usize) {
    let (address, count) = serve_repeatedly(response);
    let client = TargetClient::new();
    let first = run(&client, address).await;
    let second = run(&client, address).await;
    assert_eq!(first.is_ok(), second.is_ok());
    (first.err(), count.load(Ordering::SeqCst))
}

#[test]
fn foreign_calls() {
    let (call, _) = call();
    for response in foreign_responses() {
        let run = async |client: &TargetClient, to| client.run(to, &call).await;
        let (error, connections) = async_io::block_on(call_twice(&response, run));
        assert!(error.is_some(), "{response}");
        assert_eq!(connections, 2, "{error:?}: {response}");
    }
}

#[test]
fn foreign_streams() {
    let (call, _) = call();
    for response in foreign_responses() {
        let run = async |client: &TargetClient, to| {
            let mut stream = client.stream(to, &call).await?;
            stream.next().await
        };
        let (error, connections) = async_io::block_on(call_twice(&response, run));
        assert!(error.is_some(), "{response}");
        assert_eq!(connections, 2, "{error:?}: {response}");
    }
}

#[test]
fn own_calls() {
    let (call, _) = call();
    let own = call.attempt;
    for response in [
        response(200, &format!("{{\"attempt\":\"{own}\",\"output\":\"x\"}}")),
        response(
            503,
            &format!("{{\"attempt\":\"{own}\",\"refused\":\"full\"}}"),
        ),
    ] {
        let run = async |client: &TargetClient, to| client.run(to, &call).await;
        let (_, connections) = async_io::block_on(call_twice(&response, run));
        assert_eq!(connections, 1, "{response}");
    }
}

#[test]
fn named_reports() {
    let (_, other) = call();
    let load = "\"running\":0,\"queued\":0,\"age_ms\":0,\"leaving\":false";
    let named = response(200, &format!("{{\"attempt\":\"{other}\",{load}}}"));
    let run = async |client: &TargetClient, to| client.report(to).await;
    let (error, connections) = async_io::block_on(call_twice(&named, run));
    assert_eq!(
        (error, connections),
        (Some(TargetError::AttemptMismatch), 2)
    );
    let own = response(200, &format!("{{{load}}}"));
    let (error, connections) = async_io::block_on(call_twice(&own, run));
    assert_eq!((error, connections), (None, 1));
}

#[test]
fn named_orders() {
    let (_, other) = call();
    let run = async |client: &TargetClient, to| {
        client
            .order(to, 1, "load", "model", common::CALL_TIMEOUT)
            .await
    };
    for status in [202, 409] {
        let body = format!("{{\"attempt\":\"{other}\",\"refused\":\"full\"}}");
        let named = response(status, &body);
        let (error, connections) = async_io::block_on(call_twice(&named, run));
        assert_eq!(
            (error, connections),
            (Some(TargetError::AttemptMismatch), 2)
        );
    }
    let (error, connections) = async_io::block_on(call_twice(&response(202, ""), run));
    assert_eq!((error, connections), (None, 1));
}
