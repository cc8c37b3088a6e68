//! Clients that call nodes through the proxies, and the record of each request.

use std::collections::HashMap;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use futures_lite::FutureExt;
use rand::Rng;
use turnford_http::HttpClient;
use turnford_http::HttpError;
use turnford_standin::LinkProxy;
use turnford_standin::RouteCall;

use crate::plan::node_count;

/// Time-out of a client's request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(8);

/// Maximum pause of a client between two requests.
const MAX_PAUSE: Duration = Duration::from_millis(250);

/// Pause of a client if no node is ready.
const NO_NODE_PAUSE: Duration = Duration::from_millis(200);

/// Number that stands for no preferred node.
pub(crate) const NO_NODE: usize = usize::MAX;

/// Ratio of the new connections that go to the preferred node while it is ready.
const PREFERRED_RATIO: f64 = 0.9;

/// Body of the request that crashes the targets that run it.
pub(crate) const CRASHING_BODY: &str = "what no target survives";

/// Route of that request.
const CRASHING_ROUTE: &str = "reply";

/// Route whose streams are dropped and resumed, and the number of events after which they are.
pub(crate) const RESUMED_ROUTE: &str = "note";
const EVENTS_BEFORE_DROP: u64 = 3;

/// Pause between two streams of a client that resumes them.
const RESUMING_PAUSE: Duration = Duration::from_millis(60);

/// Pause between two copies of that request.
const CRASHING_PAUSE: Duration = Duration::from_millis(120);

/// Result of a request at its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CallResult {
    /// A complete response: status, server stamp and body.
    Response(u16, String, String),
    /// No complete response.
    Failed(HttpError),
}

/// A request that ended.
#[derive(Clone, Debug)]
pub(crate) struct CallRecord {
    pub(crate) attempt: String,
    pub(crate) route: String,
    pub(crate) node: usize,
    pub(crate) sent: Instant,
    pub(crate) ended: Instant,
    pub(crate) end: CallResult,
    /// Whether the response announces that its target is leaving.
    pub(crate) announced_leaving: bool,
}

/// A stream that was dropped and resumed: the attempts that began it and went on with it.
#[derive(Clone, Debug)]
pub(crate) struct ResumedStream {
    pub(crate) first: String,
    pub(crate) second: String,
    /// Status of the second response.
    pub(crate) status: Option<u16>,
}

/// State that all clients share.
pub(crate) struct ClientContext {
    pub(crate) links: Vec<LinkProxy>,
    /// For each node, whether the platform would route new connections to it.
    pub(crate) ready: Vec<AtomicBool>,
    /// Node that gets most new connections.
    preferred: AtomicUsize,
    pub(crate) calls: Vec<RouteCall>,
    records: Mutex<Vec<CallRecord>>,
    /// Requests that crash targets.
    crashing: Mutex<Vec<CallRecord>>,
    resumed: Mutex<Vec<ResumedStream>>,
    pub(crate) is_over: AtomicBool,
    next_number: AtomicU64,
}

impl ClientContext {
    pub(crate) fn new(links: Vec<LinkProxy>, calls: Vec<RouteCall>) -> Arc<Self> {
        Arc::new(Self {
            links,
            ready: (0..node_count()).map(|_| AtomicBool::new(false)).collect(),
            preferred: AtomicUsize::new(NO_NODE),
            calls,
            records: Mutex::default(),
            crashing: Mutex::default(),
            resumed: Mutex::default(),
            is_over: AtomicBool::new(false),
            next_number: AtomicU64::new(1),
        })
    }

    /// Returns all requests that ended, by attempt id.
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

    /// Returns the requests that crash targets, in the order of their ends.
    pub(crate) fn crashing(&self) -> Vec<CallRecord> {
        let records = self.crashing.lock();
        records.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the streams that were dropped and resumed.
    pub(crate) fn resumed(&self) -> Vec<ResumedStream> {
        let resumed = self.resumed.lock();
        resumed.unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn next_attempt(&self) -> String {
        let number = self.next_number.fetch_add(1, Ordering::SeqCst);
        format!("{number:016x}")
    }

    /// Has most new connections go to a node, or to none in particular.
    pub(crate) fn prefer(&self, node: usize) {
        self.preferred.store(node, Ordering::SeqCst);
    }

    fn choose_node(&self) -> Option<usize> {
        let ready = (0..node_count()).filter(|&node| self.ready[node].load(Ordering::SeqCst));
        let ready: Vec<usize> = ready.collect();
        if ready.is_empty() {
            return None;
        }
        let preferred = self.preferred.load(Ordering::SeqCst);
        if ready.contains(&preferred) && rand::rng().random_bool(PREFERRED_RATIO) {
            return Some(preferred);
        }
        Some(ready[rand::rng().random_range(0..ready.len())])
    }
}

/// Sends one request after the other; a client keeps its connection until a request fails.
pub(crate) async fn run_client(context: Arc<ClientContext>) {
    let mut kept: Option<(usize, HttpClient)> = None;
    while !context.is_over.load(Ordering::SeqCst) {
        let (node, client) = match kept.take() {
            Some(kept) => kept,
            None => match context.choose_node() {
                Some(node) => (node, HttpClient::new()),
                None => {
                    Timer::after(NO_NODE_PAUSE).await;
                    continue;
                }
            },
        };
        let calls = context.calls.iter();
        let calls: Vec<&RouteCall> = calls.filter(|call| call.name != RESUMED_ROUTE).collect();
        let call = calls[rand::rng().random_range(0..calls.len())];
        let record = send_one(&context, node, &client, call, "").await;
        let is_kept = matches!(record.end, CallResult::Response(..));
        context.add(record);
        if is_kept {
            kept = Some((node, client));
        }
        let pause = MAX_PAUSE.mul_f64(rand::rng().random());
        Timer::after(pause).await;
    }
}

/// Repeatedly sends a request that crashes targets, to random nodes, until the given instant.
pub(crate) async fn run_crashing(context: Arc<ClientContext>, until: Instant) {
    let call = context
        .calls
        .iter()
        .find(|call| call.name == CRASHING_ROUTE);
    let call = call.expect("a route with streams").clone();
    while Instant::now() < until {
        Timer::after(CRASHING_PAUSE).await;
        let Some(node) = context.choose_node() else {
            continue;
        };
        let record = send_one(&context, node, &HttpClient::new(), &call, CRASHING_BODY).await;
        let mut records = context
            .crashing
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        records.push(record);
    }
}

/// Begins streams, drops them and resumes them at another node.
pub(crate) async fn run_resuming(context: Arc<ClientContext>) {
    let mut calls = context.calls.iter();
    let call = calls.find(|call| call.name == RESUMED_ROUTE);
    let call = call.expect("a route with resumable streams").clone();
    while !context.is_over.load(Ordering::SeqCst) {
        Timer::after(RESUMING_PAUSE).await;
        let first = context.next_attempt();
        let Some((_, last_event)) = read_events(&context, &call, &first, &[]).await else {
            continue;
        };
        if last_event == 0 {
            continue;
        }
        let last_event = last_event.to_string();
        let second = context.next_attempt();
        let headers = [("resumes", &*first), ("last-event-id", &*last_event)];
        let response = read_events(&context, &call, &second, &headers).await;
        let stream = ResumedStream {
            first,
            second,
            status: response.map(|(status, _)| status),
        };
        let mut resumed = context
            .resumed
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        resumed.push(stream);
    }
}

/// Reads some events of a stream at a random node and drops it. Returns its status and the last event.
async fn read_events(
    context: &ClientContext,
    call: &RouteCall,
    attempt: &str,
    headers: &[(&str, &str)],
) -> Option<(u16, u64)> {
    let to = context.links[context.choose_node()?].address;
    let mut request = call.request(to, attempt).expect("a path");
    for (name, value) in headers {
        request.insert_header(name, *value);
    }
    let client = HttpClient::new();
    let mut stream = client.open(to, request, REQUEST_TIMEOUT).await.ok()?;
    let read = async {
        let mut last_event = 0;
        let mut count = 0;
        while count < EVENTS_BEFORE_DROP {
            let Ok(Some(line)) = stream.next_line().await else {
                break;
            };
            if let Some(number) = line.strip_prefix("id: ") {
                last_event = number.trim().parse().unwrap_or(last_event);
                count += 1;
            }
        }
        last_event
    };
    let late = async {
        Timer::after(REQUEST_TIMEOUT).await;
        0
    };
    let last_event = read.or(late).await;
    Some((stream.status, last_event))
}

async fn send_one(
    context: &ClientContext,
    node: usize,
    client: &HttpClient,
    call: &RouteCall,
    body: &'static str,
) -> CallRecord {
    let attempt = context.next_attempt();
    let to = context.links[node].address;
    let sent = Instant::now();
    let mut request = call.request(to, &attempt).expect("a path");
    request.set_body(body);
    let mut announced_leaving = false;
    let end = match client.send(to, request, REQUEST_TIMEOUT).await {
        Ok(answer) => {
            announced_leaving = answer.header("server-leaving") == Some("1");
            let stamp = answer.header("x-turnford-server-stamp").unwrap_or("");
            let body = String::from_utf8_lossy(&answer.body).into_owned();
            CallResult::Response(answer.status, stamp.to_owned(), body)
        }
        Err(error) => CallResult::Failed(error),
    };
    CallRecord {
        attempt,
        route: call.name.clone(),
        node,
        sent,
        ended: Instant::now(),
        end,
        announced_leaving,
    }
}
