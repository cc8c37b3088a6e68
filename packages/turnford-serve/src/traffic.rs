//! The traffic thread's state.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use async_executor::LocalExecutor;
use async_io::Timer;

use turnford_http::ConnectionPool;
use turnford_policy::RetryAllowance;
use turnford_policy::ServiceId;
use turnford_policy::ServiceSpec;

use crate::crash::CrashTracker;
use crate::crash_check::check_restarts;
use crate::leaving::LeavingQueue;
use crate::limits::ServiceLimits;
use crate::peers::PeerPool;
use crate::pieces::PieceCell;
use crate::progress::ProgressQueue;
use crate::release::ResultReleaser;
use crate::service_context::ServiceContext;
use crate::shared::RouteView;
use crate::shared::ServeShared;

/// Pause between looks for idle connections whose time is over.
const SWEEP_PAUSE: Duration = Duration::from_secs(1);

/// Everything that serves requests; it lives on one thread.
pub(crate) struct Traffic {
    pub(crate) executor: Rc<LocalExecutor<'static>>,
    pub(crate) shared: Arc<ServeShared>,
    pub(crate) shelf: RefCell<ConnectionPool>,
    pub(crate) releaser: ResultReleaser,
    /// The other nodes.
    pub(crate) peers: Rc<PeerPool>,
    pub(crate) progress: ProgressQueue,
    /// Requests under which targets crashed.
    pub(crate) crashes: CrashTracker,
    /// Words of targets that leave which are not told yet.
    pub(crate) leaving: LeavingQueue,
    /// Ends when the node is about to end.
    pub(crate) ending: Receiver<()>,
    desks: RefCell<HashMap<ServiceId, Rc<ServiceContext>>>,
    /// What the services were last made from.
    view: RefCell<Arc<RouteView>>,
}

impl Traffic {
    pub(crate) fn new(
        executor: Rc<LocalExecutor<'static>>,
        shared: Arc<ServeShared>,
        ending: Receiver<()>,
    ) -> Rc<Self> {
        let peers = PeerPool::new(executor.clone(), shared.clone());
        Rc::new(Self {
            executor,
            shared,
            shelf: RefCell::default(),
            releaser: ResultReleaser::default(),
            peers,
            progress: ProgressQueue::default(),
            crashes: CrashTracker::default(),
            leaving: LeavingQueue::default(),
            ending,
            desks: RefCell::default(),
            view: RefCell::default(),
        })
    }

    /// Returns a service that the configuration names.
    pub(crate) fn service(&self, service: &str) -> Option<Rc<ServiceContext>> {
        self.desks.borrow().get(service).cloned()
    }

    /// Returns all services that the configuration names or named.
    pub(crate) fn all_services(&self) -> Vec<Rc<ServiceContext>> {
        self.desks.borrow().values().cloned().collect()
    }

    /// Plans a service's pieces anew after its targets changed.
    pub(crate) fn refresh_pieces(self: &Rc<Self>, desk: &Rc<ServiceContext>) {
        desk.refresh_cells();
        for cell in self.cells(desk) {
            cell.pump();
        }
    }

    /// Returns a number from 0 to below 1.
    pub(crate) fn random(&self) -> f64 {
        self.peers.random()
    }

    /// Returns what the control thread knows now, with the services made from it. A request that
    /// comes right after a change would find a configuration whose targets are not there yet, and be
    /// refused by a node that says that it is ready.
    pub(crate) fn current_view(self: &Rc<Self>) -> Arc<RouteView> {
        let view = self.shared.view.load_full();
        if !Arc::ptr_eq(&view, &self.view.borrow()) {
            self.view.replace(view.clone());
            self.refresh(&view);
        }
        view
    }

    fn refresh(self: &Rc<Self>, view: &RouteView) {
        let mut desks = self.desks.borrow_mut();
        for spec in &view.config.services {
            let desk = desks
                .entry(spec.name.clone())
                .or_insert_with(|| self.new_desk(spec));
            *desk.spec.borrow_mut() = spec.clone();
            let slack = self.shared.settings.retries.slack / view.share_count();
            desk.allowance.borrow_mut().set_slack(slack);
        }
        for (service, desk) in desks.iter() {
            self.refresh_targets(view, service, desk);
            check_restarts(self, desk);
        }
    }

    fn new_desk(self: &Rc<Self>, spec: &Arc<ServiceSpec>) -> Rc<ServiceContext> {
        let repeats = self.shared.settings.retries;
        let allowance = RetryAllowance::new(repeats.window, repeats.ratio, 0.0);
        let (traffic, service) = (Rc::downgrade(self), spec.name.clone());
        let on_change = move || {
            let traffic = traffic.upgrade();
            let desk = traffic
                .as_ref()
                .and_then(|traffic| traffic.service(&service));
            if let Some((traffic, desk)) = traffic.zip(desk) {
                desk.line.wake_first();
                traffic.refresh_pieces(&desk);
            }
        };
        let limits = ServiceLimits::new(self.peers.clone(), spec.name.clone(), on_change);
        ServiceContext::new(spec.clone(), allowance, limits)
    }

    fn refresh_targets(&self, view: &RouteView, service: &str, desk: &ServiceContext) {
        let targets = view.targets.values();
        let own = targets.filter(|target| &*target.service == service);
        let mut board = desk.targets.borrow_mut();
        let before: Vec<_> = board.all_targets().cloned().collect();
        board.set_targets(own);
        for target in before {
            let listed = board.get(&target.id);
            if listed.is_some_and(|listed| listed.process_start == target.process_start) {
                continue;
            }
            self.shelf.borrow_mut().close_all(target.address);
            if listed.is_none() && target.leaving {
                self.crashes.record_departure(&target);
            }
        }
        let now = self.shared.now();
        desk.limits.table.borrow_mut().retain_listed(now, &board);
        let mut engines = desk.engines.borrow_mut();
        engines.retain_listed(&board);
        if let Some(engine) = &desk.spec.borrow().engine {
            engines.set_capacity(engine.cache_tokens);
        }
        drop(board);
        desk.refresh_cells();
    }

    /// Tells whether no other node lives.
    fn is_alone(&self) -> bool {
        self.shared.view.load().members.is_empty()
    }

    /// Notes that a target gave results up, whose room is free now.
    pub(crate) fn handle_released(self: &Rc<Self>, desk: &Rc<ServiceContext>, handles: &[String]) {
        for cell in self.cells(desk) {
            let mut board = cell.pieces.board.borrow_mut();
            for handle in handles {
                board.record_release(handle);
            }
            drop(board);
            cell.pump();
        }
    }

    fn cells(self: &Rc<Self>, desk: &Rc<ServiceContext>) -> Vec<PieceCell> {
        let cells = desk.cells.borrow();
        let cells = cells.iter().map(|pieces| PieceCell {
            traffic: self.clone(),
            desk: desk.clone(),
            pieces: pieces.clone(),
        });
        cells.collect()
    }
}

/// Takes each change of the view into force.
pub(crate) async fn follow_changes(traffic: Rc<Traffic>, changes: Receiver<()>) {
    let mut has_handed_back = false;
    while changes.recv().await.is_ok() {
        traffic.current_view();
        let hands_back = traffic.shared.is_draining() && !has_handed_back && !traffic.is_alone();
        has_handed_back |= hands_back;
        for desk in traffic.all_services() {
            for cell in traffic.cells(&desk) {
                if hands_back {
                    cell.hand_back();
                }
                cell.pump();
            }
        }
    }
}

/// Closes idle connections to targets in time.
pub(crate) async fn close_idle_connections(traffic: Rc<Traffic>) {
    loop {
        Timer::after(SWEEP_PAUSE).await;
        let now = traffic.shared.now();
        traffic.shelf.borrow_mut().close_expired(now);
    }
}
