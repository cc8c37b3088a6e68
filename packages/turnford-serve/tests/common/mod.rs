//! A test site on loopback: a store, targets, and nodes that serve routes.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use http::Method;
use serde_json::json;
use serde_json::Value;
use turnford_config::LogLevel;
use turnford_config::LogSettings;
use turnford_config::RetrySettings;
use turnford_config::ServeSettings;
use turnford_http::BufferedResponse;
use turnford_http::HttpClient;
use turnford_http::HttpError;
use turnford_http::HttpRequest;
use turnford_serve::ServeNode;
use turnford_standin::start_threads;
use turnford_standin::EndpointState;
use turnford_standin::LinkProxy;
use turnford_standin::MetaStore;
use turnford_standin::RouteJournal;
use turnford_standin::RouteTarget;
use turnford_standin::SharedExecutor;
use turnford_standin::TargetRole;

/// Upper bound of any wait; tests end much sooner.
pub(crate) const LIMIT: Duration = Duration::from_secs(20);

/// Timeout that clients set for their requests.
pub(crate) const CLIENT_TIMEOUT: Duration = Duration::from_secs(10);

/// Timeout of the routes whose paths end in `-soon/`.
pub(crate) const SHORT_TIMEOUT: Duration = Duration::from_millis(1500);

/// A plain service with short calls.
pub(crate) const QUICK: TargetRole = TargetRole::Plain(Duration::from_millis(5));

/// A fast target of a stage.
pub(crate) const STAGE: TargetRole = TargetRole::Stage {
    call_overhead: Duration::from_millis(30),
    piece_time: Duration::from_millis(1),
};

/// An engine with a short response.
pub(crate) const ENGINE: TargetRole = TargetRole::Engine {
    first_event: Duration::from_millis(10),
    event_gap: Duration::from_millis(5),
    events: 5,
};

/// A site with its nodes.
pub(crate) struct RouteSite {
    pub(crate) executor: SharedExecutor,
    pub(crate) store: MetaStore,
    pub(crate) journal: Arc<RouteJournal>,
    pub(crate) nodes: Vec<SiteNode>,
    pub(crate) client: HttpClient,
}

/// A running node with its settings.
pub(crate) struct SiteNode {
    pub(crate) node: Option<ServeNode>,
    pub(crate) settings: ServeSettings,
    /// The node's own endpoint of the store.
    pub(crate) endpoint: usize,
}

impl RouteSite {
    /// Creates a site without targets and nodes.
    pub(crate) fn new() -> Self {
        let store = MetaStore::new();
        store.put("config", "main", config(1));
        Self {
            executor: start_threads("standin", 2),
            store,
            journal: Arc::default(),
            nodes: Vec::new(),
            client: HttpClient::new(),
        }
    }

    pub(crate) fn target(&self, id: &str, service: &str, role: TargetRole) -> RouteTarget {
        RouteTarget::start(
            &self.executor,
            &self.store,
            &self.journal,
            id,
            service,
            role,
        )
        .expect("a free port")
    }

    /// Starts a node and waits until it accepts requests.
    pub(crate) fn node(&mut self, name: &str) -> usize {
        let number = self.node_unready(name);
        self.wait_ready(number);
        number
    }

    /// Starts a node in a hall of its own that finds the others only through the store, and waits
    /// until it accepts requests.
    pub(crate) fn node_in_hall(&mut self, name: &str, hall: &str) -> usize {
        let number = self.node_unready_in(name, hall);
        self.wait_ready(number);
        number
    }

    /// Starts such a node without waiting until it is ready.
    pub(crate) fn node_unready_in(&mut self, name: &str, hall: &str) -> usize {
        let (endpoint, store) = self
            .store
            .open_endpoint(&self.executor)
            .expect("a free port");
        let mut settings = settings(name, store, Vec::new());
        settings.hall = Arc::from(hall);
        self.start_node(settings, endpoint)
    }

    /// Starts a node with the given grace time of a planned stop, and waits until it accepts requests.
    pub(crate) fn node_with_grace(&mut self, name: &str, grace: Duration) -> usize {
        let (endpoint, store) = self
            .store
            .open_endpoint(&self.executor)
            .expect("a free port");
        let mut settings = settings(name, store, Vec::new());
        settings.stop_grace = grace;
        let number = self.start_node(settings, endpoint);
        self.wait_ready(number);
        number
    }

    /// Starts a node that reaches each target through a proxy of its own, and returns the proxies.
    pub(crate) fn node_behind(
        &mut self,
        name: &str,
        targets: &[RouteTarget],
    ) -> (usize, Vec<LinkProxy>) {
        let number = self.node_behind_unready(name, targets, |_| {});
        self.wait_ready(number.0);
        number
    }

    /// Starts such a node, after `prepare` was called for its proxies, without waiting until it is
    /// ready.
    pub(crate) fn node_behind_unready(
        &mut self,
        name: &str,
        targets: &[RouteTarget],
        prepare: impl FnOnce(&[LinkProxy]),
    ) -> (usize, Vec<LinkProxy>) {
        let (endpoint, store) = self
            .store
            .open_endpoint(&self.executor)
            .expect("a free port");
        let proxy = |target: &RouteTarget| LinkProxy::start(&self.executor, target.address());
        let links: Vec<LinkProxy> = targets
            .iter()
            .map(|target| proxy(target).expect("a free port"))
            .collect();
        prepare(&links);
        let peers = self.nodes.iter().map(|node| node.settings.inner);
        let mut settings = settings(name, store, peers.collect());
        let addresses = targets.iter().map(RouteTarget::address);
        settings.target_addresses = addresses
            .zip(links.iter().map(|link| link.address))
            .collect();
        (self.start_node(settings, endpoint), links)
    }

    fn wait_ready(&self, number: usize) {
        let node = &self.nodes[number];
        wait_until("the node is ready", || {
            node.node.as_ref().is_some_and(ServeNode::is_ready)
        });
    }

    /// Starts a node without waiting until it is ready.
    pub(crate) fn node_unready(&mut self, name: &str) -> usize {
        self.start_with_peers(name, EndpointState::Open)
    }

    /// Starts a node that the store refuses until its endpoint is opened.
    pub(crate) fn node_without_store(&mut self, name: &str) -> usize {
        self.start_with_peers(name, EndpointState::Unavailable)
    }

    fn start_with_peers(&mut self, name: &str, state: EndpointState) -> usize {
        let (endpoint, store) = self
            .store
            .open_endpoint(&self.executor)
            .expect("a free port");
        self.store.set_endpoint(endpoint, state);
        let peers = self.nodes.iter().map(|node| node.settings.inner);
        self.start_node(settings(name, store, peers.collect()), endpoint)
    }

    fn start_node(&mut self, settings: ServeSettings, endpoint: usize) -> usize {
        let node = ServeNode::start(settings).expect("free ports");
        let settings = node.settings().clone();
        self.nodes.push(SiteNode {
            node: Some(node),
            settings,
            endpoint,
        });
        self.nodes.len() - 1
    }

    /// Stops a node, starts a further process of it and waits until that accepts requests.
    pub(crate) fn restart(&mut self, number: usize) {
        let site_node = &mut self.nodes[number];
        site_node.node.take().expect("a node").stop();
        let ports = settings("", site_node.settings.store, Vec::new());
        let node = ServeNode::start(ServeSettings {
            is_first_start: false,
            listen: ports.listen,
            ready: ports.ready,
            inner: ports.inner,
            work: ports.work,
            metrics: ports.metrics,
            ..site_node.settings.clone()
        });
        let node = node.expect("free ports");
        site_node.settings = node.settings().clone();
        site_node.node = Some(node);
        self.wait_ready(number);
    }

    /// Sends a request to a node and reads the whole response.
    pub(crate) fn call(
        &self,
        node: usize,
        request: ClientRequest<'_>,
    ) -> Result<BufferedResponse, HttpError> {
        let to = self.nodes[node].settings.listen;
        let request = request.request(to);
        async_io::block_on(self.client.send(to, request, LIMIT))
    }

    /// Reads a node's metrics.
    pub(crate) fn metrics(&self, node: usize) -> String {
        self.metrics_at(self.nodes[node].settings.metrics)
    }

    /// Reads the metrics at an address.
    pub(crate) fn metrics_at(&self, to: SocketAddr) -> String {
        let request = HttpClient::request(Method::GET, to, "/metrics").expect("a path");
        let response = async_io::block_on(self.client.send(to, request, LIMIT));
        String::from_utf8(response.expect("metrics").body).expect("text")
    }

    /// Returns the status of a node's readiness check, as the platform sends it.
    pub(crate) fn readiness(&self, node: usize) -> u16 {
        let to = self.nodes[node].settings.ready;
        let request = HttpClient::request(Method::GET, to, "/v1/readiness").expect("a path");
        let response = async_io::block_on(self.client.send(to, request, LIMIT));
        response.expect("a response").status
    }

    /// Waits until all nodes know each other.
    pub(crate) fn settle(&self) {
        self.settle_with(self.nodes.len() - 1);
    }

    /// Waits until all nodes know the given number of others.
    pub(crate) fn settle_with(&self, others: usize) {
        for number in 0..self.nodes.len() {
            let line = format!("turnford_members {others}\n");
            wait_until("all nodes know each other", || {
                self.metrics(number).contains(&line)
            });
        }
    }
}

/// A client's request.
#[derive(Clone, Copy)]
pub(crate) struct ClientRequest<'a> {
    pub(crate) attempt: &'a str,
    pub(crate) path: &'a str,
    pub(crate) key: Option<&'a str>,
    pub(crate) headers: &'a [(&'a str, &'a str)],
    pub(crate) body: &'a str,
}

impl<'a> ClientRequest<'a> {
    /// Creates a request with a valid key.
    pub(crate) fn new(attempt: &'a str, path: &'a str) -> Self {
        Self {
            attempt,
            path,
            key: Some("key-skagen"),
            headers: &[],
            body: "",
        }
    }

    /// Returns the HTTP request to a node.
    pub(crate) fn request(&self, to: SocketAddr) -> HttpRequest {
        let mut request = HttpClient::request(Method::POST, to, self.path).expect("a path");
        request.insert_header("host", "site.example");
        request.insert_header("x-turnford-attempt-id", self.attempt);
        let sets_timeout = |(name, _): &(&str, &str)| *name == "x-turnford-deadline-ms";
        if !self.headers.iter().any(sets_timeout) {
            request.insert_header(
                "x-turnford-deadline-ms",
                CLIENT_TIMEOUT.as_millis().to_string(),
            );
        }
        if let Some(key) = self.key {
            request.insert_header("authorization", format!("Bearer {key}"));
        }
        for (name, value) in self.headers {
            request.insert_header(name, *value);
        }
        request.set_body(self.body);
        request
    }
}

/// Headers of a request with a prompt and pieces of two stages.
pub(crate) const STAGED: &[(&str, &str)] = &[
    ("x-turnford-model", "m"),
    ("x-turnford-token-counts", "1460,80"),
    (
        "x-turnford-prompt-prefix",
        "5c1e07a2:800,91bd3f06:410,e4402b7d:250",
    ),
    ("x-turnford-pieces", "2,3"),
    ("x-turnford-piece-key", "7c1e07a291bd"),
];

/// Returns settings with ports chosen by the system.
pub(crate) fn settings(name: &str, store: SocketAddr, peers: Vec<SocketAddr>) -> ServeSettings {
    ServeSettings {
        name: Arc::from(name),
        hall: Arc::from("hal-a"),
        region: Arc::from("dk-vest"),
        listen: free_address(),
        ready: free_address(),
        inner: free_address(),
        work: free_address(),
        metrics: free_address(),
        store,
        peers,
        is_first_start: true,
        stop_grace: Duration::from_secs(6),
        target_addresses: BTreeMap::new(),
        retries: RetrySettings {
            window: Duration::from_secs(10),
            ratio: 0.2,
            slack: 40.0,
        },
        log: LogSettings {
            level: LogLevel::Info,
            file: None,
        },
    }
}

/// Returns an address with a port chosen by the system.
fn free_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Returns a configuration with the given version.
pub(crate) fn config(version: u64) -> Value {
    json!({
        "version": version,
        "routes": [
            route("hold", "/hold/", "unsafe", "booking", 1, &json!([])),
            route("pay", "/pay/", "safe", "booking", 2, &json!([])),
            route("book", "/book/", "unsafe", "booking", 3, &json!([])),
            short_route("hold-soon", "unsafe", "booking", 1),
            short_route("pay-soon", "safe", "booking", 2),
            short_route("draft-soon", "streaming", "sprog", 1),
            route("draft", "/draft/", "streaming", "sprog", 1, &json!([])),
            route("chat", "/chat/", "streaming", "sprog", 2, &json!([
                { "service": "kort", "after_revision": [], "byte_count": 8000 },
                { "service": "ejer", "after_revision": [0], "byte_count": 60000 },
            ])),
        ],
        "services": [
            { "name": "booking", "health_check_path": "/health", "connection_limit": 96 },
            { "name": "sprog", "health_check_path": "/health", "connection_limit": 600,
              "inference_engine": { "slots": 128, "kv_cache_tokens": 286_093 } },
            stage_service("kort", 8),
            stage_service("ejer", 22),
        ],
        "limits": { "max_header_bytes": 16384, "max_body_bytes": 4096,
                    "header_timeout_ms": 3000, "idle_timeout_ms": 15000 },
        "tenants": [
            { "name": "skagen", "api_keys": ["key-skagen"], "priority": 1 },
            { "name": "fyn", "api_keys": ["key-fyn"], "priority": 0 },
        ],
    })
}

fn route(name: &str, prefix: &str, kind: &str, service: &str, limit: u32, stages: &Value) -> Value {
    json!({
        "name": name, "host": "site.example", "path_prefix": prefix, "kind": kind,
        "timeout_ms": 9000, "target_latency_ms": 3000, "priority": 1, "service": service,
        "max_attempts": limit, "stages": stages, "allow_anonymous": false,
        "resumable": name == "chat", "target_gap_ms": 500,
    })
}

/// Returns a route whose prefix is its name and whose timeout is [`SHORT_TIMEOUT`].
fn short_route(name: &str, kind: &str, service: &str, limit: u32) -> Value {
    let prefix = format!("/{name}/");
    let mut route = route(name, &prefix, kind, service, limit, &json!([]));
    route["timeout_ms"] = json!(SHORT_TIMEOUT.as_millis());
    route
}

fn stage_service(name: &str, batch: u32) -> Value {
    json!({
        "name": name, "health_check_path": "/health", "connection_limit": 600,
        "pieces": { "slots": 1, "queue": 2, "batch": batch, "call_ms": 30.0, "item_ms": 1.0,
                    "headroom_mb": 18.0, "handle_s": 4.0, "link_mbps": 10000 },
    })
}

/// Waits until a condition holds.
pub(crate) fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let started_at = Instant::now();
    while !holds() {
        assert!(started_at.elapsed() < LIMIT, "not within {LIMIT:?}: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Returns a response's body as text.
pub(crate) fn text(response: &BufferedResponse) -> String {
    String::from_utf8(response.body.clone()).expect("text")
}
