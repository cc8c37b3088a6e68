//! A target answers with bytes that have no end, inside a body, and stops two nodes with all their requests.

#[path = "../standin-2.rs"]
#[allow(dead_code)]
mod standin;

use std::io::BufReader;
use std::io::Write;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::exit;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use standin::Message;
use standin::Node;
use standin::Platform;
use standin::Record;
use standin::Store;

/// Timeout of both routes.
const ROUTE_TIMEOUT: Duration = Duration::from_millis(600);

/// Time after the timeout at which a request must have its final answer.
const ANSWER_MARGIN: Duration = Duration::from_millis(500);

/// Time that clients wait.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(3000);

/// Clients of each route, and the pause between two requests of one.
const CLIENTS: usize = 6;
const PAUSE: Duration = Duration::from_millis(400);

/// Time before the trouble begins, and after that.
const CALM: Duration = Duration::from_secs(4);
const TROUBLE: Duration = Duration::from_secs(8);

/// Requests without a final answer that break the rule, if they are over a quarter.
const MAX_UNANSWERED: usize = 8;

/// What an answer in trouble begins with, before zeros without end: a head and a whole chunk.
const TROUBLED_START: &str = "Transfer-Encoding: chunked\r\n\r\n8\r\npart one\r\n";

struct Outcome {
    route: &'static str,
    sent: f64,
    /// Time from the last byte of the request to its end.
    time: Duration,
    end: String,
}

/// A request's body of 200 bytes, made by a target.
fn target_answer(message: &Message, target: &str) -> Vec<u8> {
    let attempt = message
        .header("x-turnford-attempt-id")
        .unwrap_or("")
        .to_owned();
    let stamp = format!("{target}.{attempt}");
    let headers = [
        ("X-Turnford-Attempt-Id", attempt.as_str()),
        ("X-Turnford-Server-Stamp", &stamp),
        ("X-Turnford-Server-Load", "1,0,6"),
    ];
    standin::response("200 OK", &headers, &[b'r'; 200])
}

/// Serves a target. While `is_troubled`, each request receives an answer that goes on without end.
fn serve_target(stream: TcpStream, target: &str, is_troubled: &AtomicBool, record: &Record) {
    let mut writer = stream.try_clone().expect("a stream");
    let mut reader = BufReader::new(stream);
    while let Ok(Some(message)) = standin::read_message(&mut reader) {
        let Some(attempt) = message.header("x-turnford-attempt-id") else {
            // A health check or a status report.
            if writer
                .write_all(&standin::response("200 OK", &[], b"{}"))
                .is_err()
            {
                return;
            }
            continue;
        };
        if !is_troubled.load(Ordering::SeqCst) {
            record.line(&format!("target {target} ran {attempt}"));
            std::thread::sleep(Duration::from_millis(15));
            if writer.write_all(&target_answer(&message, target)).is_err() {
                return;
            }
            continue;
        }
        record.line(&format!(
            "target {target} begins an answer without end to {attempt}"
        ));
        let start = format!(
            "HTTP/1.1 200 OK\r\nX-Turnford-Attempt-Id: {attempt}\r\nX-Turnford-Server-Stamp: {target}.{attempt}\r\n{TROUBLED_START}"
        );
        let mut result = writer.write_all(start.as_bytes());
        let zeros = [b'0'; 64 * 1024];
        while result.is_ok() {
            result = writer.write_all(&zeros);
        }
        record.line(&format!(
            "target {target}: its caller closed the connection of {attempt}"
        ));
        return;
    }
}

/// Sends one request after the other, on a kept connection where there is one.
fn run_client(
    client: usize,
    route: &'static str,
    platform: &Platform,
    until: Instant,
    record: &Record,
    outcomes: &Mutex<Vec<Outcome>>,
) {
    let mut kept: Option<(usize, TcpStream)> = None;
    let mut number = 0;
    while Instant::now() < until {
        number += 1;
        let attempt = format!("{route}{client:02}{number:06}");
        let opened = kept.take().or_else(|| {
            let node = platform.choose(client + number);
            let stream =
                TcpStream::connect_timeout(&platform.address(node), Duration::from_secs(1));
            stream.ok().map(|stream| (node, stream))
        });
        let Some((node, mut stream)) = opened else {
            record.line(&format!("client {attempt}: no connection"));
            std::thread::sleep(PAUSE);
            continue;
        };
        let request = format!(
            "POST /{route}/x HTTP/1.1\r\nHost: api.example\r\nX-Turnford-Attempt-Id: {attempt}\r\nX-Turnford-Deadline-Ms: {}\r\nContent-Length: 0\r\n\r\n",
            CLIENT_TIMEOUT.as_millis()
        );
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(CLIENT_TIMEOUT));
        let written = stream.write_all(request.as_bytes());
        let sent = record.seconds();
        record.line(&format!("client {attempt} sent to node {node}"));
        let sent_at = Instant::now();
        let mut reader = BufReader::new(stream);
        let answer = written.and_then(|()| standin::read_message(&mut reader));
        let end = match &answer {
            Ok(Some(answer)) => answer.status().to_string(),
            Ok(None) => "closed".to_owned(),
            Err(error) => format!("{:?}", error.kind()),
        };
        let time = sent_at.elapsed();
        record.line(&format!(
            "client {attempt}: {end} after {} ms",
            time.as_millis()
        ));
        if matches!(answer, Ok(Some(answer)) if answer.header("connection").is_none()) {
            kept = Some((node, reader.into_inner()));
        }
        outcomes.lock().unwrap().push(Outcome {
            route,
            sent,
            time,
            end,
        });
        std::thread::sleep(PAUSE);
    }
}

fn config() -> String {
    let route = |name: &str, service: &str| {
        format!(
            r#"{{"name":"r-{name}","host":"api.example","path_prefix":"/{name}/","kind":"unsafe","timeout_ms":{},"target_latency_ms":100,"priority":2,"service":"{service}","max_attempts":2,"stages":[],"allow_anonymous":true}}"#,
            ROUTE_TIMEOUT.as_millis()
        )
    };
    let service = |name: &str| {
        format!(
            r#"{{"name":"{name}","health_check_path":"/health","connection_limit":96,"protocol":"h1","tls":false}}"#
        )
    };
    format!(
        r#"{{"version":3,"routes":[{},{}],"services":[{},{}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":5000,"idle_timeout_ms":15000}}}}"#,
        route("pay", "booking"),
        route("map", "maps"),
        service("booking"),
        service("maps")
    )
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let root = PathBuf::from(arguments.next().expect("the project's folder"));
    let folder = PathBuf::from(arguments.next().expect("the folder of the case"));
    let temporary = PathBuf::from(arguments.next().expect("a temporary folder"));
    let has_trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let record = Record::create(&folder.join("record.txt"));
    let (store, store_address) = Store::start();
    store.put("config", "main", &config());
    let is_troubled = Arc::new(AtomicBool::new(false));
    let never = Arc::new(AtomicBool::new(false));
    for (service, count) in [("booking", 3), ("maps", 2)] {
        for index in 1..=count {
            let name = format!("i-{service}-{index}");
            let troubled = if name == "i-booking-1" {
                &is_troubled
            } else {
                &never
            };
            let (target, troubled, shared) = (name.clone(), troubled.clone(), record.clone());
            let address =
                standin::serve(move |stream| serve_target(stream, &target, &troubled, &shared));
            store.put(
                "servers",
                &name,
                &standin::target_entry(service, address, 6, "v1", "ready"),
            );
        }
    }
    let mut nodes = Node::prepare(&root, &temporary, store_address, &["a", "b"]);
    nodes.iter_mut().for_each(Node::start);
    if !nodes.iter().all(Node::wait_ready) {
        record.line("a node did not become ready");
        drop(nodes);
        exit(2);
    }
    let platform = Platform::start(&nodes);
    record.line("both nodes are ready");
    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let until = Instant::now() + CALM + TROUBLE;
    let running = Arc::new(AtomicU32::new(0));
    for client in 0..CLIENTS {
        for route in ["pay", "map"] {
            let (platform, record, outcomes) = (platform.clone(), record.clone(), outcomes.clone());
            let running = running.clone();
            running.fetch_add(1, Ordering::SeqCst);
            std::thread::spawn(move || {
                run_client(client, route, &platform, until, &record, &outcomes);
                running.fetch_sub(1, Ordering::SeqCst);
            });
        }
    }
    std::thread::sleep(CALM);
    let begin = record.seconds();
    if has_trouble {
        record.line("target i-booking-1 is in trouble from now on");
        is_troubled.store(true, Ordering::SeqCst);
    }
    while running.load(Ordering::SeqCst) > 0 {
        std::thread::sleep(Duration::from_millis(50));
    }
    let outcomes = outcomes.lock().unwrap();
    let mut total_unanswered = 0;
    let mut total = 0;
    for route in ["pay", "map"] {
        for (phase, is_late) in [("before", false), ("after", true)] {
            let of_phase = outcomes
                .iter()
                .filter(|outcome| outcome.route == route && (outcome.sent >= begin) == is_late);
            let of_phase: Vec<&Outcome> = of_phase.collect();
            let served = of_phase
                .iter()
                .filter(|outcome| outcome.end == "200")
                .count();
            let late = of_phase
                .iter()
                .filter(|outcome| outcome.time > ROUTE_TIMEOUT + ANSWER_MARGIN)
                .count();
            record.line(&format!(
                "route {route}, {phase} the moment of the trouble: {} requests, {served} served, {late} without a final answer {} ms after their sending",
                of_phase.len(),
                (ROUTE_TIMEOUT + ANSWER_MARGIN).as_millis()
            ));
            if is_late {
                total_unanswered += late;
                total += of_phase.len();
            }
        }
    }
    for node in &nodes {
        record.line(&format!(
            "{} answers the readiness check with 200: {}",
            node.name,
            node.is_ready()
        ));
    }
    let ended = nodes
        .iter_mut()
        .filter_map(|node| (!node.is_running()).then_some(node.name.clone()));
    let ended: Vec<String> = ended.collect();
    record.line(&format!("nodes that ended by themselves: {}", ended.len()));
    drop(nodes);
    let is_broken = total_unanswered >= MAX_UNANSWERED && total_unanswered * 4 > total;
    let verdict = if is_broken { "broken" } else { "held" };
    record.line(&format!(
        "CONFIG {verdict}: {total_unanswered} of {total} requests had no final answer in time"
    ));
    println!(
        "CONFIG {verdict}: {total_unanswered} of {total} requests had no final answer in time"
    );
    exit(i32::from(is_broken));
}
