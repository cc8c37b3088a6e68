//! Open connections that stop responding without a reset are detected and replaced.

mod common;

use std::time::Duration;
use std::time::Instant;

use common::config;
use common::settings;
use common::wait_until;
use common::RouteSite;
use common::QUICK;
use turnford_serve::ServeNode;
use turnford_standin::LinkProxy;

/// Time within which a change must be in force: the longest watch, its margin, and the next call.
const MAX_DELAY: Duration = Duration::from_secs(6);

#[test]
fn store_muted() {
    let site = RouteSite::new();
    let _target = site.target("b1", "booking", QUICK);
    let (_, store) = site
        .store
        .open_endpoint(&site.executor)
        .expect("a free port");
    let link = LinkProxy::start(&site.executor, store).expect("a free port");
    let node = ServeNode::start(settings("one", link.address, Vec::new())).expect("free ports");
    wait_until("the node is ready", || node.is_ready());
    for version in 2..5 {
        link.blackhole_open();
        let started_at = Instant::now();
        site.store.put("config", "main", config(version));
        let line = format!("turnford_config_version {version}\n");
        wait_until("the change is in force", || {
            site.metrics_at(node.settings().metrics).contains(&line)
        });
        let taken = started_at.elapsed();
        assert!(taken < MAX_DELAY, "in force after {taken:?}");
    }
}
