//! A request crashes each engine that begins to run it, before anything of its answer is sent, and comes again.

#[path = "../standin-2.rs"]
#[allow(dead_code)]
mod standin;

use std::collections::HashMap;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::exit;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use standin::Node;
use standin::Platform;
use standin::Record;
use standin::Store;

/// Body of the request that crashes engines, unless `TROUBLE=0`.
const DEADLY: &str = "draft the season rules of the north shore";

const ENGINES: usize = 6;

/// Time from a request's arrival until the engine begins to run it: its prompt is read.
const PREFILL: Duration = Duration::from_millis(60);

/// Events of a stream, and the pause between two.
const EVENTS: usize = 12;
const EVENT_PAUSE: Duration = Duration::from_millis(80);

/// Time after which a crashed engine is back.
const DOWNTIME: Duration = Duration::from_secs(3);

/// `contact_ms` of the site.
const CONTACT: Duration = Duration::from_millis(3000);

/// Clients of sound requests, and the pause between two of one.
const CLIENTS: usize = 6;
const PAUSE: Duration = Duration::from_millis(300);

/// Pause between two tries of the deadly request, and its number.
const RETRY_PAUSE: Duration = Duration::from_millis(700);
const RETRIES: usize = 40;

/// Times that the request may reach engines later than `contact_ms` after the third crash.
const MAX_LATE: usize = 3;

/// Time after which no further try is sent, so that the case ends within two minutes.
const LAST_TRY: f64 = 100.0;

const CLIENT_TIMEOUT: Duration = Duration::from_millis(8000);

/// Serves requests as an engine, in a process of its own. Its output tells what arrives.
fn run_engine(name: &str, port: u16, born: u64, is_deadly: bool) {
    let listener = TcpListener::bind(("127.0.0.1", port)).expect("the engine's port");
    println!("up");
    // The engine ends with the program that started it.
    std::thread::spawn(|| {
        let _ = std::io::stdin().read(&mut [0]);
        exit(0);
    });
    for stream in listener.incoming().flatten() {
        let _ = stream.set_nodelay(true);
        let name = name.to_owned();
        std::thread::spawn(move || {
            let mut writer = stream.try_clone().expect("a stream");
            let mut reader = BufReader::new(stream);
            while let Ok(Some(message)) = standin::read_message(&mut reader) {
                let written = if message.header("x-turnford-attempt-id").is_some() {
                    answer_request(&message, &name, is_deadly, &mut writer)
                } else {
                    let report = format!(
                        r#"{{"born":{born},"stage":"both","models":[{{"name":"m","version":1,"adapters":[]}}],"busy":false,"call_sequence":0,"waiting_requests":0,"running_requests":0,"kv_cache_used":0,"kv_cache_total":280000,"handles":0}}"#
                    );
                    let headers = [
                        ("Content-Type", "application/json"),
                        ("X-Turnford-Instance-Id", &*name),
                    ];
                    writer.write_all(&standin::response("200 OK", &headers, report.as_bytes()))
                };
                if written.is_err() {
                    return;
                }
            }
        });
    }
}

fn answer_request(
    message: &standin::Message,
    name: &str,
    is_deadly: bool,
    writer: &mut TcpStream,
) -> std::io::Result<()> {
    let attempt = message.header("x-turnford-attempt-id").unwrap_or("");
    if message
        .header("x-turnford-expect-instance")
        .is_some_and(|expected| expected != name)
    {
        let headers = [
            ("X-Turnford-Attempt-Id", attempt),
            ("X-Turnford-Instance-Id", name),
        ];
        return writer.write_all(&standin::response("421 Misdirected Request", &headers, b""));
    }
    println!("arrived {attempt}");
    std::thread::sleep(PREFILL);
    if is_deadly && message.body == DEADLY.as_bytes() {
        println!("crash {attempt}");
        std::process::abort();
    }
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Turnford-Attempt-Id: {attempt}\r\nX-Turnford-Server-Stamp: {name}.{attempt}\r\nX-Turnford-Weight-Versions: 1\r\nX-Turnford-Server-Load: 1,0,128\r\n\r\n"
    );
    writer.write_all(head.as_bytes())?;
    for event in 1..=EVENTS {
        let text = format!("id: {event}\ndata: words of {attempt}\n\n");
        writer.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
        std::thread::sleep(EVENT_PAUSE);
    }
    writer.write_all(b"0\r\n\r\n")
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// What engines received.
#[derive(Default)]
struct Seen {
    /// Moment at which each attempt arrived at an engine.
    arrivals: Vec<(String, Instant)>,
    crashes: Vec<(String, Instant)>,
    children: HashMap<usize, Child>,
    is_over: bool,
    /// Whether an engine could not be started.
    has_failed: bool,
}

/// Runs one engine, and starts it again after each crash.
fn keep_engine(
    index: usize,
    port: u16,
    is_deadly: bool,
    store: &Store,
    record: &Record,
    seen: &Mutex<Seen>,
) {
    let name = format!("i-engine-{}", index + 1);
    loop {
        let born = unix_ms();
        let mut command = Command::new(std::env::current_exe().expect("the program's path"));
        command.args([
            "engine",
            &name,
            &port.to_string(),
            &born.to_string(),
            if is_deadly { "deadly" } else { "sound" },
        ]);
        let child = command
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .stdin(Stdio::piped())
            .spawn();
        let Ok(mut child) = child else {
            // Without its engines the case says nothing.
            record.line(&format!("engine {name} can't be started"));
            seen.lock().unwrap().has_failed = true;
            return;
        };
        let output = BufReader::new(child.stdout.take().expect("an output"));
        {
            let mut seen = seen.lock().unwrap();
            if seen.is_over {
                let _ = child.kill();
                let _ = child.wait();
                return;
            }
            seen.children.insert(index, child);
        }
        for line in output.lines().map_while(Result::ok) {
            record.line(&format!("engine {name}: {line}"));
            if line == "up" {
                let address: SocketAddr = ([127, 0, 0, 1], port).into();
                let entry = standin::target_entry("llm", address, 128, "v1", "ready");
                let entry = entry.replacen('{', &format!("{{\"born\":{born},"), 1);
                store.put("servers", &name, &entry);
                continue;
            }
            let mut seen = seen.lock().unwrap();
            if let Some(attempt) = line.strip_prefix("arrived ") {
                seen.arrivals.push((attempt.to_owned(), Instant::now()));
            } else if let Some(attempt) = line.strip_prefix("crash ") {
                seen.crashes.push((attempt.to_owned(), Instant::now()));
            }
        }
        let child = seen.lock().unwrap().children.remove(&index);
        if let Some(mut child) = child {
            let _ = child.wait();
        }
        if seen.lock().unwrap().is_over {
            return;
        }
        std::thread::sleep(DOWNTIME);
    }
}

/// Sends one request on a new connection. Returns its status, or how it ended.
fn send(
    platform: &Platform,
    node: usize,
    attempt: &str,
    own_segment: u64,
    body: &str,
    record: &Record,
) -> String {
    let request = format!(
        "POST /draft/x HTTP/1.1\r\nHost: api.example\r\nX-Turnford-Attempt-Id: {attempt}\r\nX-Turnford-Model: m\r\nX-Turnford-Token-Counts: 900,36\r\nX-Turnford-Prompt-Prefix: 5c1e07a2:500,{own_segment:x}:400\r\nX-Turnford-Deadline-Ms: {}\r\nContent-Length: {}\r\n\r\n{body}",
        CLIENT_TIMEOUT.as_millis(),
        body.len()
    );
    record.line(&format!("client {attempt} sends to node {node}"));
    let answer = standin::exchange(platform.address(node), request.as_bytes(), CLIENT_TIMEOUT);
    let end = match answer {
        Ok(answer) if answer.status() == 200 => format!("200, {} bytes", answer.body.len()),
        Ok(answer) => format!(
            "{} {}",
            answer.status(),
            String::from_utf8_lossy(&answer.body)
        ),
        Err(error) => format!("{:?}", error.kind()),
    };
    record.line(&format!("client {attempt}: {end}"));
    end
}

fn config() -> &'static str {
    r#"{"version":3,"routes":[{"name":"r-draft","host":"api.example","path_prefix":"/draft/","kind":"streaming","timeout_ms":8000,"target_latency_ms":1600,"target_gap_ms":500,"priority":1,"service":"llm","max_attempts":2,"stages":[],"allow_anonymous":true,"sticky_sessions":true,"resumable":false}],"services":[{"name":"llm","health_check_path":"/health","connection_limit":610,"protocol":"h1","tls":false,"inference_engine":{"slots":128,"kv_cache_tokens":286093,"kv_token_bytes":131072,"link_mbps":130000.0,"moves":true,"backups":true,"stride":3,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":5000,"idle_timeout_ms":15000}}"#
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if arguments[0] == "engine" {
        let port = arguments[2].parse().expect("a port");
        let born = arguments[3].parse().expect("a time");
        run_engine(&arguments[1], port, born, arguments[4] == "deadly");
        return;
    }
    let [root, folder, temporary] = [0, 1, 2].map(|index| PathBuf::from(&arguments[index]));
    let has_trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let record = Record::create(&folder.join("record.txt"));
    let (store, store_address) = Store::start();
    store.put("config", "main", config());
    let seen: Arc<Mutex<Seen>> = Arc::default();
    for index in 0..ENGINES {
        let (store, record, seen, port) = (
            store.clone(),
            record.clone(),
            seen.clone(),
            standin::free_port(),
        );
        std::thread::spawn(move || keep_engine(index, port, has_trouble, &store, &record, &seen));
    }
    std::thread::sleep(Duration::from_millis(500));
    let mut nodes = Node::prepare(&root, &temporary, store_address, &["a", "b"]);
    nodes.iter_mut().for_each(Node::start);
    if !nodes.iter().all(Node::wait_ready) {
        record.line("a node did not become ready");
        finish(nodes, &seen, 2);
    }
    let platform = Platform::start(&nodes);
    record.line("both nodes are ready");
    let is_over = Arc::new(AtomicBool::new(false));
    let served = Arc::new(Mutex::new((0, 0)));
    for client in 0..CLIENTS {
        let (platform, record, is_over, served) = (
            platform.clone(),
            record.clone(),
            is_over.clone(),
            served.clone(),
        );
        std::thread::spawn(move || {
            let mut number = 0;
            while !is_over.load(Ordering::SeqCst) {
                number += 1;
                let attempt = format!("sound{client:02}{number:05}");
                let segment = 0x9000_0000 + (client * 10_000 + number) as u64;
                let node = platform.choose(client + number);
                let end = send(
                    &platform,
                    node,
                    &attempt,
                    segment,
                    &format!("a sound request {attempt}"),
                    &record,
                );
                let mut served = served.lock().unwrap();
                served.0 += 1;
                served.1 += usize::from(end.starts_with("200"));
                drop(served);
                std::thread::sleep(PAUSE);
            }
        });
    }
    std::thread::sleep(Duration::from_secs(2));
    for number in 1..=RETRIES {
        if record.seconds() > LAST_TRY {
            break;
        }
        let node = platform.choose(number);
        send(
            &platform,
            node,
            &format!("deadly{number:05}"),
            0x77,
            DEADLY,
            &record,
        );
        std::thread::sleep(RETRY_PAUSE);
    }
    is_over.store(true, Ordering::SeqCst);
    let (sent, answered) = *served.lock().unwrap();
    let (crashes, late, arrivals) = {
        let seen = seen.lock().unwrap();
        let arrivals: Vec<&(String, Instant)> = seen
            .arrivals
            .iter()
            .filter(|(attempt, _)| attempt.starts_with("deadly"))
            .collect();
        let third = seen.crashes.get(2).map(|(_, at)| *at + CONTACT);
        let late = third.map_or(0, |third| {
            arrivals.iter().filter(|(_, at)| *at > third).count()
        });
        (seen.crashes.len(), late, arrivals.len())
    };
    record.line(&format!("sound requests: {answered} of {sent} served"));
    record.line(&format!(
        "the request reached engines {arrivals} times in {RETRIES} tries and crashed {crashes}"
    ));
    let is_broken = late > MAX_LATE;
    let verdict = if is_broken { "broken" } else { "held" };
    let text = format!(
        "BUDGET {verdict}: the request reached engines {late} times later than {} ms after its third crash",
        CONTACT.as_millis()
    );
    record.line(&text);
    println!("{text}");
    let has_failed = seen.lock().unwrap().has_failed;
    finish(
        nodes,
        &seen,
        if has_failed { 2 } else { i32::from(is_broken) },
    );
}

/// Ends all processes.
fn finish(nodes: Vec<Node>, seen: &Mutex<Seen>, status: i32) -> ! {
    drop(nodes);
    let mut seen = seen.lock().unwrap();
    seen.is_over = true;
    for child in seen.children.values_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
    exit(status);
}
