//! State that the threads of one node share.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use arc_swap::ArcSwap;
use turnford_config::ClientAccount;
use turnford_config::NodeSettings;
use turnford_platform::CallBudget;
use turnford_policy::AccountId;
use turnford_policy::AccountLimit;
use turnford_policy::AttemptSource;
use turnford_policy::Clock;
use turnford_policy::LimitRefusal;
use turnford_policy::PoolSettings;
use turnford_policy::ProbeGate;
use turnford_policy::ServiceId;
use turnford_policy::TargetId;
use turnford_target::TargetClient;

use crate::inbox::ControlOutbox;
use crate::metrics::NodeMetrics;
use crate::results::ResultCache;
use crate::snapshot::ConfigSnapshot;
use crate::stage_pool::StagePool;

/// Stage pools by service. The map is replaced when a service appears; the pools themselves
/// persist.
pub(crate) type PoolMap = HashMap<ServiceId, Arc<StagePool>>;

/// Addresses by target.
pub(crate) type AddressMap = HashMap<TargetId, SocketAddr>;

/// Shared state of one node.
pub(crate) struct NodeState {
    pub(crate) settings: NodeSettings,
    pub(crate) pool_settings: PoolSettings,
    pub(crate) admission_control: bool,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) attempts: AttemptSource,
    pub(crate) config: ArcSwap<ConfigSnapshot>,
    pub(crate) pools: ArcSwap<PoolMap>,
    pub(crate) addresses: ArcSwap<AddressMap>,
    pub(crate) targets: TargetClient,
    pub(crate) metrics: NodeMetrics,
    pub(crate) budget: Arc<CallBudget>,
    /// Set once every lender has replied or the wait for them has timed out.
    pub(crate) lenders_known: AtomicBool,
    /// Set once configuration and targets are known and `lenders_known` is set.
    pub(crate) ready: AtomicBool,
    pub(crate) draining: AtomicBool,
    pub(crate) running: AtomicU64,
    pub(crate) control: ControlOutbox,
    pub(crate) results: ResultCache,
    limits: Mutex<HashMap<AccountId, AccountLimit>>,
    probes: Mutex<ProbeGate>,
}

/// A request's concurrency permit within its account's limits; released on drop.
pub(crate) struct AccountPermit {
    state: Arc<NodeState>,
    account: AccountId,
}

impl Drop for AccountPermit {
    fn drop(&mut self) {
        if let Some(limit) = self.state.limits().get_mut(&self.account) {
            limit.finish();
        }
    }
}

/// Counts a request as running until dropped.
pub(crate) struct RunningGuard(Arc<NodeState>);

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::SeqCst);
    }
}

impl NodeState {
    pub(crate) fn new(
        settings: NodeSettings,
        pool_settings: PoolSettings,
        admission_control: bool,
        clock: Arc<dyn Clock>,
        incarnation: u64,
        control: ControlOutbox,
    ) -> Self {
        let budget = Arc::new(CallBudget::new(settings.platform_call_rate, clock.clone()));
        Self {
            settings,
            pool_settings,
            admission_control,
            clock,
            attempts: AttemptSource::new(incarnation),
            config: ArcSwap::default(),
            pools: ArcSwap::default(),
            addresses: ArcSwap::default(),
            targets: TargetClient::new(),
            metrics: NodeMetrics::new(),
            budget,
            lenders_known: AtomicBool::new(false),
            ready: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            running: AtomicU64::new(0),
            control,
            results: ResultCache::default(),
            limits: Mutex::new(HashMap::new()),
            probes: Mutex::new(ProbeGate::default()),
        }
    }

    /// Returns a service's pool, if any of its targets has ever been listed.
    pub(crate) fn pool(&self, service: &str) -> Option<Arc<StagePool>> {
        self.pools.load().get(service).cloned()
    }

    /// Acquires a permit within an account's limits.
    ///
    /// # Errors
    ///
    /// Returns the limit that is exhausted on this node.
    pub(crate) fn acquire_permit(
        self: &Arc<Self>,
        account: &ClientAccount,
    ) -> Result<AccountPermit, LimitRefusal> {
        let now = self.clock.now();
        let mut limits = self.limits();
        // In a fleet the limits are zero until this node has been granted a share; the caller
        // requests one.
        let alone = self.settings.fleet_size <= 1;
        let rate = if alone { account.rate } else { 0.0 };
        let concurrency = if alone { account.concurrency } else { 0 };
        let fresh = || AccountLimit::new(now, rate, concurrency);
        let limit = limits.entry(account.name.clone()).or_insert_with(fresh);
        limit.start(now)?;
        Ok(AccountPermit {
            state: self.clone(),
            account: account.name.clone(),
        })
    }

    /// Counts a request as running until the guard is dropped.
    pub(crate) fn track_running(self: &Arc<Self>) -> RunningGuard {
        self.running.fetch_add(1, Ordering::SeqCst);
        RunningGuard(self.clone())
    }

    /// Locks the gate for requests that are admitted to refresh outdated time estimates.
    pub(crate) fn probes(&self) -> MutexGuard<'_, ProbeGate> {
        self.probes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the limits of all accounts on this node.
    pub(crate) fn limits(&self) -> MutexGuard<'_, HashMap<AccountId, AccountLimit>> {
        self.limits.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
