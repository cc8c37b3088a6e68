//! Work for a client that left ends at its target.

mod common;

use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use common::wait_until;
use common::RouteSite;
use turnford_standin::TargetRole;

#[test]
fn stream_ends() {
    let mut site = RouteSite::new();
    let endless = TargetRole::Engine {
        first: Duration::from_millis(5),
        pause: Duration::from_millis(20),
        events: 100_000,
    };
    site.target("s1", "sprog", endless);
    let node = site.node("one");
    let mut stream = TcpStream::connect(site.nodes[node].settings.listen).expect("a connection");
    let call = "POST /draft/ HTTP/1.1\r\nhost: site.example\r\nauthorization: Bearer key-skagen\r\n\
                x-turnford-attempt-id: a1\r\nx-turnford-deadline-ms: 8000\r\ncontent-length: 0\r\n\r\n";
    stream.write_all(call.as_bytes()).expect("sent");
    wait_until("the request runs", || site.journal.of("a1").len() == 1);
    wait_until("it is counted", || {
        site.metrics(node).contains("turnford_running 1\n")
    });
    drop(stream);
    wait_until("the node lets it go", || {
        site.metrics(node).contains("turnford_running 0\n")
    });
    let metrics = site.metrics(node);
    assert!(metrics.contains(r#"code="204""#), "{metrics}");
}
