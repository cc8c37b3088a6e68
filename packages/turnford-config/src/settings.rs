//! Settings of a node that runs pipelines.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use crate::reader::read_file;
use crate::reader::TableReader;
use crate::ConfigError;

/// Default for [`NodeSettings::threads`].
const DEFAULT_THREADS: i64 = 2;

/// Destination and level of log lines.
#[derive(Clone, Debug, PartialEq)]
pub struct LogSettings {
    /// Least severe level that is written.
    pub level: LogLevel,
    /// Log file; `None` for standard error.
    pub file: Option<PathBuf>,
}

/// Least severe level of log lines that is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogLevel {
    /// Errors only.
    Error,
    /// Also conditions that an operator should look into.
    Warn,
    /// Also state changes and one line per request.
    Info,
    /// Also details.
    Debug,
}

/// Names of the log levels in settings files.
const LEVEL_NAMES: [(&str, LogLevel); 4] = [
    ("error", LogLevel::Error),
    ("warn", LogLevel::Warn),
    ("info", LogLevel::Info),
    ("debug", LogLevel::Debug),
];

/// Settings of one node, as read from its settings file.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeSettings {
    /// Name, unique in the fleet.
    pub name: Arc<str>,
    /// Hall that the VM is in.
    pub hall: Arc<str>,
    /// Region that the hall is in.
    pub region: Arc<str>,
    /// Address for clients.
    pub listen: SocketAddr,
    /// Address for the other nodes.
    pub inner: SocketAddr,
    /// Address of the platform's object API.
    pub objects: SocketAddr,
    /// Address of the platform's VM list.
    pub vms: SocketAddr,
    /// Addresses of other nodes to contact while the platform is unavailable; may be empty.
    pub peers: Vec<SocketAddr>,
    /// Maximum number of nodes that the fleet ever has; determines each node's minimum share of
    /// every limit.
    pub fleet_size: u32,
    /// Number of request threads.
    pub threads: usize,
    /// Maximum number of queued work items per service.
    pub queue_limit: usize,
    /// Maximum rate of calls to the platform, in calls per second.
    pub platform_call_rate: f64,
    /// Longest time that a graceful shutdown waits for running requests.
    pub drain_timeout: Duration,
    /// Logging.
    pub log: LogSettings,
}

impl NodeSettings {
    /// Parses a settings file.
    ///
    /// # Errors
    ///
    /// Returns all errors in the file.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<ConfigError>> {
        read_file(file, text, read_settings)
    }
}

fn read_settings(reader: &TableReader<'_>) -> Option<NodeSettings> {
    const ADDRESS: &str = "an IP number and port, as 127.0.0.1:7000";
    let name = reader.name("name");
    let hall = reader.name("hall");
    let region = reader.name("region");
    let listen = reader.parsed("listen", ADDRESS);
    let inner = reader.parsed("inner", ADDRESS);
    let objects = reader.parsed("objects", ADDRESS);
    let vms = reader.parsed("vms", ADDRESS);
    let peers = reader.parsed_list("peers", ADDRESS);
    let fleet_size = reader.integer_or("fleet_size", 1..=10_000, 8);
    let threads = reader.integer_or("threads", 1..=64, DEFAULT_THREADS);
    let queue_limit = reader.integer_or("hold_limit", 1..=100_000, 512);
    let platform_call_rate = reader.number_or("platform_calls_per_second", 0.1..=1000.0, 50.0);
    let drain = reader.integer_or("drain_ms", 0..=600_000, 10_000);
    let log = reader.table("log", read_log);
    Some(NodeSettings {
        name: Arc::from(name?),
        hall: Arc::from(hall?),
        region: Arc::from(region?),
        listen: listen?,
        inner: inner?,
        objects: objects?,
        vms: vms?,
        peers,
        fleet_size: fleet_size as u32,
        threads: threads as usize,
        queue_limit: queue_limit as usize,
        platform_call_rate,
        drain_timeout: Duration::from_millis(drain as u64),
        log: log.unwrap_or(LogSettings {
            level: LogLevel::Info,
            file: None,
        }),
    })
}

pub(crate) fn read_log(reader: &TableReader<'_>) -> Option<LogSettings> {
    let level = reader.choice("level", &LEVEL_NAMES);
    let file = reader.optional_text("file").map(PathBuf::from);
    Some(LogSettings {
        level: level?,
        file,
    })
}
