//! Work for a disconnected client ends at its target.

mod common;

use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use common::wait_until;
use common::RouteSite;
use common::ENGINE;
use common::STAGE;
use common::STAGED;
use turnford_standin::RunKind;
use turnford_standin::TargetRole;

/// A stage whose call goes on for some time after its client has disconnected.
const LONG_STAGE: TargetRole = TargetRole::Stage {
    call_overhead: Duration::from_millis(1000),
    piece_time: Duration::from_millis(1),
};

/// Time after which nothing of a request may start any more. It covers the rest of the running
/// call.
const QUIET_TIME: Duration = Duration::from_millis(2500);

/// Sends a request with stages and leaves its connection open.
fn send_staged(site: &RouteSite, node: usize, attempt: &str) -> TcpStream {
    let mut stream = TcpStream::connect(site.nodes[node].settings.listen).expect("a connection");
    let mut call = format!(
        "POST /chat/ HTTP/1.1\r\nhost: site.example\r\nauthorization: Bearer key-skagen\r\n\
         x-turnford-attempt-id: {attempt}\r\nx-turnford-deadline-ms: 8000\r\ncontent-length: 0\r\n"
    );
    for (name, value) in STAGED {
        call += &format!("{name}: {value}\r\n");
    }
    call += "\r\n";
    stream.write_all(call.as_bytes()).expect("sent");
    stream
}

fn pieces_at(site: &RouteSite, target: &str, attempt: &str) -> usize {
    let runs = site.journal.runs_of(attempt).into_iter();
    let pieces = runs.filter(|run| matches!(run.kind, RunKind::Piece { .. }));
    pieces.filter(|run| run.target == target).count()
}

#[test]
fn stages_end() {
    // The first stage is running when the client disconnects: nothing after it starts.
    let mut site = RouteSite::new();
    let kort = site.target("k1", "kort", LONG_STAGE);
    site.target("e1", "ejer", STAGE);
    site.target("s1", "sprog", ENGINE);
    let node = site.node("one");
    let stream = send_staged(&site, node, "a1");
    wait_until("the first stage runs", || kort.piece_calls() > 0);
    drop(stream);
    std::thread::sleep(QUIET_TIME);
    assert_eq!(pieces_at(&site, "e1", "a1"), 0, "no second stage");
    assert!(site.journal.requests("a1").is_empty(), "no request");
}

#[test]
fn held_pieces_end() {
    // The pieces are queued behind another request's when their client disconnects: they never run.
    let mut site = RouteSite::new();
    let kort = site.target("k1", "kort", LONG_STAGE);
    site.target("e1", "ejer", STAGE);
    site.target("s1", "sprog", ENGINE);
    let nodes = [site.node("one"), site.node("two")];
    site.settle();
    let _first = send_staged(&site, nodes[0], "a0");
    wait_until("the target is at work", || kort.piece_calls() > 0);
    let leaving = nodes.map(|node| send_staged(&site, node, &format!("a{}", node + 1)));
    std::thread::sleep(Duration::from_millis(150));
    drop(leaving);
    std::thread::sleep(QUIET_TIME);
    for attempt in ["a1", "a2"] {
        assert_eq!(
            pieces_at(&site, "k1", attempt),
            0,
            "{attempt} never started"
        );
    }
    assert!(
        pieces_at(&site, "e1", "a0") > 0,
        "the first request went on"
    );
}

#[test]
fn stream_ends() {
    let mut site = RouteSite::new();
    let endless = TargetRole::Engine {
        first_event: Duration::from_millis(5),
        event_gap: Duration::from_millis(20),
        events: 100_000,
    };
    site.target("s1", "sprog", endless);
    let node = site.node("one");
    let mut stream = TcpStream::connect(site.nodes[node].settings.listen).expect("a connection");
    let call = "POST /draft/ HTTP/1.1\r\nhost: site.example\r\nauthorization: Bearer key-skagen\r\n\
                x-turnford-attempt-id: a1\r\nx-turnford-deadline-ms: 8000\r\ncontent-length: 0\r\n\r\n";
    stream.write_all(call.as_bytes()).expect("sent");
    wait_until("the request runs", || site.journal.runs_of("a1").len() == 1);
    wait_until("it is counted", || {
        site.metrics(node).contains("turnford_running 1\n")
    });
    drop(stream);
    wait_until("the node cancels it", || {
        site.metrics(node).contains("turnford_running 0\n")
    });
    let metrics = site.metrics(node);
    assert!(metrics.contains(r#"code="204""#), "{metrics}");
}
