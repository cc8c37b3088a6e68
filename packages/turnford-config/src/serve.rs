//! Settings of a node that serves the routes in the platform's configuration.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::reader::read_file;
use crate::reader::TableReader;
use crate::settings::read_log;
use crate::ConfigError;
use crate::LogLevel;
use crate::LogSettings;

/// Description of a valid address.
const ADDRESS: &str = "an IP number and port, as 127.0.0.1:7000";

/// Retry budget of a service in a sliding window, over the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetrySettings {
    /// Length of the sliding window.
    pub window: Duration,
    /// Retries allowed per request to the service.
    pub ratio: f64,
    /// Retries allowed per window in addition to the ratio.
    pub slack: f64,
}

impl Default for RetrySettings {
    /// Returns a budget of a tenth of the requests plus ten, as nodes of the pipeline interface
    /// use.
    fn default() -> Self {
        Self {
            window: Duration::from_secs(10),
            ratio: 0.1,
            slack: 10.0,
        }
    }
}

/// Settings of one node that serves routes, as read from its settings file.
#[derive(Clone, Debug, PartialEq)]
pub struct ServeSettings {
    /// Name, unique in the fleet.
    pub name: Arc<str>,
    /// Hall that the VM is in.
    pub hall: Arc<str>,
    /// Region that the hall is in.
    pub region: Arc<str>,
    /// Address for clients.
    pub listen: SocketAddr,
    /// Address of the platform's readiness checks.
    pub ready: SocketAddr,
    /// Address for the control traffic of other nodes.
    pub inner: SocketAddr,
    /// Address for work that other nodes forward to this one.
    pub work: SocketAddr,
    /// Address that serves metrics and status.
    pub metrics: SocketAddr,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Addresses of other nodes to contact while the store is unavailable; may be empty or out of
    /// date.
    pub peers: Vec<SocketAddr>,
    /// Whether the whole fleet starts for the first time, so that nothing is older than this process.
    pub is_first_start: bool,
    /// Time from the stop signal until the process is killed.
    pub stop_grace: Duration,
    /// Addresses at which this VM connects to targets, by their listed addresses, where the two
    /// differ because of an address translation. A target that is not named here is reached at its
    /// listed address.
    pub target_addresses: BTreeMap<SocketAddr, SocketAddr>,
    /// Retry budget of each service.
    pub retries: RetrySettings,
    /// Logging.
    pub log: LogSettings,
}

impl ServeSettings {
    /// Returns whether a text appears to be settings of this kind: only they have a `store` or
    /// `work` field.
    pub fn is_serve_settings(text: &str) -> bool {
        let mut lines = text.lines().map(str::trim_start);
        lines.any(|line| line.starts_with("store") || line.starts_with("work"))
    }

    /// Parses a settings file.
    ///
    /// # Errors
    ///
    /// Returns all errors in the file.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<ConfigError>> {
        read_file(file, text, read_settings)
    }

    /// Returns the address at which this VM connects to a target with the given listed address.
    pub fn target_address(&self, listed: SocketAddr) -> SocketAddr {
        let translated = self.target_addresses.get(&listed);
        translated.copied().unwrap_or(listed)
    }
}

fn read_settings(reader: &TableReader<'_>) -> Option<ServeSettings> {
    let name = reader.name("name");
    let hall = reader.name("hall");
    let region = reader.name("region");
    let listen = reader.parsed("listen", ADDRESS);
    let ready = reader.parsed("ready", ADDRESS);
    let inner = reader.parsed("inner", ADDRESS);
    let work = reader.parsed("work", ADDRESS);
    let metrics = reader.parsed("metrics", ADDRESS);
    let store = reader.parsed("store", ADDRESS);
    let peers = reader.parsed_list("peers", ADDRESS);
    let is_first_start = reader.flag_or("first_start", false);
    let stop_grace = reader.number_or("stop_grace_s", 0.0..=3600.0, 8.0);
    let target_addresses = reader.parsed_map("target_addresses", ADDRESS);
    let retries = reader.table("repeats", read_retries);
    let log = reader.table("log", read_log);
    Some(ServeSettings {
        name: Arc::from(name?),
        hall: Arc::from(hall?),
        region: Arc::from(region?),
        listen: listen?,
        ready: ready?,
        inner: inner?,
        work: work?,
        metrics: metrics?,
        store: store?,
        peers,
        is_first_start,
        stop_grace: Duration::from_secs_f64(stop_grace),
        target_addresses,
        retries: retries.unwrap_or_default(),
        log: log.unwrap_or(LogSettings {
            level: LogLevel::Info,
            file: None,
        }),
    })
}

fn read_retries(reader: &TableReader<'_>) -> Option<RetrySettings> {
    let default = RetrySettings::default();
    let window = reader.number_or("window_s", 0.1..=3600.0, default.window.as_secs_f64());
    let ratio = reader.number_or("ratio", 0.0..=10.0, default.ratio);
    let slack = reader.number_or("slack", 0.0..=1_000_000.0, default.slack);
    Some(RetrySettings {
        window: Duration::from_secs_f64(window),
        ratio,
        slack,
    })
}
