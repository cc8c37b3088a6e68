//! Stand-in for the platform's load balancer: prefers ready nodes, and tries another node if a
//! connection can't be established.

use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use http::Method;
use turnford_http::HttpClient;

use crate::SharedExecutor;

/// Interval between readiness checks of a node.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Time-out of a readiness check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// Round-robin selection of nodes, ready ones first.
pub(crate) struct LoadBalancer {
    nodes: Vec<(SocketAddr, AtomicBool)>,
    next: AtomicUsize,
}

impl LoadBalancer {
    /// Starts with all nodes assumed ready, and checks their readiness periodically.
    pub(crate) fn start(nodes: &[SocketAddr], executor: &SharedExecutor) -> Arc<Self> {
        let nodes = nodes
            .iter()
            .map(|node| (*node, AtomicBool::new(true)))
            .collect();
        let next = AtomicUsize::new(0);
        let balancer = Arc::new(Self { nodes, next });
        for number in 0..balancer.nodes.len() {
            let checked = Arc::downgrade(&balancer);
            let check = async move {
                let client = HttpClient::new();
                while let Some(balancer) = checked.upgrade() {
                    balancer.check(number, &client).await;
                    drop(balancer);
                    Timer::after(CHECK_INTERVAL).await;
                }
            };
            executor.spawn(check).detach();
        }
        balancer
    }

    /// Returns the nodes in the order in which a request should try them.
    pub(crate) fn order(&self) -> Vec<SocketAddr> {
        let count = self.nodes.len();
        let next = self.next.fetch_add(1, Ordering::Relaxed);
        let rotated = (0..count).map(|step| &self.nodes[(next + step) % count]);
        let (ready, others): (Vec<_>, Vec<_>) =
            rotated.partition(|(_, ready)| ready.load(Ordering::Relaxed));
        ready
            .into_iter()
            .chain(others)
            .map(|(node, _)| *node)
            .collect()
    }

    async fn check(&self, number: usize, client: &HttpClient) {
        let (node, ready) = &self.nodes[number];
        let response = match HttpClient::request(Method::GET, *node, "/readyz") {
            Ok(request) => client.send(*node, request, CHECK_TIMEOUT).await,
            Err(error) => Err(error),
        };
        ready.store(
            response.is_ok_and(|response| response.status == 200),
            Ordering::Relaxed,
        );
    }
}
