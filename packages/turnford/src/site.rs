//! A complete site in one process: stand-ins, nodes and the files of a customer association.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use turnford_config::ConfigObject;
use turnford_config::LogLevel;
use turnford_config::LogSettings;
use turnford_config::NodeSettings;
use turnford_node::Node;
use turnford_node::NodeOptions;
use turnford_platform::CallBudget;
use turnford_platform::ObjectClient;
use turnford_policy::SystemClock;
use turnford_standin::Scenario;
use turnford_standin::SharedExecutor;
use turnford_standin::StandinFleet;

use crate::operator::change_object;
use crate::operator::ChangeOutcome;
use crate::operator::ChangeRequest;

/// Time-out until all nodes are ready. Longer than a node waits for its limit shares, as a start on a
/// busy machine can take that long.
const READY_TIMEOUT: Duration = Duration::from_secs(40);

/// Call rate limit of an operator's tool at the platform, in calls per second.
const TOOL_CALL_RATE: f64 = 200.0;

/// A template or account file of an association.
pub struct SiteFile {
    /// Name used in error messages.
    pub name: String,
    /// Content in TOML.
    pub text: String,
}

/// Running stand-ins and nodes.
pub struct LocalSite {
    /// Stand-ins for the external systems.
    pub standins: StandinFleet,
    /// Nodes, all ready.
    pub nodes: Vec<Node>,
}

/// Creates an object client with the call budget of an operator's tool.
pub fn tool_client(objects: SocketAddr) -> ObjectClient {
    let clock = Arc::new(SystemClock::new());
    ObjectClient::new(objects, Arc::new(CallBudget::new(TOOL_CALL_RATE, clock)))
}

/// Reads the templates and accounts of a scenario from the directory beside the scenario file that
/// has the same name without the extension.
pub(crate) fn read_site_files(scenario: &Path) -> Result<Vec<SiteFile>, String> {
    let folder = scenario.with_extension("");
    let mut files = Vec::new();
    for part in ["templates", "accounts"] {
        let part = folder.join(part);
        let list =
            std::fs::read_dir(&part).map_err(|error| format!("{}: {error}", part.display()))?;
        let mut paths: Vec<_> = list.flatten().map(|entry| entry.path()).collect();
        paths.sort();
        for path in paths {
            let name = path.display().to_string();
            let text =
                std::fs::read_to_string(&path).map_err(|error| format!("{name}: {error}"))?;
            files.push(SiteFile { name, text });
        }
    }
    Ok(files)
}

impl LocalSite {
    /// Starts everything on loopback and waits until all nodes are ready.
    ///
    /// # Errors
    ///
    /// Returns a message if a component can't start or the nodes don't become ready in time.
    pub async fn start(
        scenario: &Scenario,
        files: &[SiteFile],
        node_count: usize,
        options: &NodeOptions,
        executor: &SharedExecutor,
    ) -> Result<Self, String> {
        let standins = StandinFleet::start(scenario, 0, 0, executor)
            .map_err(|error| format!("stand-ins: {error}"))?;
        apply_files(&tool_client(standins.objects), files).await?;
        let mut nodes = Vec::new();
        for number in 0..node_count {
            let settings = node_settings(scenario, &standins, node_count, number);
            let node = Node::start(settings, options.clone());
            nodes.push(node.map_err(|error| format!("node {number}: {error}"))?);
        }
        let site = Self { standins, nodes };
        site.wait_ready().await?;
        Ok(site)
    }

    /// Returns the client-facing addresses of the nodes.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.nodes.iter().map(Node::address).collect()
    }

    async fn wait_ready(&self) -> Result<(), String> {
        let started_at = Instant::now();
        while !self.nodes.iter().all(Node::is_ready) {
            if started_at.elapsed() > READY_TIMEOUT {
                return Err("the nodes did not become ready".to_owned());
            }
            Timer::after(Duration::from_millis(10)).await;
        }
        Ok(())
    }
}

async fn apply_files(objects: &ObjectClient, files: &[SiteFile]) -> Result<(), String> {
    for file in files {
        let object = ConfigObject::parse(&file.name, &file.text).map_err(|errors| {
            let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
            lines.join("\n")
        })?;
        let request = ChangeRequest {
            key: &object.key(),
            text: Some(file.text.clone()),
            author: "site",
            expected: None,
        };
        match change_object(objects, request).await {
            ChangeOutcome::Accepted(_) | ChangeOutcome::Unchanged(_) => (),
            other => return Err(format!("{}: {other}", file.name)),
        }
    }
    Ok(())
}

fn node_settings(
    scenario: &Scenario,
    standins: &StandinFleet,
    node_count: usize,
    number: usize,
) -> NodeSettings {
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let hall = &scenario.halls[number % scenario.halls.len()];
    NodeSettings {
        name: Arc::from(format!("{}-node-{number}", scenario.name)),
        hall: Arc::from(hall.as_str()),
        region: Arc::from(scenario.region.as_str()),
        listen: any_port,
        inner: any_port,
        objects: standins.objects,
        vms: standins.control,
        peers: Vec::new(),
        fleet_size: node_count as u32,
        threads: 2,
        queue_limit: 512,
        platform_call_rate: 50.0,
        drain_timeout: Duration::from_secs(10),
        log: LogSettings {
            level: LogLevel::Warn,
            file: None,
        },
    }
}
