//! The routes of `turnford demo`: a store, targets and nodes in this process.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use turnford_config::LogLevel;
use turnford_config::LogSettings;
use turnford_config::RetrySettings;
use turnford_config::ServeSettings;
use turnford_http::HttpClient;
use turnford_serve::ServeNode;
use turnford_standin::RouteSite;
use turnford_standin::RunKind;
use turnford_standin::SharedExecutor;

/// Configuration of the demo's routes.
const CONFIG: &str = include_str!("../../../../scenarios/routes.json");

/// Nodes of the demo.
const NODE_COUNT: usize = 3;

/// Time-out until all nodes are ready, and of a request.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Interval between readiness checks.
const READY_INTERVAL: Duration = Duration::from_millis(10);

/// Grace period of the demo's nodes; short, as no request is running when they stop.
const STOP_GRACE: Duration = Duration::from_secs(1);

/// Starts the routes' site and prints a request for each route.
pub(super) async fn show_routes(executor: &SharedExecutor) -> Result<(), String> {
    let site = RouteSite::start(CONFIG, executor).map_err(|error| error.to_string())?;
    let mut nodes = Vec::new();
    let mut addresses = Vec::new();
    for number in 0..NODE_COUNT {
        let node = ServeNode::start(settings(number, site.address));
        let node = node.map_err(|error| error.to_string())?;
        addresses.push(node.settings().listen);
        nodes.push(node);
    }
    wait_ready(&nodes).await?;
    println!("routes: {NODE_COUNT} nodes, {} targets", site.targets.len());
    let client = HttpClient::new();
    for (number, call) in site.calls().iter().enumerate() {
        let to = addresses[number % addresses.len()];
        let attempt = format!("demo{number:012x}");
        let request = call.request(to, &attempt);
        let request = request.map_err(|error| error.to_string())?;
        let started_at = Instant::now();
        let response = client.send(to, request, TIMEOUT).await;
        let response = response.map_err(|error| format!("{}: {error}", call.name))?;
        println!(
            "  {} at node {}: status {}, {} bytes, {:.0} ms",
            call.name,
            number % NODE_COUNT,
            response.status,
            response.body.len(),
            started_at.elapsed().as_secs_f64() * 1000.0
        );
        show_runs(&site, &attempt);
        if response.status != 200 {
            return Err(format!("{}: status {}", call.name, response.status));
        }
    }
    for node in nodes {
        node.drain().await;
        node.stop();
    }
    Ok(())
}

/// Prints the runs that the targets recorded for a request.
fn show_runs(site: &RouteSite, attempt: &str) {
    for run in site.journal.runs_of(attempt) {
        match run.kind {
            RunKind::Piece { stage, piece, call } => {
                println!(
                    "    stage {stage} piece {piece} at {}, call {call}",
                    run.target
                );
            }
            RunKind::Request => println!("    the request at {}", run.target),
            RunKind::Release(_) => {}
        }
    }
}

async fn wait_ready(nodes: &[ServeNode]) -> Result<(), String> {
    let started_at = Instant::now();
    while !nodes.iter().all(ServeNode::is_ready) {
        if started_at.elapsed() > TIMEOUT {
            return Err("the nodes for routes are not ready".to_owned());
        }
        Timer::after(READY_INTERVAL).await;
    }
    Ok(())
}

fn settings(number: usize, store: SocketAddr) -> ServeSettings {
    // With port 0 the system chooses the ports.
    let free = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    ServeSettings {
        name: Arc::from(format!("route-{number}")),
        hall: Arc::from("hal-a"),
        region: Arc::from("dk-vest"),
        listen: free,
        ready: free,
        inner: free,
        work: free,
        metrics: free,
        store,
        peers: Vec::new(),
        is_first_start: true,
        stop_grace: STOP_GRACE,
        target_addresses: BTreeMap::new(),
        retries: RetrySettings::default(),
        log: LogSettings {
            level: LogLevel::Info,
            file: None,
        },
    }
}
