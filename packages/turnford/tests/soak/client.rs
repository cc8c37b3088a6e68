//! Clients that call nodes through their links, and what became of each request.

use std::collections::HashMap;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use rand::Rng;
use turnford_http::HttpClient;
use turnford_http::HttpError;
use turnford_standin::LinkProxy;
use turnford_standin::RouteCall;

use crate::plan::node_count;

/// Longest time that a client waits for an answer.
const PATIENCE: Duration = Duration::from_secs(8);

/// Pause of a client between two requests, at most.
const LONGEST_PAUSE: Duration = Duration::from_millis(250);

/// Pause of a client that finds no node.
const NO_NODE_PAUSE: Duration = Duration::from_millis(200);

/// Body of the request that crashes targets.
pub(crate) const CRASHING: &str = "what no target survives";

/// Route of that request.
const CRASHING_ROUTE: &str = "reply";

/// Pause between two copies of it.
const CRASHING_PAUSE: Duration = Duration::from_millis(120);

/// How a request ended for its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CallEnd {
    /// An answer: status, stamp and body.
    Answer(u16, String, String),
    /// No whole answer.
    Broken(HttpError),
}

/// One request.
#[derive(Clone, Debug)]
pub(crate) struct CallRecord {
    pub(crate) attempt: String,
    pub(crate) route: String,
    pub(crate) node: usize,
    pub(crate) sent: Instant,
    pub(crate) ended: Instant,
    pub(crate) end: CallEnd,
    /// Whether the answer says that its target leaves.
    pub(crate) says_leaving: bool,
}

/// What all clients share.
pub(crate) struct ClientRoom {
    pub(crate) links: Vec<LinkProxy>,
    /// Whether the platform would send new connections to a node.
    pub(crate) ready: Vec<AtomicBool>,
    pub(crate) calls: Vec<RouteCall>,
    records: Mutex<Vec<CallRecord>>,
    /// Requests that crash targets.
    crashing: Mutex<Vec<CallRecord>>,
    pub(crate) is_over: AtomicBool,
    numbers: AtomicU64,
}

impl ClientRoom {
    pub(crate) fn new(links: Vec<LinkProxy>, calls: Vec<RouteCall>) -> Arc<Self> {
        Arc::new(Self {
            links,
            ready: (0..node_count()).map(|_| AtomicBool::new(false)).collect(),
            calls,
            records: Mutex::default(),
            crashing: Mutex::default(),
            is_over: AtomicBool::new(false),
            numbers: AtomicU64::new(1),
        })
    }

    /// Returns all requests that ended, by their ids.
    pub(crate) fn ended(&self) -> HashMap<String, CallRecord> {
        let records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        let pairs = records
            .iter()
            .map(|record| (record.attempt.clone(), record.clone()));
        pairs.collect()
    }

    fn add(&self, record: CallRecord) {
        let mut records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        records.push(record);
    }

    /// Returns the requests that crash targets, in their order.
    pub(crate) fn crashing(&self) -> Vec<CallRecord> {
        let records = self.crashing.lock();
        records.unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn choose_node(&self) -> Option<usize> {
        let ready = (0..node_count()).filter(|&node| self.ready[node].load(Ordering::SeqCst));
        let ready: Vec<usize> = ready.collect();
        if ready.is_empty() {
            return None;
        }
        Some(ready[rand::rng().random_range(0..ready.len())])
    }
}

/// Sends one request after the other; a client keeps its connection until it breaks.
pub(crate) async fn run_client(room: Arc<ClientRoom>) {
    let mut kept: Option<(usize, HttpClient)> = None;
    while !room.is_over.load(Ordering::SeqCst) {
        let (node, client) = match kept.take() {
            Some(kept) => kept,
            None => match room.choose_node() {
                Some(node) => (node, HttpClient::new()),
                None => {
                    Timer::after(NO_NODE_PAUSE).await;
                    continue;
                }
            },
        };
        let call = &room.calls[rand::rng().random_range(0..room.calls.len())];
        let record = send_one(&room, node, &client, call, "").await;
        let is_kept = matches!(record.end, CallEnd::Answer(..));
        room.add(record);
        if is_kept {
            kept = Some((node, client));
        }
        let pause = LONGEST_PAUSE.mul_f64(rand::rng().random());
        Timer::after(pause).await;
    }
}

/// Sends a request that crashes targets, again and again to whichever node, until a moment.
pub(crate) async fn run_crashing(room: Arc<ClientRoom>, until: Instant) {
    let call = room.calls.iter().find(|call| call.name == CRASHING_ROUTE);
    let call = call.expect("a route with streams").clone();
    while Instant::now() < until {
        Timer::after(CRASHING_PAUSE).await;
        let Some(node) = room.choose_node() else {
            continue;
        };
        let record = send_one(&room, node, &HttpClient::new(), &call, CRASHING).await;
        let mut records = room.crashing.lock().unwrap_or_else(PoisonError::into_inner);
        records.push(record);
    }
}

async fn send_one(
    room: &ClientRoom,
    node: usize,
    client: &HttpClient,
    call: &RouteCall,
    body: &'static str,
) -> CallRecord {
    let number = room.numbers.fetch_add(1, Ordering::SeqCst);
    let attempt = format!("{number:016x}");
    let to = room.links[node].address;
    let sent = Instant::now();
    let mut request = call.request(to, &attempt).expect("a path");
    request.set_body(body);
    let mut says_leaving = false;
    let end = match client.send(to, request, PATIENCE).await {
        Ok(answer) => {
            says_leaving = answer.header("server-leaving") == Some("1");
            let stamp = answer.header("x-turnford-server-stamp").unwrap_or("");
            let body = String::from_utf8_lossy(&answer.body).into_owned();
            CallEnd::Answer(answer.status, stamp.to_owned(), body)
        }
        Err(fault) => CallEnd::Broken(fault),
    };
    CallRecord {
        attempt,
        route: call.name.clone(),
        node,
        sent,
        ended: Instant::now(),
        end,
        says_leaving,
    }
}
