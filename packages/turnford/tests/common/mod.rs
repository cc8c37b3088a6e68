//! A small site for the tests: four services with two or four targets each, and two accounts.

#![allow(dead_code, unreachable_pub)]

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use http::Method;
use serde_json::Value;
use turnford::LocalSite;
use turnford::SiteFile;
use turnford_http::HttpClient;
use turnford_node::NodeOptions;
use turnford_standin::start_threads;
use turnford_standin::FaultKind;
use turnford_standin::JournalEntry;
use turnford_standin::Scenario;

/// Time-out of requests and awaited conditions; far more than they take.
pub const TIMEOUT: Duration = Duration::from_secs(20);

const SCENARIO: &str = r#"
name = "test"
seed = 1
region = "dk-vest"
halls = ["hal-a", "hal-b"]
hall_delay_ms = 0.5
report_lag_ms = 100
list_lag_ms = 100
full_rate = 10.0
traffic = []

[[services]]
name = "post"
count = 2
slots = 8
base_ms = 5.0
hardware = [{ name = "plain", slowness = 1.0, cost = 1.0 }]

[[services]]
name = "sprog"
count = 2
slots = 8
base_ms = 5.0
per_token_ms = 5.0
hardware = [{ name = "plain", slowness = 1.0, cost = 1.0 }]

[[services]]
name = "skriver"
count = 4
slots = 8
base_ms = 5.0
per_token_ms = 5.0
models = ["dansk"]
load_ms = 200
checks_orders = true
hardware = [{ name = "plain", slowness = 1.0, cost = 1.0 }]

[[services]]
name = "booking"
count = 2
slots = 8
base_ms = 5.0
once = true
hardware = [{ name = "plain", slowness = 1.0, cost = 1.0 }]
"#;

const CHAT: &str = r#"
name = "chat"
deadline_ms = 10000
stages = [
    { name = "encode", service = "post", kind = "encode" },
    { name = "answer", service = "sprog", kind = "generate" },
]
"#;

const RESERVE: &str = r#"
name = "reserve"
deadline_ms = 10000
stages = [
    { name = "encode", service = "post", kind = "encode" },
    { name = "hold", service = "booking", kind = "call", repeatable = false },
]
"#;

/// Template whose model isn't loaded on any target at the start.
const LETTER: &str = r#"
name = "letter"
deadline_ms = 10000
stages = [{ name = "write", service = "skriver", kind = "generate", model = "norsk" }]
"#;

/// Returns the text of an account's file; the account's API key is `key-` and the name.
pub fn account_text(name: &str, rate: f64) -> String {
    let hash = turnford_config::hash_api_key(&format!("key-{name}"));
    format!(
        "name = \"{name}\"\nkey_sha256 = \"{hash}\"\nclass = 1\nrate = {rate}\n\
         concurrency = 500\nmax_input_bytes = 2000\n[templates.chat]\nmax_tokens = 4\n\
         [templates.reserve]\n[templates.letter]\nmax_tokens = 4\n"
    )
}

/// A running site with a client.
pub struct TestSite {
    pub site: LocalSite,
    pub client: HttpClient,
}

/// A node's response.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub body: Value,
}

impl Answer {
    pub fn code(&self) -> u64 {
        self.body["code"].as_u64().unwrap_or(u64::MAX)
    }

    pub fn ran(&self) -> &str {
        self.body["ran"].as_str().unwrap_or("")
    }
}

/// Optional headers of a request.
#[derive(Clone, Copy, Default)]
pub struct RequestExtras<'a> {
    pub id: Option<&'a str>,
    pub deadline_ms: Option<u64>,
    pub stream: bool,
}

impl TestSite {
    pub fn start(nodes: usize) -> Self {
        let accounts = [account_text("one", 1000.0), account_text("two", 1000.0)];
        let texts = [CHAT, RESERVE, LETTER].map(str::to_owned);
        Self::start_with(nodes, SCENARIO, texts.into_iter().chain(accounts))
    }

    /// Starts a site with its own services, templates and accounts.
    pub fn start_with(
        nodes: usize,
        scenario: &str,
        texts: impl IntoIterator<Item = String>,
    ) -> Self {
        let executor = start_threads("standin", 1);
        let scenario = Scenario::parse(scenario).expect("the scenario is valid");
        let files: Vec<SiteFile> = texts
            .into_iter()
            .enumerate()
            .map(|(number, text)| SiteFile {
                name: format!("file-{number}"),
                text,
            })
            .collect();
        let options = NodeOptions::default();
        let start = LocalSite::start(&scenario, &files, nodes, &options, &executor);
        let site = async_io::block_on(start).expect("the site starts");
        Self {
            site,
            client: HttpClient::new(),
        }
    }

    pub fn address(&self, node: usize) -> SocketAddr {
        self.site.nodes[node].address()
    }

    pub async fn post(
        &self,
        node: usize,
        template: &str,
        text: &str,
        extras: RequestExtras<'_>,
    ) -> Answer {
        let path = format!("/v1/pipelines/{template}");
        self.post_as(node, &path, "key-one", text, extras)
            .await
            .expect("the node answers")
    }

    /// Posts a request; `None` if the node closed the connection without a response.
    pub async fn post_as(
        &self,
        node: usize,
        path: &str,
        key: &str,
        text: &str,
        extras: RequestExtras<'_>,
    ) -> Option<Answer> {
        let to = self.address(node);
        let mut request = HttpClient::request(Method::POST, to, path).ok()?;
        request.insert_header("authorization", format!("Bearer {key}"));
        if let Some(id) = extras.id {
            request.insert_header("turnford-request-id", id);
        }
        if let Some(deadline) = extras.deadline_ms {
            request.insert_header("turnford-deadline-ms", deadline.to_string());
        }
        request.set_body(text);
        let answer = self.client.send(to, request, TIMEOUT).await.ok()?;
        let body = serde_json::from_slice(&answer.body).unwrap_or(Value::Null);
        Some(Answer {
            status: answer.status,
            body,
        })
    }

    /// Posts a request for a stream and returns all its events.
    pub async fn stream(&self, node: usize, template: &str, text: &str) -> Vec<Value> {
        let to = self.address(node);
        let path = format!("/v1/pipelines/{template}");
        let request = HttpClient::request(Method::POST, to, &path);
        let mut request = request.expect("the address makes a URL");
        request.insert_header("authorization", "Bearer key-one");
        request.insert_header("accept", "text/event-stream");
        request.set_body(text);
        let open = self.client.open(to, request, TIMEOUT).await;
        let mut stream = open.expect("the node answers");
        let mut events = Vec::new();
        while let Ok(Some(line)) = stream.next_line().await {
            if let Some(data) = line.strip_prefix("data: ") {
                events.push(serde_json::from_str(data).expect("an event is JSON"));
            }
        }
        events
    }

    /// Reads a node's status.
    pub async fn status(&self, node: usize) -> Value {
        let to = self.address(node);
        let request = HttpClient::request(Method::GET, to, "/status");
        let answer = self.client.send(to, request.expect("a URL"), TIMEOUT).await;
        serde_json::from_slice(&answer.expect("the node answers").body).expect("JSON")
    }

    pub fn fault(&self, kind: FaultKind, at: &str, duration: Duration, factor: f64) {
        self.site
            .standins
            .faults
            .add_now(kind, at, duration, factor);
    }

    /// Takes a snapshot of the platform's store, runs `change` and restores the snapshot.
    pub fn restore_after(&self, change: impl FnOnce()) {
        let snapshot = self.site.standins.store.snapshot();
        change();
        self.site.standins.store.restore(snapshot);
    }

    /// Returns the journal entries of a service for a mark.
    pub fn runs(&self, service: &str, mark: &str) -> Vec<JournalEntry> {
        let mut entries = self.site.standins.journal.entries();
        entries.retain(|entry| entry.service == service && entry.mark == mark);
        entries
    }

    pub fn stop(self) {
        for node in self.site.nodes {
            node.stop();
        }
    }
}

/// Waits until a condition holds, without a bound on the time other than the time-out.
///
/// # Panics
///
/// Panics if the condition doesn't hold within [`TIMEOUT`].
pub async fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let started_at = Instant::now();
    while !holds() {
        assert!(started_at.elapsed() < TIMEOUT, "never happened: {what}");
        Timer::after(Duration::from_millis(10)).await;
    }
}
