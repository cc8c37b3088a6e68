//! The ledger of software versions in the store: read when a stream's version has to be proved,
//! written before a version is used for the first time.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;
use serde::Deserialize;

use turnford_adapter::StoreError;
use turnford_adapter::LEDGER_KIND;
use turnford_fleet::VersionLedger;
use turnford_fleet::VersionUse;
use turnford_fleet::VersionWitness;
use turnford_policy::CallKind;
use turnford_policy::Moment;

use super::context::ControlContext;
use crate::ledger_channel::LedgerRequest;
use crate::ledger_channel::LedgerView;
use crate::shared::RouteView;

/// Name of the ledger's object.
const LEDGER_NAME: &str = "main";

/// Timeout of a call to the store.
const STORE_TIMEOUT: Duration = Duration::from_millis(1000);

/// Minimum interval between the starts of two reads. Requests in between share the second one, so that a
/// large fleet stays below the store's rate of reads.
const READ_INTERVAL: Duration = Duration::from_millis(500);

/// Interval for checking what this node has to write.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Mean delay before this node writes what no stream waits for. By then another node may have done so.
const WRITE_DELAY: Duration = Duration::from_millis(500);

/// Mean delay between attempts while the store does not respond.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Age of the view above which targets may have come and gone unseen.
const MAX_VIEW_AGE: Duration = Duration::from_secs(10);

/// Maximum number of attempts of a write that conflicts with those of other nodes.
const MAX_ATTEMPTS: usize = 8;

/// Reads and writes the ledger for as long as the node runs.
pub(super) async fn keep_ledger(context: Rc<ControlContext>) {
    let mut keeper = LedgerKeeper::new(context.clone());
    loop {
        let mut waiting = next_requests(&context).await;
        let now = context.now();
        keeper.observe(now);
        if waiting.is_empty() && !keeper.is_due(now) {
            continue;
        }
        // A stream whose version has to be added doesn't wait.
        let is_urgent = waiting.iter().any(|request| request.used.is_some());
        let pause = keeper.next_read.saturating_sub(now);
        if !pause.is_zero() && !is_urgent {
            Timer::after(pause).await;
            waiting.extend(context.shared.ledger_requests.take_queued());
        }
        let uses = waiting.iter().filter_map(|request| request.used.clone());
        let view = keeper.update(uses.collect()).await;
        for request in waiting {
            if let Some(view) = &view {
                // The request may have timed out.
                let _ = request.reply.try_send(view.clone());
            }
        }
    }
}

/// Waits for requests, at most until the next check.
async fn next_requests(context: &ControlContext) -> Vec<LedgerRequest> {
    let channel = &context.shared.ledger_requests;
    let late = async {
        Timer::after(CHECK_INTERVAL).await;
        None
    };
    let first = channel.next().or(late).await;
    let mut requests: Vec<LedgerRequest> = first.into_iter().collect();
    requests.extend(channel.take_queued());
    requests
}

/// Keeps this node's copy of the ledger.
struct LedgerKeeper {
    context: Rc<ControlContext>,
    witness: VersionWitness,
    /// Versions that were listed and that the known ledger may lack.
    unconfirmed: Vec<VersionUse>,
    /// The view that was observed last.
    observed: Arc<RouteView>,
    /// Era of the store when this process first knew targets.
    first_era: Option<u64>,
    /// Whether the last call succeeded.
    is_reachable: bool,
    next_read: Moment,
    next_check: Moment,
}

impl LedgerKeeper {
    fn new(context: Rc<ControlContext>) -> Self {
        Self {
            witness: VersionWitness::default(),
            unconfirmed: Vec::new(),
            observed: Arc::default(),
            first_era: None,
            is_reachable: true,
            next_read: Moment::ZERO,
            next_check: Moment::ZERO,
            context,
        }
    }

    /// Records which versions are listed.
    fn observe(&mut self, now: Moment) {
        if self.context.view_age() > MAX_VIEW_AGE {
            self.witness.interrupt();
        }
        let view = self.context.shared.view.load_full();
        let is_unchanged = Arc::ptr_eq(&view.config, &self.observed.config)
            && Arc::ptr_eq(&view.targets, &self.observed.targets);
        if !is_unchanged {
            if !view.targets.is_empty() {
                self.first_era.get_or_insert(self.context.era());
            }
            for service in stream_services(&view) {
                let targets = view.targets.values();
                let listed = targets.filter(|target| &*target.service == service);
                let versions = listed.map(|target| target.version.as_deref().map(str::to_owned));
                let added = self.witness.observe(service, versions);
                if !added.is_empty() && !self.creates_ledger(&view) {
                    let delay = self.context.jitter(WRITE_DELAY);
                    self.next_check = self.next_check.max(now + delay);
                }
                self.unconfirmed.extend(added);
            }
            self.observed = view;
        }
        self.publish(None);
    }

    /// Returns whether this node may create the ledger of a new fleet. Only nodes of its first start can, so they
    /// do it before one of them may start again.
    fn creates_ledger(&self, view: &RouteView) -> bool {
        self.context.shared.settings.is_first_start && view.ledger.ledger.is_none()
    }

    /// Returns whether the ledger has to be read or written though no stream waits for it.
    fn is_due(&self, now: Moment) -> bool {
        if now < self.next_check {
            return false;
        }
        let known = self.context.shared.view.load().ledger.clone();
        let is_outdated = known.ledger.as_ref().is_some_and(|ledger| {
            ledger.era() != known.era || self.witness.has_changes(now, ledger)
        });
        is_outdated || !self.unconfirmed.is_empty() || !self.is_reachable
    }

    /// Reads the ledger and adds what is missing. Returns `None` if the store does not respond.
    async fn update(&mut self, mut uses: Vec<VersionUse>) -> Option<Arc<LedgerView>> {
        let now = self.context.now();
        self.next_read = now + READ_INTERVAL;
        uses.append(&mut self.unconfirmed);
        match self.write_missing(&uses).await {
            Ok(ledger) => {
                self.is_reachable = true;
                self.next_check = now + self.context.jitter(WRITE_DELAY);
                Some(self.publish(Some(ledger)))
            }
            Err(error) => {
                log::warn!("the ledger of versions was not read or written: {error}");
                self.is_reachable = false;
                self.next_check = now + self.context.jitter(RETRY_DELAY);
                for used in uses {
                    if !self.unconfirmed.contains(&used) {
                        self.unconfirmed.push(used);
                    }
                }
                self.publish(None);
                None
            }
        }
    }

    /// Adds uses to the ledger, and applies what this node has seen. Returns the ledger as stored.
    ///
    /// # Errors
    ///
    /// Returns the store's error, [`StoreError::Conflict`] if other nodes kept changing the ledger.
    async fn write_missing(&mut self, uses: &[VersionUse]) -> Result<VersionLedger, StoreError> {
        for _ in 0..MAX_ATTEMPTS {
            let (stored, revision) = self.read().await?;
            let era = self.context.store.era();
            let mut ledger = stored.clone().unwrap_or_else(|| {
                let is_first_start = self.context.shared.settings.is_first_start;
                // A restore from a backup may have removed the ledger.
                let is_new = is_first_start && self.first_era == Some(era);
                VersionLedger::new(era, !is_new)
            });
            ledger.enter_era(era);
            for used in uses {
                ledger.admit(used);
            }
            // What is seen of a retirement counts from when the store has it.
            let mut witness = self.witness.clone();
            witness.update(self.context.now(), &mut ledger);
            let is_unchanged = stored.as_ref() == Some(&ledger);
            if is_unchanged || (stored.is_none() && uses.is_empty()) {
                self.witness = witness;
                return Ok(ledger);
            }
            match self.write(&ledger, revision).await {
                Ok(()) => {
                    log::info!("ledger of versions written: {ledger}");
                    self.witness = witness;
                    return Ok(ledger);
                }
                Err(StoreError::Conflict) => {}
                Err(error) => return Err(error),
            }
        }
        Err(StoreError::Conflict)
    }

    async fn read(&self) -> Result<(Option<VersionLedger>, u64), StoreError> {
        let store = &self.context.store;
        match store.get(LEDGER_KIND, LEDGER_NAME, STORE_TIMEOUT).await {
            Ok(object) => {
                let ledger = VersionLedger::deserialize(&object.spec);
                // What can't be read proves nothing, and is replaced.
                let ledger = ledger.unwrap_or_else(|error| {
                    log::error!("ledger of versions {LEDGER_NAME} is malformed: {error}");
                    VersionLedger::new(0, true)
                });
                Ok((Some(ledger), object.revision))
            }
            Err(StoreError::NotFound) => Ok((None, 0)),
            Err(error) => Err(error),
        }
    }

    async fn write(&self, ledger: &VersionLedger, revision: u64) -> Result<(), StoreError> {
        let spec = serde_json::to_value(ledger)
            .map_err(|error| StoreError::Malformed(error.to_string()))?;
        let store = &self.context.store;
        if revision == 0 {
            let created = store.create(LEDGER_KIND, LEDGER_NAME, spec, STORE_TIMEOUT);
            return created.await;
        }
        let replaced = store.replace(LEDGER_KIND, LEDGER_NAME, revision, spec, STORE_TIMEOUT);
        replaced.await
    }

    /// Publishes what is known of the ledger to the traffic thread.
    fn publish(&self, ledger: Option<VersionLedger>) -> Arc<LedgerView> {
        let shared = &self.context.shared;
        let known = shared.view.load().ledger.clone();
        let view = LedgerView {
            era: self.context.era(),
            is_reachable: self.is_reachable && !self.context.is_store_lost(),
            ledger: ledger.or_else(|| known.ledger.clone()),
        };
        if *known == view {
            return known;
        }
        let view = Arc::new(view);
        shared.set_view(|old| RouteView {
            ledger: view.clone(),
            ..old.clone()
        });
        view
    }
}

/// Returns the services that have streams.
fn stream_services(view: &RouteView) -> Vec<&str> {
    let routes = view.config.routes.iter();
    let streams = routes.filter(|route| route.kind == CallKind::Stream);
    let shares = streams.flat_map(|route| route.shares.iter());
    let mut services: Vec<&str> = shares.map(|share| &*share.service).collect();
    services.sort_unstable();
    services.dedup();
    services
}
