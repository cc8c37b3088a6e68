//! Two nodes are stopped and started in turn. The streams of the second one can't be resumed at the first.

#[path = "../standin-2.rs"]
#[allow(dead_code)]
mod standin;

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::exit;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use standin::Node;
use standin::Platform;
use standin::Record;
use standin::Store;

const ENGINES: usize = 4;

/// Events of a stream, and the pause between two.
const EVENTS: usize = 78;
const EVENT_PAUSE: Duration = Duration::from_millis(200);

/// Time that clients wait for a whole stream, over all of its tries.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(20);

/// Gap after which a client abandons a stream: four times the objective.
const EVENT_TIMEOUT: Duration = Duration::from_millis(14_400);

/// Tries of a client to take up a stream after a refusal.
const TRIES: usize = 3;

/// Streams, and the pause between the beginnings of two.
const STREAMS: usize = 140;
const BEGIN_PAUSE: Duration = Duration::from_millis(300);

/// Time between the first stream and the first stop.
const LEAD: Duration = Duration::from_secs(6);

/// `contact_ms` of the site, `gap_s` of the stops, and `grace_s`.
const CONTACT: Duration = Duration::from_secs(3);
const GAP: Duration = Duration::from_secs(2);
const GRACE: Duration = Duration::from_secs(8);

/// Time after its end at which a stopped node is started again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Streams taken up from which on the rule applies.
const MIN_TAKEN_UP: usize = 12;

/// What the clients saw.
#[derive(Default)]
struct Counts {
    sent: AtomicUsize,
    begun: AtomicUsize,
    whole: AtomicUsize,
    taken_up: AtomicUsize,
    gone_on: AtomicUsize,
}

/// Moments from which on each node is in touch, if it is.
type Touch = Mutex<Vec<Option<Instant>>>;

fn serve_engine(stream: TcpStream, name: &str, record: &Record) {
    let mut writer = stream.try_clone().expect("a stream");
    let mut reader = BufReader::new(stream);
    while let Ok(Some(message)) = standin::read_message(&mut reader) {
        let written = match message.header("x-turnford-attempt-id") {
            Some(_) => answer_stream(&message, name, &mut writer, record),
            None => {
                let report = r#"{"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"call_sequence":0,"waiting_requests":0,"running_requests":0,"kv_cache_used":0,"kv_cache_total":280000,"handles":0}"#;
                let headers = [
                    ("Content-Type", "application/json"),
                    ("X-Turnford-Instance-Id", name),
                ];
                writer.write_all(&standin::response("200 OK", &headers, report.as_bytes()))
            }
        };
        if written.is_err() {
            return;
        }
    }
}

/// Sends the events of a stream after the last one that the client has.
fn answer_stream(
    message: &standin::Message,
    name: &str,
    writer: &mut TcpStream,
    record: &Record,
) -> std::io::Result<()> {
    let attempt = message.header("x-turnford-attempt-id").unwrap_or("");
    let last: usize = message
        .header("last-event-id")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    record.line(&format!(
        "engine {name} runs {attempt} from event {}",
        last + 1
    ));
    std::thread::sleep(Duration::from_millis(50));
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Turnford-Attempt-Id: {attempt}\r\nX-Turnford-Server-Stamp: {name}.{attempt}\r\nX-Turnford-Weight-Versions: 1\r\nX-Turnford-Server-Load: 1,0,128\r\n\r\n"
    );
    writer.write_all(head.as_bytes())?;
    for event in last + 1..=EVENTS {
        let text = format!("id: {event}\ndata: words\n\n");
        writer.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
        std::thread::sleep(EVENT_PAUSE);
    }
    writer.write_all(b"0\r\n\r\n")
}

/// What clients share.
#[derive(Clone)]
struct Site {
    platform: Arc<Platform>,
    touch: Arc<Touch>,
    counts: Arc<Counts>,
    record: Arc<Record>,
}

impl Site {
    /// Begins a stream in a thread of its own after a pause.
    fn begin_stream(&self, number: usize, pause: Duration) -> JoinHandle<()> {
        std::thread::sleep(pause);
        let site = self.clone();
        std::thread::spawn(move || {
            run_stream(
                number,
                &site.platform,
                &site.touch,
                &site.counts,
                &site.record,
            )
        })
    }
}

/// How one try ended.
enum TryEnd {
    Whole,
    /// The stream began or went on, and broke off after this event.
    Cut(usize),
    Refused(String),
}

/// Sends one try of a stream and reads its events.
fn run_try(
    platform: &Platform,
    node: usize,
    attempt: &str,
    first: Option<&str>,
    last: usize,
    timeout: Duration,
    on_event: &dyn Fn(),
) -> TryEnd {
    let resumed = first.map_or(String::new(), |first| {
        format!("Resumes: {first}\r\nLast-Event-Id: {last}\r\n")
    });
    let body = "a question of a guest";
    let request = format!(
        "POST /chat/x HTTP/1.1\r\nHost: api.example\r\nX-Turnford-Attempt-Id: {attempt}\r\n{resumed}X-Turnford-Model: m\r\nX-Turnford-Token-Counts: 700,234\r\nX-Turnford-Prompt-Prefix: 5c1e07a2:170,{:x}:530\r\nX-Turnford-Deadline-Ms: {}\r\nContent-Length: {}\r\n\r\n{body}",
        0x9000_0000_u64 + last as u64,
        timeout.as_millis(),
        body.len()
    );
    let connected = TcpStream::connect_timeout(&platform.address(node), Duration::from_secs(1));
    let mut stream = match connected {
        Ok(stream) => stream,
        Err(error) => return TryEnd::Refused(format!("no connection: {:?}", error.kind())),
    };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(EVENT_TIMEOUT));
    if let Err(error) = stream.write_all(request.as_bytes()) {
        return TryEnd::Refused(format!("not sent: {:?}", error.kind()));
    }
    let mut reader = BufReader::new(stream);
    let head = match standin::read_head(&mut reader) {
        Ok(Some(head)) => head,
        Ok(None) => return TryEnd::Refused("closed".to_owned()),
        Err(error) => return TryEnd::Refused(format!("{:?}", error.kind())),
    };
    if head.status() != 200 {
        let length = head
            .header("content-length")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let mut body = vec![0; length];
        let _ = reader.read_exact(&mut body);
        let retry = head.header("retry-after").unwrap_or("-");
        return TryEnd::Refused(format!(
            "{} retry-after={retry} {}",
            head.status(),
            String::from_utf8_lossy(&body)
        ));
    }
    let (mut event, mut line) = (last, String::new());
    loop {
        line.clear();
        match reader.read_line(&mut line) {
            Ok(length) if length > 0 => {}
            _ => return TryEnd::Cut(event),
        }
        if let Some(id) = line.strip_prefix("id: ") {
            event = id.trim().parse().unwrap_or(event);
            on_event();
        } else if line == "0\r\n" {
            return if event == EVENTS {
                TryEnd::Whole
            } else {
                TryEnd::Cut(event)
            };
        }
    }
}

/// Runs one stream with its tries.
fn run_stream(number: usize, platform: &Platform, touch: &Touch, counts: &Counts, record: &Record) {
    let started_at = Instant::now();
    let first = format!("chat{number:04}a");
    counts.sent.fetch_add(1, Ordering::SeqCst);
    let node = platform.choose(number);
    record.line(&format!("client {first} begins at node {node}"));
    let has_begun = AtomicBool::new(false);
    let begin = || {
        if !has_begun.swap(true, Ordering::SeqCst) {
            counts.begun.fetch_add(1, Ordering::SeqCst);
        }
    };
    let mut last = match run_try(platform, node, &first, None, 0, CLIENT_TIMEOUT, &begin) {
        TryEnd::Whole => {
            counts.whole.fetch_add(1, Ordering::SeqCst);
            return;
        }
        TryEnd::Cut(last) => last,
        TryEnd::Refused(reason) => {
            record.line(&format!("client {first} refused: {reason}"));
            return;
        }
    };
    record.line(&format!("client {first} was cut after event {last}"));
    if last == 0 {
        return;
    }
    let (mut is_counted, has_gone_on) = (false, AtomicBool::new(false));
    for attempt in 1..=TRIES {
        let left = CLIENT_TIMEOUT.saturating_sub(started_at.elapsed());
        if left.is_zero() {
            break;
        }
        let node = platform.choose(number + attempt);
        let in_touch = touch.lock().unwrap()[node].is_some_and(|from| Instant::now() >= from);
        if in_touch && !is_counted {
            is_counted = true;
            counts.taken_up.fetch_add(1, Ordering::SeqCst);
        }
        let name = format!("chat{number:04}{}", ["b", "c", "d"][attempt - 1]);
        record.line(&format!("client {name} takes up {first} after event {last} at node {node}, in touch: {in_touch}"));
        let go_on = || {
            if in_touch && !has_gone_on.swap(true, Ordering::SeqCst) {
                counts.gone_on.fetch_add(1, Ordering::SeqCst);
            }
        };
        match run_try(platform, node, &name, Some(&first), last, left, &go_on) {
            TryEnd::Whole => {
                counts.whole.fetch_add(1, Ordering::SeqCst);
                record.line(&format!("client {name} has the whole stream"));
                return;
            }
            TryEnd::Cut(event) => {
                record.line(&format!("client {name} was cut after event {event}"));
                last = event;
            }
            TryEnd::Refused(reason) => record.line(&format!("client {name} refused: {reason}")),
        }
        std::thread::sleep(Duration::from_millis(400));
    }
}

fn config() -> &'static str {
    r#"{"version":3,"routes":[{"name":"r-chat","host":"api.example","path_prefix":"/chat/","kind":"streaming","timeout_ms":20000,"target_latency_ms":3600,"target_gap_ms":500,"priority":2,"service":"llm","max_attempts":2,"stages":[],"allow_anonymous":true,"sticky_sessions":true,"resumable":true}],"services":[{"name":"llm","health_check_path":"/health","connection_limit":610,"protocol":"h1","tls":false,"inference_engine":{"slots":128,"kv_cache_tokens":286093,"kv_token_bytes":131072,"link_mbps":130000.0,"moves":true,"backups":true,"stride":3,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":5000,"idle_timeout_ms":15000}}"#
}

/// Stops a node by SIGTERM, by SIGKILL after the grace time, and starts it again.
fn restart(node: &mut Node, index: usize, touch: &Touch, record: &Record) -> bool {
    record.line(&format!("{} gets SIGTERM", node.name));
    touch.lock().unwrap()[index] = None;
    node.signal("-TERM");
    let stopped_at = Instant::now();
    while node.is_running() && stopped_at.elapsed() < GRACE {
        std::thread::sleep(Duration::from_millis(20));
    }
    node.kill();
    record.line(&format!(
        "{} has ended after {} ms",
        node.name,
        stopped_at.elapsed().as_millis()
    ));
    std::thread::sleep(RESTART_DELAY);
    node.forget_first_start();
    node.start();
    let started_at = Instant::now();
    if !node.wait_ready() {
        return false;
    }
    touch.lock().unwrap()[index] = Some(started_at + CONTACT);
    record.line(&format!("{} is ready again", node.name));
    true
}

fn main() {
    let mut arguments = std::env::args().skip(1).map(PathBuf::from);
    let mut next = || arguments.next().expect("an argument");
    let (root, folder, temporary) = (next(), next(), next());
    let has_trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let record = Record::create(&folder.join("record.txt"));
    let (store, store_address) = Store::start();
    store.put("config", "main", config());
    for index in 1..=ENGINES {
        let name = format!("i-engine-{index}");
        let (engine, shared) = (name.clone(), record.clone());
        let address = standin::serve(move |stream| serve_engine(stream, &engine, &shared));
        store.put(
            "servers",
            &name,
            &standin::target_entry("llm", address, 128, "v1", "ready"),
        );
    }
    let mut nodes = Node::prepare(&root, &temporary, store_address, &["a", "b"]);
    nodes.iter_mut().for_each(Node::start);
    if !nodes.iter().all(Node::wait_ready) {
        record.line("a node did not become ready");
        drop(nodes);
        exit(2);
    }
    let platform = Platform::start(&nodes);
    let touch: Arc<Touch> = Arc::new(Mutex::new(vec![
        Some(Instant::now() + CONTACT);
        nodes.len()
    ]));
    record.line("both nodes are ready");
    std::thread::sleep(Duration::from_secs(4));
    let counts: Arc<Counts> = Arc::default();
    let site = Site {
        platform,
        touch: touch.clone(),
        counts: counts.clone(),
        record: record.clone(),
    };
    let clients = std::thread::spawn(move || {
        let clients = (0..STREAMS).map(|number| site.begin_stream(number, BEGIN_PAUSE));
        clients.collect::<Vec<JoinHandle<()>>>()
    });
    std::thread::sleep(LEAD);
    if has_trouble {
        for index in [1, 0] {
            if !restart(&mut nodes[index], index, &touch, &record) {
                record.line("a node did not become ready");
                drop(nodes);
                exit(2);
            }
            std::thread::sleep(GAP);
        }
    }
    for client in clients.join().expect("the clients") {
        client.join().expect("a client");
    }
    drop(nodes);
    let load = |count: &AtomicUsize| count.load(Ordering::SeqCst);
    let (sent, begun, whole) = (load(&counts.sent), load(&counts.begun), load(&counts.whole));
    let (taken_up, gone_on) = (load(&counts.taken_up), load(&counts.gone_on));
    record.line(&format!(
        "streams: {begun} of {sent} began, {whole} were whole in the end"
    ));
    // A stream that went on once counts as such, also if it was cut again. Under half of the share of new streams that begin.
    let is_broken = taken_up >= MIN_TAKEN_UP && 2 * gone_on * sent < begun * taken_up;
    let verdict = if is_broken { "broken" } else { "held" };
    let text = format!(
        "LOST {verdict}: {gone_on} of {taken_up} streams taken up at nodes in touch went on; {begun} of {sent} new ones began"
    );
    record.line(&text);
    println!("{text}");
    exit(i32::from(is_broken));
}
