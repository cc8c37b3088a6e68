//! A small site of the users' platform in this process: its store, the targets of a configuration, and
//! the requests of a client.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::Method;
use serde_json::Value;
use turnford_http::HttpClient;
use turnford_http::HttpError;
use turnford_http::HttpRequest;

use super::meta::MetaStore;
use super::run::RouteJournal;
use super::target::RouteTarget;
use super::target::TargetRole;
use crate::SharedExecutor;

/// Targets of each service.
const TARGET_COUNT: usize = 2;

/// Deadline of the site's client requests, in milliseconds.
const CLIENT_TIMEOUT_MS: &str = "8000";

/// A running site without nodes.
pub struct RouteSite {
    /// The store.
    pub store: MetaStore,
    /// Address of the store.
    pub address: SocketAddr,
    /// Runs of the targets.
    pub journal: Arc<RouteJournal>,
    /// The targets.
    pub targets: Vec<RouteTarget>,
    config: Value,
}

/// A call of a route by a client of the site.
#[derive(Clone, Debug)]
pub struct RouteCall {
    /// Name of the route.
    pub name: String,
    host: String,
    path: String,
    pieces: String,
    key: String,
}

impl RouteSite {
    /// Starts the store with a configuration, and two targets for each of its services.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not valid JSON or no port can be bound.
    pub fn start(config: &str, executor: &SharedExecutor) -> io::Result<Self> {
        let config: Value = serde_json::from_str(config).map_err(io::Error::other)?;
        let store = MetaStore::new();
        let (_, address) = store.open_endpoint(executor)?;
        let journal = Arc::new(RouteJournal::default());
        let mut targets = Vec::new();
        for service in config["services"].as_array().into_iter().flatten() {
            let name = service["name"].as_str().unwrap_or("");
            for number in 0..TARGET_COUNT {
                let id = format!("{name}-{number}");
                let role = role_of(service);
                targets.push(RouteTarget::start(
                    executor, &store, &journal, &id, name, role,
                )?);
            }
        }
        store.put("config", "main", config.clone());
        Ok(Self {
            store,
            address,
            journal,
            targets,
            config,
        })
    }

    /// Returns a call for each route.
    pub fn calls(&self) -> Vec<RouteCall> {
        let key = self.config["tenants"][0]["api_keys"][0].as_str();
        let routes = self.config["routes"].as_array().into_iter().flatten();
        let calls = routes.map(|route| {
            let text = |field: &str| route[field].as_str().unwrap_or("").to_owned();
            let stages = route["stages"].as_array().map_or(0, Vec::len);
            RouteCall {
                name: text("name"),
                host: text("host"),
                path: text("path_prefix"),
                pieces: vec!["2"; stages].join(","),
                key: key.unwrap_or("").to_owned(),
            }
        });
        calls.collect()
    }
}

impl RouteCall {
    /// Creates the request to a node; `attempt` must be unique.
    ///
    /// # Errors
    ///
    /// Returns an error if the route's path is invalid.
    pub fn request(&self, to: SocketAddr, attempt: &str) -> Result<HttpRequest, HttpError> {
        let mut request = HttpClient::request(Method::POST, to, &self.path)?;
        request.insert_header("host", self.host.as_str());
        request.insert_header("authorization", format!("Bearer {}", self.key));
        request.insert_header("x-turnford-attempt-id", attempt);
        request.insert_header("x-turnford-deadline-ms", CLIENT_TIMEOUT_MS);
        request.insert_header("x-turnford-model", "m");
        request.insert_header("x-turnford-token-counts", "1460,80");
        let segments = "5c1e07a2:800,91bd3f06:410,e4402b7d:250";
        request.insert_header("x-turnford-prompt-prefix", segments);
        if !self.pieces.is_empty() {
            request.insert_header("x-turnford-pieces", self.pieces.as_str());
            request.insert_header("x-turnford-piece-key", "7c1e07a291bd");
        }
        Ok(request)
    }
}

/// Returns the role of a service's targets according to the configuration.
fn role_of(service: &Value) -> TargetRole {
    let millis = |value: &Value| {
        let millis = value.as_f64().unwrap_or(0.0).max(0.0);
        Duration::from_secs_f64(millis / 1000.0)
    };
    if let Some(pieces) = service.get("pieces") {
        return TargetRole::Stage {
            call_overhead: millis(&pieces["call_ms"]),
            piece_time: millis(&pieces["item_ms"]),
        };
    }
    if service.get("inference_engine").is_some() {
        return TargetRole::Engine {
            first_event: Duration::from_millis(80),
            event_gap: Duration::from_millis(20),
            events: 8,
        };
    }
    TargetRole::Plain(Duration::from_millis(15))
}
