//! Starts all stand-ins of a scenario on loopback.

use std::future::Future;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_net::TcpListener;
use turnford_http::bind_listener;
use turnford_http::serve_connection;
use turnford_http::BufferedRequest;
use turnford_http::HttpResponse;
use turnford_http::DEFAULT_BODY_LIMIT;
use turnford_platform::VmEntry;
use turnford_platform::VmState;

use crate::control::ControlService;
use crate::objects::ObjectService;
use crate::target::TargetService;
use crate::FaultTable;
use crate::Journal;
use crate::Scenario;
use crate::ServiceSpec;
use crate::SharedExecutor;

/// The running stand-ins of a scenario.
pub struct StandinFleet {
    /// Address of the object API.
    pub objects: SocketAddr,
    /// The object service, for direct use in the same process.
    pub store: Arc<ObjectService>,
    /// Address of the control port: VM list, weight store, journal and faults.
    pub control: SocketAddr,
    /// Faults, for direct use in the same process.
    pub faults: Arc<FaultTable>,
    /// Journal, for direct use in the same process.
    pub journal: Arc<Journal>,
    /// Targets, as in the VM list.
    pub entries: Vec<VmEntry>,
}

impl StandinFleet {
    /// Starts the stand-ins; for port 0 the system chooses a port.
    ///
    /// # Errors
    ///
    /// Returns the system's error if an address can't be bound.
    pub fn start(
        scenario: &Scenario,
        objects_port: u16,
        control_port: u16,
        executor: &SharedExecutor,
    ) -> io::Result<Self> {
        let faults = Arc::new(FaultTable::new(scenario.faults.clone()));
        let journal = Arc::new(Journal::default());
        let mut entries = Vec::new();
        for spec in &scenario.services {
            for number in 0..spec.count {
                let shared = (faults.clone(), journal.clone());
                entries.push(start_target(scenario, spec, number, shared, executor)?);
            }
        }
        let object_service = Arc::new(ObjectService::new(faults.clone()));
        let store = object_service.clone();
        let objects = serve(objects_port, executor, move |call| {
            let service = object_service.clone();
            async move { service.handle(call).await }
        })?;
        let lag = Duration::from_millis(scenario.list_lag_ms);
        let control_service =
            ControlService::new(entries.clone(), lag, faults.clone(), journal.clone());
        let control_service = Arc::new(control_service);
        let control = serve(control_port, executor, move |call| {
            let service = control_service.clone();
            async move { service.handle(call).await }
        })?;
        Ok(Self {
            objects,
            store,
            control,
            faults,
            journal,
            entries,
        })
    }
}

fn start_target(
    scenario: &Scenario,
    spec: &ServiceSpec,
    number: usize,
    shared: (Arc<FaultTable>, Arc<Journal>),
    executor: &SharedExecutor,
) -> io::Result<VmEntry> {
    let hardware = &spec.hardware[number % spec.hardware.len()];
    let hall = &scenario.halls[number % scenario.halls.len()];
    let listener = bind_loopback(0)?;
    let entry = VmEntry {
        name: format!("{}-{number}", spec.name),
        service: spec.name.clone(),
        address: listener.local_addr()?,
        hall: hall.clone(),
        region: scenario.region.clone(),
        hardware: hardware.name.clone(),
        slots: spec.slots,
        cost: hardware.cost,
        models: spec.models.clone(),
        state: VmState::Live,
    };
    let lag = Duration::from_millis(scenario.report_lag_ms);
    let seed = scenario.seed.wrapping_add(number as u64);
    let slowness = hardware.slowness;
    let service = TargetService::new(entry.clone(), spec.clone(), slowness, shared, lag, seed);
    let service = Arc::new(service);
    spawn_listener(listener, executor, move |call| {
        let service = service.clone();
        async move { service.handle(call).await }
    });
    Ok(entry)
}

pub(crate) fn serve<F, Fut>(
    port: u16,
    executor: &SharedExecutor,
    handler: F,
) -> io::Result<SocketAddr>
where
    F: Fn(BufferedRequest) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Option<HttpResponse>> + Send + 'static,
{
    let listener = bind_loopback(port)?;
    let address = listener.local_addr()?;
    spawn_listener(listener, executor, handler);
    Ok(address)
}

fn spawn_listener<F, Fut>(listener: TcpListener, executor: &SharedExecutor, handler: F)
where
    F: Fn(BufferedRequest) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Option<HttpResponse>> + Send + 'static,
{
    let connections = executor.clone();
    let accept = async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            let handler = handler.clone();
            let serve = serve_connection(stream, DEFAULT_BODY_LIMIT, handler);
            connections.spawn(serve).detach();
        }
    };
    executor.spawn(accept).detach();
}

fn bind_loopback(port: u16) -> io::Result<TcpListener> {
    bind_listener(SocketAddr::from((Ipv4Addr::LOCALHOST, port)))
}
