//! Nodes that lose the links to all targets while clients, the store and the other nodes reach them.
//!
//!
//! Guards against nodes that serve only what they reach themselves, and against nodes that take what
//! another node can't reach for down. Nodes without targets served 2 of 38 and 21 of 79 requests at
//! the first attempt.

mod common;

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use common::wait_until;
use common::ClientRequest;
use common::RouteSite;
use common::ENGINE;
use common::QUICK;
use common::STAGE;
use common::STAGED;
use turnford_standin::LinkCut;
use turnford_standin::LinkProxy;
use turnford_standin::RouteTarget;
use turnford_standin::RunKind;
use turnford_standin::TargetRole;

/// Time after the begin of a cut from which the nodes must serve.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Time after the end of a cut from which the nodes must call targets themselves again.
const HEAL_TIME: Duration = Duration::from_secs(2);

/// Length of the period that is measured.
const PERIOD: Duration = Duration::from_secs(3);

/// First attempts a second at each node.
const RATE: f64 = 8.0;

/// Minimum ratio of requests that are served.
const MIN_SERVED_RATIO: f64 = 0.97;

/// Maximum time for which a request may be held that is not served in the end.
const MAX_HOLD: Duration = Duration::from_millis(500);

/// Tolerance for the time between a client and a node on a busy machine.
const TRANSIT_TOLERANCE: Duration = Duration::from_millis(100);

/// Deadline of clients, in milliseconds.
const DEADLINE_MS: &str = "4000";

/// A request of a client.
#[derive(Clone, Debug)]
struct Sent {
    at: Instant,
    held: Duration,
    node: usize,
    status: u16,
    retry_after: Option<f64>,
    is_complete: bool,
}

/// A site whose nodes reach targets through links of their own.
struct CutSite {
    site: RouteSite,
    targets: Vec<RouteTarget>,
    /// Links to the targets by node.
    links: Vec<Vec<LinkProxy>>,
}

impl CutSite {
    fn new(nodes: usize, targets: &[(&str, &str, TargetRole)]) -> Self {
        let mut site = RouteSite::new();
        let targets: Vec<RouteTarget> = targets
            .iter()
            .map(|(id, service, role)| site.target(id, service, role.clone()))
            .collect();
        let links = (0..nodes)
            .map(|number| site.node_behind(&format!("node-{number}"), &targets).1)
            .collect();
        site.settle();
        Self {
            site,
            targets,
            links,
        }
    }

    fn cut(&self, nodes: &[usize], cut: LinkCut) {
        for link in nodes.iter().flat_map(|node| &self.links[*node]) {
            link.cut(cut).expect("a port");
        }
    }

    fn heal(&self, nodes: &[usize]) {
        for link in nodes.iter().flat_map(|node| &self.links[*node]) {
            link.heal().expect("a port");
        }
    }

    /// Sends requests to all nodes without waiting for earlier ones.
    fn send(&self, path: &str, headers: &[(&str, &str)], duration: Duration) -> Vec<Sent> {
        let nodes = self.links.len();
        let sent = Mutex::new(Vec::new());
        let started_at = Instant::now();
        std::thread::scope(|scope| {
            for number in 0.. {
                let due = Duration::from_secs_f64(f64::from(number) / RATE / nodes as f64);
                if due >= duration {
                    break;
                }
                std::thread::sleep((started_at + due).saturating_duration_since(Instant::now()));
                let sent = &sent;
                scope.spawn(move || {
                    let ended = self.send_one(number as usize % nodes, path, headers);
                    sent.lock().expect("no panic").push(ended);
                });
            }
        });
        sent.into_inner().expect("no panic")
    }

    fn send_one(&self, node: usize, path: &str, headers: &[(&str, &str)]) -> Sent {
        static ATTEMPTS: AtomicU64 = AtomicU64::new(0);
        let at = Instant::now();
        let attempt = format!("a{}", ATTEMPTS.fetch_add(1, Ordering::SeqCst));
        let headers = [headers, &[("x-turnford-deadline-ms", DEADLINE_MS)]].concat();
        let request = ClientRequest {
            headers: &headers,
            ..ClientRequest::new(&attempt, path)
        };
        let response = self.site.call(node, request);
        let retry_after = response.as_ref().ok().and_then(|response| {
            let retry_after = response.header("retry-after")?;
            retry_after.parse().ok()
        });
        let is_complete = response.as_ref().is_ok_and(|response| {
            let text = common::text(response);
            text == format!("answer to {attempt}") || text.contains("token 5")
        });
        Sent {
            at,
            held: at.elapsed(),
            node,
            status: response.map_or(0, |response| response.status),
            retry_after,
            is_complete,
        }
    }

    /// Cuts some nodes while requests are sent, and asserts that those sent later than
    /// [`CONTACT_TIME`] are served at all nodes, and after the cut, too.
    fn assert_served(&self, cut_nodes: &[usize], cut: LinkCut, path: &str, staged: bool) {
        let headers = if staged { STAGED } else { &[] };
        self.send(path, headers, Duration::from_secs(1));
        self.cut(cut_nodes, cut);
        let cut_at = Instant::now();
        let sent = self.send(path, headers, CONTACT_TIME + PERIOD);
        let sent: Vec<Sent> = sent
            .into_iter()
            .filter(|sent| sent.at >= cut_at + CONTACT_TIME)
            .collect();
        let is_cut = |sent: &&Sent| cut_nodes.contains(&sent.node);
        let (cut_off, whole): (Vec<&Sent>, Vec<&Sent>) = sent.iter().partition(is_cut);
        assert_served_at("cut nodes", &cut_off);
        assert_served_at("other nodes", &whole);
        self.heal(cut_nodes);
        let healed_at = Instant::now();
        let sent = self.send(path, headers, HEAL_TIME + Duration::from_secs(1));
        let sent = sent.iter().filter(|sent| sent.at >= healed_at + HEAL_TIME);
        assert_served_at("nodes after the cut", &sent.collect::<Vec<&Sent>>());
        for node in cut_nodes {
            let metrics = self.site.metrics(*node);
            assert!(metrics.contains("turnford_lost_targets 0\n"), "{metrics}");
        }
    }

    /// Asserts that no attempt ran more than once.
    fn assert_ran_once(&self) {
        let mut attempts: Vec<String> = self
            .site
            .journal
            .runs()
            .into_iter()
            .filter(|run| run.kind == RunKind::Request)
            .map(|run| run.attempt)
            .collect();
        attempts.sort();
        let all = attempts.len();
        attempts.dedup();
        assert_eq!(attempts.len(), all);
    }
}

fn assert_served_at(place: &str, sent: &[&Sent]) {
    let served = sent.iter().filter(|sent| sent.status == 200).count();
    let least = (sent.len() as f64 * MIN_SERVED_RATIO).ceil() as usize;
    assert!(
        served >= least,
        "{served} of {} served at {place}",
        sent.len()
    );
    assert!(sent
        .iter()
        .all(|sent| sent.status != 200 || sent.is_complete));
    assert_refused_soon(sent);
}

/// Asserts that requests that were not served were refused soon, with a retry delay.
fn assert_refused_soon(sent: &[&Sent]) {
    for sent in sent.iter().filter(|sent| sent.status != 200) {
        assert!(sent.held <= MAX_HOLD + TRANSIT_TOLERANCE, "{sent:?}");
        assert!(sent.retry_after.is_some_and(|delay| delay > 0.0));
    }
}

fn plain_targets() -> Vec<(&'static str, &'static str, TargetRole)> {
    ["b1", "b2", "b3", "b4"]
        .map(|id| (id, "booking", QUICK))
        .to_vec()
}

fn engines() -> Vec<(&'static str, &'static str, TargetRole)> {
    ["e1", "e2", "e3", "e4"]
        .map(|id| (id, "sprog", ENGINE))
        .to_vec()
}

fn staged_targets() -> Vec<(&'static str, &'static str, TargetRole)> {
    let stages = [
        ("k1", "kort", STAGE),
        ("k2", "kort", STAGE),
        ("j1", "ejer", STAGE),
        ("j2", "ejer", STAGE),
    ];
    [engines(), stages.to_vec()].concat()
}

#[test]
fn silent_calls() {
    let site = CutSite::new(4, &plain_targets());
    site.assert_served(&[0, 1], LinkCut::Silent, "/hold/1", false);
    site.assert_ran_once();
}

#[test]
fn reset_calls() {
    let site = CutSite::new(4, &plain_targets());
    site.assert_served(&[0, 1], LinkCut::Reset, "/hold/1", false);
    site.assert_ran_once();
}

#[test]
fn refused_calls() {
    let site = CutSite::new(4, &plain_targets());
    site.assert_served(&[1, 2, 3], LinkCut::RefuseNew, "/hold/1", false);
    site.assert_ran_once();
}

#[test]
fn silent_engines() {
    let site = CutSite::new(4, &engines());
    site.assert_served(&[0, 1], LinkCut::Silent, "/draft/1", false);
    site.assert_ran_once();
}

#[test]
fn reset_engines() {
    let site = CutSite::new(4, &engines());
    site.assert_served(&[2, 3], LinkCut::Reset, "/draft/1", false);
    site.assert_ran_once();
}

#[test]
fn refused_engines() {
    let site = CutSite::new(4, &engines());
    site.assert_served(&[0, 1, 2], LinkCut::RefuseNew, "/draft/1", false);
    site.assert_ran_once();
}

#[test]
fn silent_stages() {
    let site = CutSite::new(4, &staged_targets());
    site.assert_served(&[0, 1], LinkCut::Silent, "/chat/1", true);
}

#[test]
fn reset_stages() {
    let site = CutSite::new(4, &staged_targets());
    site.assert_served(&[2, 3], LinkCut::Reset, "/chat/1", true);
}

#[test]
fn some_targets() {
    let site = CutSite::new(3, &plain_targets());
    for link in &site.links[0][..3] {
        link.cut(LinkCut::Silent).expect("a port");
    }
    let cut_at = Instant::now();
    let sent = site.send("/pay/1", &[], CONTACT_TIME + PERIOD);
    let sent = sent.iter().filter(|sent| sent.at >= cut_at + CONTACT_TIME);
    assert_served_at("all nodes", &sent.collect::<Vec<&Sent>>());
}

#[test]
fn nobody_reaches() {
    let site = CutSite::new(3, &plain_targets());
    site.send("/hold/1", &[], Duration::from_secs(1));
    site.cut(&[0, 1, 2], LinkCut::Silent);
    let cut_at = Instant::now();
    let sent = site.send("/hold/1", &[], CONTACT_TIME + PERIOD);
    let sent = sent.iter().filter(|sent| sent.at >= cut_at + CONTACT_TIME);
    assert_refused_soon(&sent.collect::<Vec<&Sent>>());
    site.heal(&[0, 1, 2]);
    let healed_at = Instant::now();
    let sent = site.send("/hold/1", &[], HEAL_TIME + PERIOD);
    let sent = sent.iter().filter(|sent| sent.at >= healed_at + HEAL_TIME);
    assert_served_at("nodes after the cut", &sent.collect::<Vec<&Sent>>());
}

#[test]
fn starts_cut_off() {
    let mut site = CutSite::new(2, &plain_targets());
    let (number, links) = site
        .site
        .node_behind_unready("new", &site.targets, |links| {
            for link in links {
                link.cut(LinkCut::Silent).expect("a port");
            }
        });
    site.links.push(links);
    wait_until("the node is ready", || site.site.readiness(number) == 200);
    site.site.settle();
    let started_at = Instant::now();
    let sent = site.send("/hold/1", &[], CONTACT_TIME + PERIOD);
    let sent = sent
        .iter()
        .filter(|sent| sent.at >= started_at + CONTACT_TIME);
    assert_served_at("all nodes", &sent.collect::<Vec<&Sent>>());
}

#[test]
fn crashes_not_spread() {
    let site = CutSite::new(3, &engines());
    site.send("/draft/1", &[], Duration::from_secs(1));
    site.cut(&[0], LinkCut::Reset);
    site.send("/draft/1", &[], CONTACT_TIME);
    for node in 0..3 {
        let metrics = site.site.metrics(node);
        assert!(metrics.contains("turnford_target_crashes_total 0\n"));
        assert!(metrics.contains("turnford_suspect_requests 0\n"));
    }
}

#[test]
fn cancel_relayed() {
    let slow = TargetRole::Plain(Duration::from_secs(3));
    let site = CutSite::new(2, &[("b1", "booking", slow)]);
    site.cut(&[0], LinkCut::Reset);
    let to = site.site.nodes[0].settings.listen;
    let request = ClientRequest::new("leaves", "/pay/1").request(to);
    let limit = Duration::from_millis(800);
    let left = async_io::block_on(site.site.client.send(to, request, limit));
    assert!(left.is_err(), "{left:?}");
    std::thread::sleep(Duration::from_millis(500));
    let runs = site.site.journal.runs();
    assert_eq!(runs.len(), 1);
    std::thread::sleep(Duration::from_secs(3));
    let runs = site.site.journal.runs();
    assert!(runs.iter().all(|run| !run.is_complete), "{runs:?}");
}
