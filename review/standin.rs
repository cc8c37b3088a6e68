//! Stand-ins for the cases of this review: the platform's store, the runners of a service, clients, and
//! the control of the node processes. They use the standard library alone; `review/build.sh` compiles them.
//!
//! Usage: `standin CASE FOLDER`, run at the root of the repository. The exit status is 1 if the rule of the
//! case was broken, 0 if it held, and 2 if the case could not run.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::fs;
use std::fs::File;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

// ---------------------------------------------------------------------------------------------
// Record of a case

/// Lines of `record.txt`: what was sent, answered and run, with the time since the start.
struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    fn create(folder: &str) -> io::Result<Arc<Self>> {
        let file = File::create(format!("{folder}/record.txt"))?;
        Ok(Arc::new(Self {
            started: Instant::now(),
            file: Mutex::new(file),
        }))
    }

    fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:9.3} s  {text}");
    }
}

// ---------------------------------------------------------------------------------------------
// JSON, as far as the store needs it

#[derive(Clone, Debug, PartialEq)]
enum Json {
    /// Anything but an object or a string, as written.
    Raw(String),
    Text(String),
    Object(Vec<(String, Json)>),
}

impl Json {
    fn parse(text: &str) -> Option<Json> {
        let mut parser = Parser {
            text: text.as_bytes(),
            at: 0,
        };
        parser.value()
    }

    fn get(&self, key: &str) -> Option<&Json> {
        match self {
            Json::Object(fields) => fields.iter().find(|(name, _)| name == key).map(|(_, v)| v),
            _ => None,
        }
    }

    fn text(&self) -> Option<&str> {
        match self {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }

    fn number(&self) -> Option<u64> {
        match self {
            Json::Raw(raw) => raw.parse().ok(),
            _ => None,
        }
    }

    fn write(&self) -> String {
        match self {
            Json::Raw(raw) => raw.clone(),
            // Escapes are kept as they were written.
            Json::Text(text) => format!("\"{text}\""),
            Json::Object(fields) => {
                let fields = fields.iter();
                let fields: Vec<String> = fields
                    .map(|(name, value)| format!("\"{name}\":{}", value.write()))
                    .collect();
                format!("{{{}}}", fields.join(","))
            }
        }
    }
}

struct Parser<'a> {
    text: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn skip_blanks(&mut self) {
        while self.text.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn string(&mut self) -> Option<String> {
        self.at += 1;
        let start = self.at;
        loop {
            match *self.text.get(self.at)? {
                b'\\' => self.at += 2,
                b'"' => break,
                _ => self.at += 1,
            }
        }
        let text = String::from_utf8_lossy(&self.text[start..self.at]).into_owned();
        self.at += 1;
        Some(text)
    }

    fn value(&mut self) -> Option<Json> {
        self.skip_blanks();
        match *self.text.get(self.at)? {
            b'"' => self.string().map(Json::Text),
            b'{' => self.object(),
            b'[' => self.array(),
            _ => {
                let start = self.at;
                while self
                    .text
                    .get(self.at)
                    .is_some_and(|byte| !b",]} \n\r\t".contains(byte))
                {
                    self.at += 1;
                }
                let raw = String::from_utf8_lossy(&self.text[start..self.at]);
                Some(Json::Raw(raw.into_owned()))
            }
        }
    }

    fn object(&mut self) -> Option<Json> {
        let mut fields = Vec::new();
        self.at += 1;
        loop {
            self.skip_blanks();
            match *self.text.get(self.at)? {
                b'}' => {
                    self.at += 1;
                    return Some(Json::Object(fields));
                }
                b',' => self.at += 1,
                _ => {
                    let name = self.string()?;
                    self.skip_blanks();
                    self.at += 1;
                    fields.push((name, self.value()?));
                }
            }
        }
    }

    fn array(&mut self) -> Option<Json> {
        let start = self.at;
        self.at += 1;
        loop {
            self.skip_blanks();
            match *self.text.get(self.at)? {
                b']' => {
                    self.at += 1;
                    let raw = String::from_utf8_lossy(&self.text[start..self.at]);
                    return Some(Json::Raw(raw.into_owned()));
                }
                b',' => self.at += 1,
                _ => {
                    self.value()?;
                }
            }
        }
    }
}

// ---------------------------------------------------------------------------------------------
// HTTP/1.1

struct Message {
    /// Words of the first line.
    first: Vec<String>,
    /// Headers, with names in lower case.
    headers: Vec<(String, String)>,
    body: Vec<u8>,
    /// Whether the whole body arrived.
    is_whole: bool,
}

impl Message {
    fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    fn status(&self) -> u16 {
        self.first
            .get(1)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0)
    }
}

fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let first = line.split_whitespace().map(str::to_owned).collect();
    let mut headers = Vec::new();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let text = line.trim_end();
        if text.is_empty() {
            break;
        }
        if let Some((name, value)) = text.split_once(':') {
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    Ok(Some(Message {
        first,
        headers,
        body: Vec::new(),
        is_whole: false,
    }))
}

/// Reads a message with a length or chunks. `pace` limits the bytes read a second.
fn read_message(reader: &mut impl BufRead, pace: Option<u64>) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    let is_chunked = message.header("transfer-encoding").is_some();
    if is_chunked {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Ok(Some(message));
            }
            let size = usize::from_str_radix(line.trim(), 16).unwrap_or(0);
            let mut chunk = vec![0; size + 2];
            if reader.read_exact(&mut chunk).is_err() {
                return Ok(Some(message));
            }
            message.body.extend_from_slice(&chunk[..size]);
            if size == 0 {
                message.is_whole = true;
                return Ok(Some(message));
            }
        }
    }
    let length = message.header("content-length");
    let length: usize = length.and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut buffer = vec![0; 16 * 1024];
    let started = Instant::now();
    while message.body.len() < length {
        let wanted = buffer.len().min(length - message.body.len());
        match reader.read(&mut buffer[..wanted]) {
            Ok(0) | Err(_) => return Ok(Some(message)),
            Ok(read) => message.body.extend_from_slice(&buffer[..read]),
        }
        if let Some(pace) = pace {
            let due = Duration::from_secs_f64(message.body.len() as f64 / pace as f64);
            thread::sleep(due.saturating_sub(started.elapsed()));
        }
    }
    message.is_whole = true;
    Ok(Some(message))
}

fn response(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Accepts connections and serves each in a thread of its own.
fn serve(listener: TcpListener, handle: impl Fn(TcpStream) + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let handle = handle.clone();
            thread::spawn(move || handle(stream));
        }
    });
}

// ---------------------------------------------------------------------------------------------
// The platform's store

/// Maximum size of a page of a list, as the pages tell.
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;

struct Object {
    revision: u64,
    created: u64,
    specification: Json,
    status: Json,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    /// Revision below which changes are forgotten: a watch from there gets 410.
    history_from: u64,
    /// Changes as (revision, kind, object, whether it was deleted).
    events: Vec<(u64, String, String, bool)>,
}

struct Store {
    address: SocketAddr,
    state: Mutex<StoreState>,
    changed: Condvar,
    lists: AtomicUsize,
}

fn object_text(name: &str, object: &Object) -> String {
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{},\"created\":{},\"finalizers\":[],\
         \"deleting\":false}},\"specification\":{},\"status\":{}}}",
        object.revision,
        object.created,
        object.specification.write(),
        object.status.write()
    )
}

impl Store {
    fn start() -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Arc::new(Self {
            address: listener.local_addr()?,
            state: Mutex::default(),
            changed: Condvar::new(),
            lists: AtomicUsize::new(0),
        });
        let served = store.clone();
        serve(listener, move |stream| {
            let Ok(clone) = stream.try_clone() else {
                return;
            };
            let mut reader = BufReader::new(clone);
            let mut stream = stream;
            while let Ok(Some(request)) = read_message(&mut reader, None) {
                let (status, body) = served.answer(&request);
                let headers = [("Content-Type", "application/json"), ("Store-Era", "1")];
                let bytes = response(status, &headers, body.as_bytes());
                if stream.write_all(&bytes).is_err() {
                    return;
                }
            }
        });
        Ok(store)
    }

    /// Writes an object, as a runner, the operator or another writer does.
    fn put(&self, kind: &str, name: &str, specification: Json) {
        let mut state = self.state.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        let known = state.objects.get(&key);
        if known.is_some_and(|known| known.specification == specification) {
            return;
        }
        state.revision += 1;
        let revision = state.revision;
        let created = known_created(&state, &key).unwrap_or(revision);
        let object = Object {
            revision,
            created,
            specification,
            status: Json::Raw("null".to_owned()),
        };
        let text = object_text(name, &object);
        state.objects.insert(key, object);
        state.events.push((revision, kind.to_owned(), text, false));
        self.changed.notify_all();
    }

    /// Forgets all changes so far; watches that wait are cut.
    fn forget_history(&self) {
        let mut state = self.state.lock().unwrap();
        state.history_from = state.revision;
        self.changed.notify_all();
    }

    fn answer(&self, request: &Message) -> (&'static str, String) {
        let method = request.first.first().map_or("", |method| method);
        let target = request.first.get(1).map_or("", |target| target);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: HashMap<&str, &str> =
            query.split('&').filter_map(|p| p.split_once('=')).collect();
        let Some(rest) = path.strip_prefix("/v1/objects/") else {
            return ("404 Not Found", "{}".to_owned());
        };
        let mut parts = rest.split('/');
        let kind = parts.next().unwrap_or("").to_owned();
        let name = parts.next().map(str::to_owned);
        let body = String::from_utf8_lossy(&request.body);
        let body = Json::parse(&body).unwrap_or(Json::Raw("null".to_owned()));
        match (method, name) {
            ("GET", None) if query.contains_key("watch") => self.watch(&kind, &query),
            ("GET", None) => self.list(&kind, query.get("after_revision").copied()),
            ("GET", Some(name)) => {
                let state = self.state.lock().unwrap();
                match state.objects.get(&(kind, name.clone())) {
                    Some(object) => ("200 OK", object_text(&name, object)),
                    None => ("404 Not Found", "{}".to_owned()),
                }
            }
            ("DELETE", Some(name)) => self.delete(&kind, &name),
            ("POST", None) => {
                let name = body
                    .get("metadata")
                    .and_then(|metadata| metadata.get("name"));
                let name = name.and_then(Json::text).unwrap_or("").to_owned();
                self.write(&kind, &name, &body, true, None)
            }
            ("PUT", Some(name)) => {
                let wanted = query.get("revision").and_then(|text| text.parse().ok());
                self.write(&kind, &name, &body, false, wanted)
            }
            _ => ("400 Bad Request", "{}".to_owned()),
        }
    }

    fn list(&self, kind: &str, after: Option<&str>) -> (&'static str, String) {
        self.lists.fetch_add(1, Ordering::SeqCst);
        let state = self.state.lock().unwrap();
        let mut items: Vec<String> = Vec::new();
        let mut size = 0;
        let mut is_truncated = false;
        for ((object_kind, name), object) in &state.objects {
            if object_kind != kind || after.is_some_and(|after| name.as_str() <= after) {
                continue;
            }
            let text = object_text(name, object);
            let is_full = items.len() >= PAGE_ITEMS || size + text.len() > PAGE_BYTES;
            if is_full && !items.is_empty() {
                is_truncated = true;
                break;
            }
            size += text.len();
            items.push(text);
        }
        let body = format!(
            "{{\"items\":[{}],\"truncated\":{is_truncated},\"timestamp\":{}}}",
            items.join(","),
            state.revision
        );
        ("200 OK", body)
    }

    fn watch(&self, kind: &str, query: &HashMap<&str, &str>) -> (&'static str, String) {
        let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
        let after = number("watch").unwrap_or(0);
        let until =
            Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0).min(30_000));
        let mut state = self.state.lock().unwrap();
        loop {
            let new = state.events.iter();
            let new = new.filter(|(revision, of, _, _)| *revision > after && of == kind);
            let new: Vec<String> = new
                .map(|(_, _, object, deleted)| {
                    format!("{{\"object\":{object},\"deleted\":{deleted}}}")
                })
                .collect();
            if after < state.history_from {
                return ("410 Gone", "{}".to_owned());
            }
            let left = until.saturating_duration_since(Instant::now());
            if !new.is_empty() || left.is_zero() {
                let revision = state.revision;
                let body = format!(
                    "{{\"events\":[{}],\"timestamp\":{revision}}}",
                    new.join(",")
                );
                return ("200 OK", body);
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn write(
        &self,
        kind: &str,
        name: &str,
        body: &Json,
        is_new: bool,
        wanted: Option<u64>,
    ) -> (&'static str, String) {
        let key = (kind.to_owned(), name.to_owned());
        let wanted = wanted.or_else(|| body.get("metadata")?.get("revision")?.number());
        {
            let state = self.state.lock().unwrap();
            match state.objects.get(&key) {
                Some(object)
                    if is_new || wanted.is_some_and(|wanted| wanted != object.revision) =>
                {
                    return ("409 Conflict", object_text(name, object));
                }
                None if !is_new => return ("404 Not Found", "{}".to_owned()),
                _ => {}
            }
        }
        let specification = body.get("specification").cloned();
        self.put(
            kind,
            name,
            specification.unwrap_or(Json::Raw("null".to_owned())),
        );
        let state = self.state.lock().unwrap();
        let text = state
            .objects
            .get(&key)
            .map(|object| object_text(name, object));
        ("200 OK", text.unwrap_or_default())
    }

    fn delete(&self, kind: &str, name: &str) -> (&'static str, String) {
        let mut state = self.state.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        let Some(object) = state.objects.remove(&key) else {
            return ("404 Not Found", "{}".to_owned());
        };
        state.revision += 1;
        let revision = state.revision;
        let text = object_text(name, &object);
        state
            .events
            .push((revision, kind.to_owned(), text.clone(), true));
        self.changed.notify_all();
        ("200 OK", text)
    }
}

fn known_created(state: &StoreState, key: &(String, String)) -> Option<u64> {
    state.objects.get(key).map(|object| object.created)
}

fn unix_ms() -> u128 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |at| at.as_millis())
}

/// Writes a runner's entry.
fn register_runner(
    store: &Store,
    id: &str,
    service: &str,
    address: SocketAddr,
    zone: &str,
    slots: usize,
) {
    let entry = format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
         \"slots\":{slots},\"state\":\"ready\",\"cold_remaining_ms\":0,\"call_sequence\":0,\"born\":{}}}",
        unix_ms()
    );
    if let Some(entry) = Json::parse(&entry) {
        store.put("servers", id, entry);
    }
}

// ---------------------------------------------------------------------------------------------
// Nodes

struct Node {
    name: String,
    front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    /// Settings of a later start, once the node has started.
    restart_settings: Option<String>,
    log: PathBuf,
    child: Option<Child>,
}

/// Temporary folder and processes of a case, removed and ended with it.
struct Fleet {
    folder: PathBuf,
    nodes: Vec<Node>,
}

impl Fleet {
    /// Lays out the settings of nodes, like `deploy/node.toml` with its variables filled in.
    fn new(count: usize, store: SocketAddr) -> io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("turnford-review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        // All ports are chosen before any is given back.
        let mut listeners = Vec::new();
        for _ in 0..count * 5 {
            listeners.push(TcpListener::bind("127.0.0.1:0")?);
        }
        let addresses: io::Result<Vec<SocketAddr>> =
            listeners.iter().map(TcpListener::local_addr).collect();
        let addresses = addresses?;
        drop(listeners);
        let peers: Vec<String> = addresses
            .chunks(5)
            .map(|own| format!("\"{}\"", own[2]))
            .collect();
        let mut nodes = Vec::new();
        for (index, own) in addresses.chunks(5).enumerate() {
            let name = format!("front-{index}");
            let settings = folder.join(format!("{name}.toml"));
            let text = format!(
                "name = \"{name}\"\nhall = \"hal-{}\"\nregion = \"dk\"\nlisten = \"{}\"\nready = \"{}\"\n\
                 inner = \"{}\"\nwork = \"{}\"\nmetrics = \"{}\"\nstore = \"{store}\"\npeers = [{}]\n\
                 first_start = true\nstop_grace_s = 8\n\n[repeats]\nwindow_s = 10\nratio = 0.2\n\
                 slack = 52\n\n[log]\nlevel = \"info\"\n",
                (b'a' + index as u8) as char,
                own[0],
                own[1],
                own[2],
                own[3],
                own[4],
                peers.join(",")
            );
            fs::write(&settings, text)?;
            nodes.push(Node {
                log: folder.join(format!("{name}.log")),
                name,
                front: own[0],
                ready: own[1],
                settings,
                restart_settings: None,
                child: None,
            });
        }
        Ok(Self { folder, nodes })
    }

    /// Starts all nodes that are not running, with the command of the deploy file.
    fn start(&mut self) -> io::Result<()> {
        for node in self.nodes.iter_mut().filter(|node| node.child.is_none()) {
            if let Some(text) = &node.restart_settings {
                fs::write(&node.settings, text)?;
            }
            let log = File::options().create(true).append(true).open(&node.log)?;
            let mut command = Command::new("target/release/turnford");
            command
                .arg("serve")
                .env("TURNFORD_BOOT", &node.settings)
                .stdin(Stdio::null())
                .stdout(log.try_clone()?)
                .stderr(log);
            // SAFETY: the call is allowed between fork and exec.
            unsafe {
                command.pre_exec(|| {
                    prctl(PR_SET_PDEATHSIG, SIGKILL);
                    Ok(())
                });
            }
            let child = command.spawn()?;
            PROCESSES.lock().unwrap().push(child.id());
            // Later starts of the process are not the first of the whole system.
            let text = fs::read_to_string(&node.settings)?;
            node.restart_settings = Some(text.replace("first_start = true", "first_start = false"));
            node.child = Some(child);
        }
        Ok(())
    }

    fn kill_all(&mut self) {
        for node in &mut self.nodes {
            if let Some(mut child) = node.child.take() {
                let _ = child.kill();
                let _ = child.wait();
                PROCESSES
                    .lock()
                    .unwrap()
                    .retain(|process| *process != child.id());
            }
        }
    }

    /// Waits until all nodes say that they are ready. Returns how many do.
    fn wait_ready(&self, limit: Duration) -> usize {
        let until = Instant::now() + limit;
        loop {
            let ready = self
                .nodes
                .iter()
                .filter(|node| is_ready(node.ready))
                .count();
            if ready == self.nodes.len() || Instant::now() >= until {
                return ready;
            }
            thread::sleep(Duration::from_millis(100));
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.kill_all();
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Processes that this program started, for the watchdog.
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the case and its processes if it takes too long.
fn start_watchdog() {
    thread::spawn(|| {
        thread::sleep(Duration::from_secs(105));
        for process in PROCESSES.lock().unwrap().iter() {
            let command = format!("kill -KILL {process}");
            let _ = Command::new("sh").arg("-c").arg(command).status();
        }
        eprintln!("the case took too long");
        std::process::exit(2);
    });
}

fn send_signal(child: &Child, signal: &str) {
    let command = format!("kill -{signal} {}", child.id());
    let _ = Command::new("sh").arg("-c").arg(command).status();
}

/// The platform's readiness question.
fn is_ready(address: SocketAddr) -> bool {
    let ask = || -> io::Result<bool> {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(300))?;
        stream.set_read_timeout(Some(Duration::from_millis(500)))?;
        stream.write_all(b"GET /v1/readiness HTTP/1.1\r\nHost: node\r\n\r\n")?;
        let answer = read_message(&mut BufReader::new(stream), None)?;
        Ok(answer.is_some_and(|answer| answer.status() == 200))
    };
    ask().unwrap_or(false)
}

extern "C" {
    fn prctl(option: i32, value: u64) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

/// Has a process killed when the one that started it ends, however that ends.
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

/// Gives a client's socket a small receive window, as the links of the platform have them.
fn set_small_window(stream: &TcpStream) -> bool {
    use std::os::fd::AsRawFd;
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    let bytes: i32 = 64 * 1024;
    // SAFETY: the descriptor is open, and the value is an `int` of the given length.
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &bytes, 4) == 0 }
}

/// A client's connection to a node.
struct ClientConnection {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl ClientConnection {
    fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Self { stream, reader })
    }

    fn send(
        &mut self,
        method: &str,
        path: &str,
        id: &str,
        deadline_ms: u64,
        body: &[u8],
    ) -> io::Result<()> {
        let mut text = format!(
            "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nX-Turnford-Attempt-Id: {id}\r\n\
             X-Turnford-Deadline-Ms: {deadline_ms}\r\n"
        );
        if !body.is_empty() {
            text.push_str(&format!("Content-Length: {}\r\n", body.len()));
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(body);
        self.stream
            .set_read_timeout(Some(Duration::from_millis(deadline_ms)))?;
        self.stream.write_all(&bytes)
    }

    fn receive(&mut self, pace: Option<u64>) -> io::Result<Option<Message>> {
        read_message(&mut self.reader, pace)
    }
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

fn new_id() -> String {
    let number = NEXT_ID.fetch_add(1, Ordering::SeqCst);
    format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |text| text != "0")
}

/// Returns a configuration with one plain service and the given routes.
fn configuration(routes: &str) -> Option<Json> {
    Json::parse(&format!(
        "{{\"version\":7,\"routes\":[{routes}],\"services\":[{{\"name\":\"booking\",\
         \"health_check_path\":\"/health\",\"connection_limit\":96,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}}}}"
    ))
}

include!("cases.rs");
