//! Stand-ins for the external systems, and the tool that loads a fleet and audits its responses.
//!
//! All stand-ins listen on loopback only. Targets record what they ran in a journal; the load tool
//! compares the responses with it to count lost, doubled and crossed results.

mod audit;
mod balancer;
mod control;
mod fault;
mod fleet;
mod journal;
mod load;
mod models;
mod objects;
mod plot;
mod port;
mod proxy;
mod report;
mod route;
mod scenario;
mod script;
mod store;
mod target;

pub use audit::AuditCounts;
pub use fault::FaultKind;
pub use fault::FaultSpec;
pub use fault::FaultTable;
pub use fleet::StandinFleet;
pub use journal::Journal;
pub use journal::JournalEntry;
pub use load::run_load;
pub use load::LoadSettings;
pub use objects::ObjectService;
pub use plot::draw_report;
pub use proxy::LinkCut;
pub use proxy::LinkProxy;
pub use proxy::LinkState;
pub use report::AccountReport;
pub use report::LoadReport;
pub use route::limit_allowance;
pub use route::max_window_calls;
pub use route::EndlessResponse;
pub use route::EndpointState;
pub use route::MetaSnapshot;
pub use route::MetaStore;
pub use route::RawEnd;
pub use route::RawResponse;
pub use route::RouteCall;
pub use route::RouteJournal;
pub use route::RouteRun;
pub use route::RouteSite;
pub use route::RouteTarget;
pub use route::RunKind;
pub use route::StallPoint;
pub use route::TargetArrival;
pub use route::TargetFault;
pub use route::TargetIdentity;
pub use route::TargetRole;
pub use route::BACKOFF_GRACE;
pub use route::LIMIT_GRACE;
pub use route::LIMIT_WINDOW;
pub use scenario::Scenario;
pub use scenario::ServiceSpec;
pub use script::AnswerEnd;
pub use script::AnswerScript;
pub use script::ScriptedAnswer;
pub use store::ObjectStore;
pub use store::StoreError;

use std::sync::Arc;

use async_executor::Executor;

/// Executor shared by all stand-ins of a process.
pub type SharedExecutor = Arc<Executor<'static>>;

/// Starts an executor on `count` threads that run until the process exits.
pub fn start_threads(name: &str, count: usize) -> SharedExecutor {
    let executor: SharedExecutor = Arc::new(Executor::new());
    for number in 0..count {
        let shared = executor.clone();
        let thread = std::thread::Builder::new().name(format!("{name}-{number}"));
        let run = move || async_io::block_on(shared.run(futures_lite::future::pending::<()>()));
        if let Err(error) = thread.spawn(run) {
            log::error!("thread {name}-{number} did not start: {error}");
        }
    }
    executor
}
