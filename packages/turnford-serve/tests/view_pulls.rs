//! Guards against nodes that pull another node's whole view again and again although it is of no use to them.

mod common;

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_net::TcpListener;
use common::wait_until;
use common::RouteSite;
use common::QUICK;
use serde_json::json;
use turnford_fleet::MemberState;
use turnford_fleet::MemberUpdate;
use turnford_policy::StorePosition;
use turnford_standin::EndpointState;
use turnford_wire::accept_peers;
use turnford_wire::CancelPolicy;
use turnford_wire::CompressedText;
use turnford_wire::ControlReply;
use turnford_wire::ControlRequest;
use turnford_wire::ViewCursor;
use turnford_wire::ViewDigest;
use turnford_wire::ViewUpdate;

/// Time for which pulls are counted.
const PERIOD: Duration = Duration::from_secs(4);

/// View of a node that says nothing new.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PeerView {
    /// It refuses pulls.
    Refused,
    /// Its targets are from before those of the node that asks.
    Behind,
    /// Its configuration can't be read by the node that asks.
    Unreadable,
}

/// A node of the same hall that other nodes pull from.
struct Peer {
    address: SocketAddr,
    view: Mutex<PeerView>,
    pulls: AtomicUsize,
    full_pulls: AtomicUsize,
}

impl Peer {
    /// Starts the node and adds it to the store, in which nodes that start find it.
    fn start(site: &RouteSite) -> Arc<Self> {
        let (sender, peer) = std::sync::mpsc::channel();
        std::thread::spawn(move || {
            let executor = Rc::new(LocalExecutor::new());
            let bind = TcpListener::bind("127.0.0.1:0");
            let listener = async_io::block_on(bind).expect("a free port");
            let peer = Arc::new(Peer {
                address: listener.local_addr().expect("an address"),
                view: Mutex::new(PeerView::Refused),
                pulls: AtomicUsize::default(),
                full_pulls: AtomicUsize::default(),
            });
            sender.send(peer.clone()).expect("a test that waits");
            let handler = move |request| {
                let peer = peer.clone();
                async move { peer.answer(request).await }
            };
            let refusal = || ControlReply::Refused;
            let policy = CancelPolicy::Finish;
            let serve = accept_peers(listener, executor.clone(), policy, refusal, handler);
            async_io::block_on(executor.run(serve));
        });
        let peer = peer.recv().expect("a peer");
        let record =
            json!({ "inner": peer.address, "work": peer.address, "hall": "hal-a", "started": 1 });
        site.store.put("turnford-nodes", "peer", record);
        peer
    }

    async fn answer(&self, request: ControlRequest) -> ControlReply {
        match request {
            ControlRequest::Ping { .. } => ControlReply::Pong {
                gossip: vec![MemberUpdate {
                    name: "peer".to_owned(),
                    address: self.address,
                    work_address: self.address,
                    hall: "hal-a".to_owned(),
                    incarnation: 1,
                    state: MemberState::Alive,
                }],
                digest: ViewDigest::default(),
                members: 0,
            },
            ControlRequest::VersionedViewPull {
                cursor, wait_ms, ..
            } => self.answer_pull(cursor, wait_ms).await,
            _ => ControlReply::Refused,
        }
    }

    async fn answer_pull(&self, cursor: Option<ViewCursor>, wait_ms: u32) -> ControlReply {
        let view = *self.view.lock().expect("no panic");
        if view == PeerView::Refused {
            return ControlReply::Refused;
        }
        let own = ViewCursor {
            process: 1,
            era: 0,
            change: 1,
        };
        let is_full = cursor != Some(own);
        self.pulls.fetch_add(1, Ordering::SeqCst);
        self.full_pulls
            .fetch_add(usize::from(is_full), Ordering::SeqCst);
        let has_news = is_full || view == PeerView::Unreadable;
        if !has_news {
            async_io::Timer::after(Duration::from_millis(u64::from(wait_ms))).await;
        }
        let (config, target_position) = match view {
            PeerView::Unreadable => {
                let position = StorePosition::new(0, u64::MAX);
                (Some(CompressedText::compress("{}")), position)
            }
            PeerView::Behind | PeerView::Refused => (None, StorePosition::default()),
        };
        let view = ViewUpdate {
            config,
            config_position: StorePosition::default(),
            is_full: is_full && view == PeerView::Behind,
            targets: Vec::new(),
            removed: Vec::new(),
            target_position,
            cursor: own,
            age_ms: 0,
            waited_ms: if has_news { 0 } else { wait_ms },
        };
        ControlReply::VersionedView {
            view,
            versions: Vec::new(),
        }
    }
}

/// Has a node that loses the store pull from a peer. Returns the pulls, and those of them that asked for the whole
/// view.
fn count_pulls(view: PeerView) -> (usize, usize) {
    let mut site = RouteSite::new();
    let peer = Peer::start(&site);
    site.target("b1", "booking", QUICK);
    let node = site.node("one");
    wait_until("the node knows its peer", || {
        site.metrics(node).contains("turnford_members 1\n")
    });
    let endpoint = site.nodes[node].endpoint;
    site.store
        .set_endpoint(endpoint, EndpointState::Unavailable);
    *peer.view.lock().expect("no panic") = view;
    wait_until("the node pulls", || peer.pulls.load(Ordering::SeqCst) > 0);
    std::thread::sleep(PERIOD);
    let pulls = peer.pulls.load(Ordering::SeqCst);
    (pulls, peer.full_pulls.load(Ordering::SeqCst))
}

#[test]
fn peer_behind() {
    let (pulls, full) = count_pulls(PeerView::Behind);
    assert!(full <= 2, "{full} of {pulls} pulls of the whole view");
    assert!(pulls > 0);
}

#[test]
fn unreadable_config() {
    let (pulls, _) = count_pulls(PeerView::Unreadable);
    assert!(pulls <= 30, "{pulls} pulls in {PERIOD:?}");
}
