//! Stand-ins for the store, the targets and the clients, and the nodes as processes. Standard library only.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

/// Revisions of the store that a watch may go back.
const HISTORY: usize = 10_000;

/// Longest wait for a node to report that it is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Record of what was sent, answered and run, with seconds since the start.
pub struct Record {
    file: Mutex<File>,
    started_at: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Arc<Self> {
        let file = File::create(path).expect("record.txt can be written");
        Arc::new(Self {
            file: Mutex::new(file),
            started_at: Instant::now(),
        })
    }

    pub fn seconds(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:9.3} {text}\n", self.seconds());
        let mut file = self.file.lock().unwrap();
        file.write_all(line.as_bytes())
            .expect("record.txt can be written");
    }
}

/// A message of HTTP/1.1 whose body has arrived.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn word(&self, index: usize) -> &str {
        self.start.split(' ').nth(index).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// Reads the head of a message.
pub fn read_head(reader: &mut impl BufRead) -> std::io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.start = line.trim_end().to_owned();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = text.split_once(':') {
            message
                .headers
                .push((name.to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads a message with its body.
pub fn read_message(reader: &mut impl BufRead) -> std::io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    let chunked = message.header("transfer-encoding").is_some();
    if chunked {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
            let length = usize::from_str_radix(line.trim(), 16).unwrap_or(0);
            let mut chunk = vec![0; length + 2];
            reader.read_exact(&mut chunk)?;
            if length == 0 {
                return Ok(Some(message));
            }
            message.body.extend_from_slice(&chunk[..length]);
        }
    }
    let length = message
        .header("content-length")
        .and_then(|text| text.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body)?;
    message.body = body;
    Ok(Some(message))
}

/// Serves connections on a new port with a thread each.
pub fn serve(handler: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let handler = Arc::new(handler);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            let _ = stream.set_nodelay(true);
            std::thread::spawn(move || handler(stream));
        }
    });
    address
}

/// Serves each message of a connection with `respond`, which returns the whole response.
pub fn serve_messages(stream: TcpStream, respond: impl Fn(&Message) -> Vec<u8>) {
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Ok(Some(message)) = read_message(&mut reader) {
        if writer.write_all(&respond(&message)).is_err() {
            return;
        }
    }
}

pub fn response(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += "\r\n";
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Returns the raw value of a key of a JSON object.
pub fn json_value<'a>(object: &'a str, key: &str) -> Option<&'a str> {
    let bytes = object.as_bytes();
    let mut index = object.find('{')? + 1;
    loop {
        while bytes.get(index)?.is_ascii_whitespace() || bytes[index] == b',' {
            index += 1;
        }
        if bytes[index] == b'}' {
            return None;
        }
        let end = json_end(bytes, index)?;
        let name = &object[index + 1..end - 1];
        index = end;
        while bytes.get(index)?.is_ascii_whitespace() || bytes[index] == b':' {
            index += 1;
        }
        let end = json_end(bytes, index)?;
        if name == key {
            return Some(&object[index..end]);
        }
        index = end;
    }
}

/// Returns the end of the JSON value that begins at `start`.
fn json_end(bytes: &[u8], start: usize) -> Option<usize> {
    let (mut depth, mut in_text, mut index) = (0, false, start);
    loop {
        let byte = *bytes.get(index)?;
        match byte {
            b'\\' if in_text => index += 1,
            b'"' => {
                in_text = !in_text;
                if !in_text && depth == 0 {
                    return Some(index + 1);
                }
            }
            _ if in_text => {}
            b'{' | b'[' => depth += 1,
            b'}' | b']' if depth == 0 => return Some(index),
            b'}' | b']' => {
                depth -= 1;
                if depth == 0 {
                    return Some(index + 1);
                }
            }
            b',' | b' ' | b'\n' | b'\r' if depth == 0 => return Some(index),
            _ => {}
        }
        index += 1;
        if index == bytes.len() && depth == 0 {
            return Some(index);
        }
    }
}

pub fn unquote(text: &str) -> &str {
    text.trim_matches('"')
}

/// The platform's store.
#[derive(Default)]
pub struct Store {
    state: Mutex<StoreState>,
    changed: Condvar,
    era: Mutex<Option<u64>>,
}

#[derive(Clone, Default)]
pub struct StoreState {
    revision: u64,
    objects: BTreeMap<(String, String), String>,
    /// Revision, kind, object and whether it was deleted.
    events: Vec<(u64, String, String, bool)>,
}

impl StoreState {
    fn put(&mut self, kind: &str, name: &str, specification: &str) -> String {
        let key = (kind.to_owned(), name.to_owned());
        if let Some(known) = self.objects.get(&key) {
            if json_value(known, "specification") == Some(specification) {
                return known.clone();
            }
        }
        self.revision += 1;
        let object = format!(
            r#"{{"metadata":{{"name":"{name}","revision":{},"created":{},"finalizers":[],"deleting":false}},"specification":{specification},"status":null}}"#,
            self.revision, self.revision
        );
        self.objects.insert(key, object.clone());
        self.push(kind, object.clone(), false);
        object
    }

    fn delete(&mut self, kind: &str, name: &str) -> Option<String> {
        let object = self.objects.remove(&(kind.to_owned(), name.to_owned()))?;
        self.revision += 1;
        self.push(kind, object.clone(), true);
        Some(object)
    }

    fn push(&mut self, kind: &str, object: String, deleted: bool) {
        self.events
            .push((self.revision, kind.to_owned(), object, deleted));
        if self.events.len() > HISTORY {
            self.events.remove(0);
        }
    }
}

impl Store {
    pub fn start() -> (Arc<Self>, SocketAddr) {
        let store = Arc::new(Self::default());
        let shared = store.clone();
        let address = serve(move |stream| {
            let store = shared.clone();
            serve_messages(stream, move |message| store.respond(message));
        });
        (store, address)
    }

    /// Writes as the operator or a target does. Returns once the store has taken it.
    pub fn put(&self, kind: &str, name: &str, specification: &str) {
        self.state.lock().unwrap().put(kind, name, specification);
        self.changed.notify_all();
    }

    pub fn delete(&self, kind: &str, name: &str) {
        self.state.lock().unwrap().delete(kind, name);
        self.changed.notify_all();
    }

    /// Returns a copy of the store, as for a backup.
    pub fn copy(&self) -> StoreState {
        self.state.lock().unwrap().clone()
    }

    /// Restores the store from a copy, in a new era.
    pub fn restore(&self, copy: StoreState) {
        let mut state = self.state.lock().unwrap();
        *state = copy;
        let mut era = self.era.lock().unwrap();
        *era = Some(era.unwrap_or(0) + 1);
        drop(era);
        drop(state);
        self.changed.notify_all();
    }

    pub fn set_era(&self, era: u64) {
        *self.era.lock().unwrap() = Some(era);
    }

    fn respond(&self, message: &Message) -> Vec<u8> {
        let (status, body) = self.answer(message);
        let era = self.era.lock().unwrap().map(|era| era.to_string());
        let mut headers = vec![("Content-Type", "application/json")];
        if let Some(era) = &era {
            headers.push(("Store-Era", era));
        }
        response(status, &headers, body.as_bytes())
    }

    fn answer(&self, message: &Message) -> (&'static str, String) {
        let target = message.word(1);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let Some(rest) = path.strip_prefix("/v1/objects/") else {
            return ("404 Not Found", String::new());
        };
        let (kind, name) = rest.split_once('/').unwrap_or((rest, ""));
        let parameter = |key: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(name, _)| *name == key).map(|(_, value)| value)
        };
        let body = String::from_utf8_lossy(&message.body);
        let specification = json_value(&body, "specification").unwrap_or("null");
        match message.word(0) {
            "GET" if !name.is_empty() => {
                let state = self.state.lock().unwrap();
                match state.objects.get(&(kind.to_owned(), name.to_owned())) {
                    Some(object) => ("200 OK", object.clone()),
                    None => ("404 Not Found", "{}".to_owned()),
                }
            }
            "GET" => match parameter("watch").and_then(|text| text.parse().ok()) {
                Some(from) => {
                    let wait = parameter("wait_ms").and_then(|text| text.parse().ok());
                    self.watch(kind, from, Duration::from_millis(wait.unwrap_or(0)))
                }
                None => self.list(kind),
            },
            "POST" => {
                let metadata = json_value(&body, "metadata").unwrap_or("{}");
                let name = unquote(json_value(metadata, "name").unwrap_or("")).to_owned();
                let mut state = self.state.lock().unwrap();
                let key = (kind.to_owned(), name.clone());
                if let Some(object) = state.objects.get(&key) {
                    return ("409 Conflict", object.clone());
                }
                let object = state.put(kind, &name, specification);
                drop(state);
                self.changed.notify_all();
                ("200 OK", object)
            }
            "PUT" => {
                let mut state = self.state.lock().unwrap();
                if !state
                    .objects
                    .contains_key(&(kind.to_owned(), name.to_owned()))
                {
                    return ("404 Not Found", "{}".to_owned());
                }
                let object = state.put(kind, name, specification);
                drop(state);
                self.changed.notify_all();
                ("200 OK", object)
            }
            "DELETE" => {
                let deleted = self.state.lock().unwrap().delete(kind, name);
                self.changed.notify_all();
                match deleted {
                    Some(object) => ("200 OK", object),
                    None => ("404 Not Found", "{}".to_owned()),
                }
            }
            _ => ("404 Not Found", String::new()),
        }
    }

    fn list(&self, kind: &str) -> (&'static str, String) {
        let state = self.state.lock().unwrap();
        let objects = state.objects.iter().filter(|((other, _), _)| other == kind);
        let items: Vec<&str> = objects.map(|(_, object)| object.as_str()).collect();
        let body = format!(
            r#"{{"items":[{}],"truncated":false,"timestamp":{}}}"#,
            items.join(","),
            state.revision
        );
        ("200 OK", body)
    }

    fn watch(&self, kind: &str, from: u64, wait: Duration) -> (&'static str, String) {
        let until = Instant::now() + wait;
        let era = *self.era.lock().unwrap();
        let mut state = self.state.lock().unwrap();
        loop {
            if *self.era.lock().unwrap() != era || from > state.revision {
                return ("410 Gone", "{}".to_owned());
            }
            let events = state
                .events
                .iter()
                .filter(|event| event.0 > from && event.1 == kind);
            let events: Vec<String> = events
                .map(|(_, _, object, deleted)| {
                    format!(r#"{{"deleted":{deleted},"object":{object}}}"#)
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body = format!(
                    r#"{{"events":[{}],"timestamp":{}}}"#,
                    events.join(","),
                    state.revision
                );
                return ("200 OK", body);
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

/// Ports for nodes and engines: below those that systems choose themselves for connections and for port 0, so that
/// none is taken between its choice and its use.
const FIRST_PORT: u16 = 20_000;
const PORT_COUNT: u32 = 12_000;

/// Returns a port that is free now, another one at each call.
pub fn free_port() -> u16 {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let start = std::process::id().wrapping_mul(97);
    loop {
        let number = start.wrapping_add(NEXT.fetch_add(1, Ordering::SeqCst)) % PORT_COUNT;
        let port = FIRST_PORT + number as u16;
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

/// A node, as a process of the project's own program.
pub struct Node {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    pub metrics: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    program: PathBuf,
    child: Option<Child>,
}

impl Node {
    /// Writes the settings of as many nodes as there are halls, which know each other's addresses.
    pub fn prepare(root: &Path, directory: &Path, store: SocketAddr, halls: &[&str]) -> Vec<Self> {
        let ports: Vec<[u16; 5]> = halls.iter().map(|_| [0; 5].map(|_| free_port())).collect();
        let peers: Vec<String> = ports
            .iter()
            .map(|ports| format!("\"127.0.0.1:{}\"", ports[2]))
            .collect();
        let nodes = halls.iter().zip(&ports).enumerate().map(|(index, (hall, ports))| {
            let name = format!("front-{hall}-{}", index + 1);
            let [listen, ready, inner, work, metrics] = ports.map(|port| format!("127.0.0.1:{port}"));
            let text = format!(
                "name = \"{name}\"\nhall = \"{hall}\"\nregion = \"west\"\nlisten = \"{listen}\"\n\
                 ready = \"{ready}\"\ninner = \"{inner}\"\nwork = \"{work}\"\nmetrics = \"{metrics}\"\n\
                 store = \"{store}\"\npeers = [{}]\nfirst_start = true\nstop_grace_s = 8\n\n\
                 [repeats]\nwindow_s = 10\nratio = 0.2\nslack = 52\n\n[log]\nlevel = \"info\"\n",
                peers.join(", ")
            );
            let settings = directory.join(format!("{name}.toml"));
            std::fs::write(&settings, text).expect("the settings can be written");
            Self {
                log: directory.join(format!("{name}.log")),
                program: root.join("target/release/turnford"),
                front: listen.parse().unwrap(),
                ready: ready.parse().unwrap(),
                metrics: metrics.parse().unwrap(),
                name,
                settings,
                child: None,
            }
        });
        nodes.collect()
    }

    pub fn start(&mut self) {
        let log = File::options().append(true).create(true).open(&self.log);
        let log = log.expect("the log can be written");
        let child = Command::new(&self.program)
            .arg("serve")
            .env("TURNFORD_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("the log can be shared"))
            .stderr(log)
            .spawn();
        self.child = Some(child.expect("target/release/turnford can be started"));
    }

    /// Settings of every start after the first.
    pub fn forget_first_start(&self) {
        let text = std::fs::read_to_string(&self.settings).unwrap();
        std::fs::write(
            &self.settings,
            text.replace("first_start = true", "first_start = false"),
        )
        .unwrap();
    }

    pub fn signal(&self, signal: &str) {
        if let Some(child) = &self.child {
            let _ = Command::new("kill")
                .arg(signal)
                .arg(child.id().to_string())
                .status();
        }
    }

    pub fn is_running(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Asks whether the node is ready, as the platform does.
    pub fn is_ready(&self) -> bool {
        probe_ready(self.ready)
    }

    pub fn ready_address(&self) -> SocketAddr {
        self.ready
    }

    pub fn wait_ready(&self) -> bool {
        let started_at = Instant::now();
        while started_at.elapsed() < READY_TIMEOUT {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

pub fn probe_ready(address: SocketAddr) -> bool {
    let request = "GET /v1/readiness HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n";
    matches!(exchange(address, request.as_bytes(), Duration::from_millis(800)), Ok(answer) if answer.status() == 200)
}

/// Sends a request on a new connection and reads the response.
pub fn exchange(
    address: SocketAddr,
    request: &[u8],
    timeout: Duration,
) -> std::io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, timeout.min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.write_all(request)?;
    let message = read_message(&mut BufReader::new(stream))?;
    message.ok_or_else(|| std::io::ErrorKind::UnexpectedEof.into())
}

/// The platform's choice of nodes for new connections: every second it asks each node whether it is ready; one
/// that misses twice is out until it answers again. If fewer than half are in, all are used.
pub struct Platform {
    fronts: Vec<SocketAddr>,
    misses: Mutex<Vec<u32>>,
}

impl Platform {
    pub fn start(nodes: &[Node]) -> Arc<Self> {
        let platform = Arc::new(Self {
            fronts: nodes.iter().map(|node| node.front).collect(),
            misses: Mutex::new(vec![0; nodes.len()]),
        });
        for (index, node) in nodes.iter().enumerate() {
            let (platform, address) = (platform.clone(), node.ready_address());
            std::thread::spawn(move || loop {
                let is_ready = probe_ready(address);
                let mut misses = platform.misses.lock().unwrap();
                misses[index] = if is_ready { 0 } else { misses[index] + 1 };
                drop(misses);
                std::thread::sleep(Duration::from_secs(1));
            });
        }
        platform
    }

    /// Returns the node of a new connection.
    pub fn choose(&self, hash: usize) -> usize {
        let misses = self.misses.lock().unwrap();
        let ready: Vec<usize> = (0..misses.len())
            .filter(|index| misses[*index] < 2)
            .collect();
        if ready.len() * 2 < misses.len() {
            return hash % misses.len();
        }
        ready[hash % ready.len()]
    }

    pub fn address(&self, index: usize) -> SocketAddr {
        self.fronts[index]
    }
}

/// Returns the entry of a target in the store.
pub fn target_entry(
    service: &str,
    address: SocketAddr,
    slots: u32,
    version: &str,
    state: &str,
) -> String {
    format!(
        r#"{{"service":"{service}","address":"{address}","zone":"a","version":"{version}","slots":{slots},"state":"{state}","cold_remaining_ms":0,"call_sequence":0}}"#
    )
}
