//! The platform's balancer, as far as the load tool needs it: it sends to nodes that are ready, and
//! to another one where no connection can be made.

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

/// Pause between looks at each node.
const CHECK_PAUSE: Duration = Duration::from_millis(250);

/// Longest wait for a node's word.
const CHECK_LIMIT: Duration = Duration::from_millis(500);

/// Nodes in turn, those that are ready first.
pub(crate) struct LoadBalancer {
    nodes: Vec<(SocketAddr, AtomicBool)>,
    turn: AtomicUsize,
}

impl LoadBalancer {
    /// Starts with all nodes taken for ready, and keeps asking them.
    pub(crate) fn start(nodes: &[SocketAddr], executor: &SharedExecutor) -> Arc<Self> {
        let nodes = nodes
            .iter()
            .map(|node| (*node, AtomicBool::new(true)))
            .collect();
        let turn = AtomicUsize::new(0);
        let balancer = Arc::new(Self { nodes, turn });
        for number in 0..balancer.nodes.len() {
            let checked = Arc::downgrade(&balancer);
            let check = async move {
                let client = HttpClient::new();
                while let Some(balancer) = checked.upgrade() {
                    balancer.check(number, &client).await;
                    drop(balancer);
                    Timer::after(CHECK_PAUSE).await;
                }
            };
            executor.spawn(check).detach();
        }
        balancer
    }

    /// Returns the nodes in the order in which a request should try them.
    pub(crate) fn order(&self) -> Vec<SocketAddr> {
        let count = self.nodes.len();
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        let turned = (0..count).map(|step| &self.nodes[(turn + step) % count]);
        let (ready, others): (Vec<_>, Vec<_>) =
            turned.partition(|(_, ready)| ready.load(Ordering::Relaxed));
        ready
            .into_iter()
            .chain(others)
            .map(|(node, _)| *node)
            .collect()
    }

    async fn check(&self, number: usize, client: &HttpClient) {
        let (node, ready) = &self.nodes[number];
        let answer = match HttpClient::request(Method::GET, *node, "/readyz") {
            Ok(request) => client.send(*node, request, CHECK_LIMIT).await,
            Err(fault) => Err(fault),
        };
        ready.store(
            answer.is_ok_and(|answer| answer.status == 200),
            Ordering::Relaxed,
        );
    }
}
