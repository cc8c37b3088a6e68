//! State of the traffic thread.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use async_executor::LocalExecutor;
use async_io::Timer;

use turnford_http::ConnectionPool;
use turnford_policy::CallKind;
use turnford_policy::ConnectionGate;
use turnford_policy::LinkTable;
use turnford_policy::ReadinessGate;
use turnford_policy::RepeatTable;
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
use crate::stream_directory::StreamDirectory;

/// Interval between sweeps for expired idle connections.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Everything that serves requests. It lives on one thread.
pub(crate) struct Traffic {
    pub(crate) executor: Rc<LocalExecutor<'static>>,
    pub(crate) shared: Arc<ServeShared>,
    pub(crate) pool: RefCell<ConnectionPool>,
    /// Links of this node to targets.
    pub(crate) links: RefCell<LinkTable>,
    /// Targets that repeat responses.
    pub(crate) repeats: RefCell<RepeatTable>,
    /// Admission of clients' connections.
    pub(crate) gate: RefCell<ConnectionGate>,
    pub(crate) readiness: RefCell<ReadinessGate>,
    /// Whether the load of other nodes is being sampled.
    pub(crate) samples_peers: Cell<bool>,
    /// Number of calls in flight that this node relays for others.
    pub(crate) relayed: Cell<usize>,
    pub(crate) releaser: ResultReleaser,
    /// Connections to the other nodes.
    pub(crate) peers: Rc<PeerPool>,
    pub(crate) progress: ProgressQueue,
    /// Requests during which targets crashed.
    pub(crate) crashes: CrashTracker,
    /// Records of the versions that began streams.
    pub(crate) streams: Rc<StreamDirectory>,
    /// Leave announcements of targets that have not been forwarded yet.
    pub(crate) leaving: LeavingQueue,
    /// Closed when the node is about to stop.
    pub(crate) shutdown: Receiver<()>,
    services: RefCell<HashMap<ServiceId, Rc<ServiceContext>>>,
    /// The view that the services were last updated from.
    view: RefCell<Arc<RouteView>>,
}

impl Traffic {
    pub(crate) fn new(
        executor: Rc<LocalExecutor<'static>>,
        shared: Arc<ServeShared>,
        shutdown: Receiver<()>,
    ) -> Rc<Self> {
        let peers = PeerPool::new(executor.clone(), shared.clone());
        Rc::new(Self {
            executor,
            shared,
            pool: RefCell::default(),
            links: RefCell::default(),
            repeats: RefCell::default(),
            gate: RefCell::default(),
            readiness: RefCell::default(),
            samples_peers: Cell::default(),
            relayed: Cell::default(),
            releaser: ResultReleaser::default(),
            streams: StreamDirectory::new(peers.clone()),
            peers,
            progress: ProgressQueue::default(),
            crashes: CrashTracker::default(),
            leaving: LeavingQueue::default(),
            shutdown,
            services: RefCell::default(),
            view: RefCell::default(),
        })
    }

    /// Returns a configured service.
    pub(crate) fn service(&self, service: &str) -> Option<Rc<ServiceContext>> {
        self.services.borrow().get(service).cloned()
    }

    /// Returns all services that are or were configured.
    pub(crate) fn all_services(&self) -> Vec<Rc<ServiceContext>> {
        self.services.borrow().values().cloned().collect()
    }

    /// Plans the pieces of a service again after its targets changed.
    pub(crate) fn refresh_pieces(self: &Rc<Self>, context: &Rc<ServiceContext>) {
        context.refresh_cells();
        for cell in self.cells(context) {
            cell.dispatch();
        }
    }

    /// Returns a random number in the range 0.0 to 1.0, exclusive.
    pub(crate) fn random(&self) -> f64 {
        self.peers.random()
    }

    /// Returns the control thread's current view, after the services have been updated from it.
    /// Without that, a request that arrives right after a change would find a configuration without
    /// targets, and a node that reports itself ready would refuse it.
    pub(crate) fn current_view(self: &Rc<Self>) -> Arc<RouteView> {
        let view = self.shared.view.load_full();
        if !Arc::ptr_eq(&view, &self.view.borrow()) {
            self.view.replace(view.clone());
            self.refresh(&view);
        }
        view
    }

    fn refresh(self: &Rc<Self>, view: &RouteView) {
        let mut services = self.services.borrow_mut();
        for spec in &view.config.services {
            let context = services
                .entry(spec.name.clone())
                .or_insert_with(|| self.new_service(spec));
            *context.spec.borrow_mut() = spec.clone();
            let slack = self.shared.settings.retries.slack * view.retry_share();
            context.allowance.borrow_mut().set_slack(slack);
        }
        let mut links = self.links.borrow_mut();
        links.retain_listed(|id| view.targets.contains_key(id));
        drop(links);
        let mut repeats = self.repeats.borrow_mut();
        repeats.retain_listed(|id| view.targets.contains_key(id));
        drop(repeats);
        for (service, context) in services.iter() {
            context.has_streams.set(has_streams(view, service));
            self.refresh_targets(view, service, context);
            check_restarts(self, context);
            let sole = view.ledger.sole_version(service);
            let is_sole = sole.is_some_and(|version| context.has_only_version(version));
            // Without the store no node can prove a version by the ledger.
            let is_sole = is_sole && view.ledger.is_reachable;
            if context.is_sole.replace(is_sole) && !is_sole {
                self.streams.announce_begun();
            }
        }
    }

    fn new_service(self: &Rc<Self>, spec: &Arc<ServiceSpec>) -> Rc<ServiceContext> {
        let retries = self.shared.settings.retries;
        let mut allowance = RetryAllowance::new(retries.window, retries.ratio, 0.0);
        if spec.batch.is_some() {
            allowance = allowance.for_pieces();
        }
        if self.shared.settings.is_first_start {
            allowance = allowance.first();
        }
        let (traffic, service) = (Rc::downgrade(self), spec.name.clone());
        let on_change = move || {
            let traffic = traffic.upgrade();
            let context = traffic
                .as_ref()
                .and_then(|traffic| traffic.service(&service));
            if let Some((traffic, context)) = traffic.zip(context) {
                context.wait_queue.wake_first();
                traffic.refresh_pieces(&context);
            }
        };
        let limits = ServiceLimits::new(self.peers.clone(), spec.name.clone(), on_change);
        ServiceContext::new(spec.clone(), allowance, limits)
    }

    fn refresh_targets(&self, view: &RouteView, service: &str, context: &ServiceContext) {
        let targets = view.targets.values();
        let own = targets.filter(|target| &*target.service == service);
        let mut table = context.targets.borrow_mut();
        let before: Vec<_> = table.all_targets().cloned().collect();
        table.set_targets(own);
        for target in before {
            let listed = table.get(&target.id);
            if listed.is_some_and(|listed| listed.process_start == target.process_start) {
                continue;
            }
            let address = self.shared.settings.target_address(target.address);
            self.pool.borrow_mut().close_all(address);
            if listed.is_none() && target.leaving {
                self.crashes.record_departure(&target);
            }
        }
        let now = self.shared.now();
        context.limits.table.borrow_mut().retain_listed(now, &table);
        let mut rooms = context.rooms.borrow_mut();
        rooms.retain_listed(|id| table.get(id).is_some());
        drop(rooms);
        let mut engines = context.engines.borrow_mut();
        engines.retain_listed(&table);
        if let Some(engine) = &context.spec.borrow().engine {
            engines.set_capacity(engine.cache_tokens);
        }
        drop(table);
        context.refresh_cells();
    }

    /// Returns whether no other node is alive.
    fn is_alone(&self) -> bool {
        self.shared.view.load().members.is_empty()
    }

    /// Records that a target has released results, whose space is free now.
    pub(crate) fn handle_released(
        self: &Rc<Self>,
        context: &Rc<ServiceContext>,
        handles: &[String],
    ) {
        for cell in self.cells(context) {
            let mut scheduler = cell.queue.scheduler.borrow_mut();
            for handle in handles {
                scheduler.record_release(handle);
            }
            drop(scheduler);
            cell.dispatch();
        }
    }

    fn cells(self: &Rc<Self>, context: &Rc<ServiceContext>) -> Vec<PieceCell> {
        let cells = context.cells.borrow();
        let cells = cells.iter().map(|queue| PieceCell {
            traffic: self.clone(),
            context: context.clone(),
            queue: queue.clone(),
        });
        cells.collect()
    }
}

/// Returns whether routes send streams to a service.
fn has_streams(view: &RouteView, service: &str) -> bool {
    let mut routes = view.config.routes.iter();
    routes.any(|route| {
        let mut shares = route.shares.iter();
        route.kind == CallKind::Stream && shares.any(|share| &*share.service == service)
    })
}

/// Applies each change of the view.
pub(crate) async fn follow_changes(traffic: Rc<Traffic>, changes: Receiver<()>) {
    let mut has_returned = false;
    while changes.recv().await.is_ok() {
        traffic.current_view();
        let returns_pieces = traffic.shared.is_draining() && !has_returned && !traffic.is_alone();
        has_returned |= returns_pieces;
        for context in traffic.all_services() {
            for cell in traffic.cells(&context) {
                if returns_pieces {
                    cell.return_pieces();
                }
                cell.dispatch();
            }
        }
    }
}

/// Closes idle connections to targets before the targets do.
pub(crate) async fn close_idle_connections(traffic: Rc<Traffic>) {
    loop {
        Timer::after(SWEEP_INTERVAL).await;
        let now = traffic.shared.now();
        traffic.pool.borrow_mut().close_expired(now);
    }
}
