//! An open-loop load generator: requests start when they are due, regardless of the ends of others.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use http::Method;
use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;
use serde::Deserialize;
use turnford_http::HttpClient;
use turnford_http::HttpError;
use turnford_http::HttpRequest;

use crate::audit::audit_run;
use crate::balancer::LoadBalancer;
use crate::journal::mark_of;
use crate::report::build_report;
use crate::scenario::TrafficSpec;
use crate::JournalEntry;
use crate::LoadReport;
use crate::Scenario;
use crate::SharedExecutor;

/// Time after a request's deadline until the tool stops waiting for its response.
const RESPONSE_GRACE: Duration = Duration::from_secs(10);

/// Filler for one token of input.
const TOKEN_FILLER: &str = "abc ";

/// Settings of a load run.
#[derive(Clone, Debug)]
pub struct LoadSettings {
    /// Client-facing addresses of the nodes, selected round-robin as a load balancer does.
    pub nodes: Vec<SocketAddr>,
    /// Control port of the stand-ins, from which the journal is read.
    pub control: SocketAddr,
    /// Requests per second.
    pub rate: f64,
    /// Time over which requests are started.
    pub duration: Duration,
    /// Deadline sent with each request; `None` uses that of the template.
    pub deadline: Option<Duration>,
    /// Seed of arrivals and inputs.
    pub seed: u64,
    /// Begin and duration of a burst in which inputs are `burst_factor` times as long.
    pub burst: Option<(Duration, Duration)>,
    /// Factor on the input lengths in a burst.
    pub burst_factor: f64,
    /// Whether to show progress on standard error.
    pub progress: bool,
}

/// Record of a request that ended.
#[derive(Clone, Debug)]
pub(crate) struct RequestRecord {
    pub(crate) account: String,
    pub(crate) mark: String,
    /// Result code; `None` if there was no valid response.
    pub(crate) code: Option<u16>,
    pub(crate) ran: String,
    pub(crate) is_complete: bool,
    /// Whether the response carries the request's own marker.
    pub(crate) is_own: bool,
    pub(crate) latency: Duration,
    pub(crate) first_token: Option<Duration>,
    pub(crate) started: Duration,
}

/// Fields of a response body that the tool reads.
#[derive(Deserialize)]
struct ResponseBody {
    code: u16,
    #[serde(default)]
    ran: String,
    #[serde(default)]
    output: String,
}

/// A request before it is sent.
struct RequestPlan {
    traffic: TrafficSpec,
    mark: String,
    input: String,
    deadline: Option<Duration>,
    due: Instant,
    started: Duration,
}

/// Runs the load and returns the report.
///
/// # Errors
///
/// Returns a message if nodes, traffic or rate are missing, or the journal can't be read.
pub async fn run_load(
    scenario: &Scenario,
    settings: &LoadSettings,
    executor: &SharedExecutor,
) -> Result<LoadReport, String> {
    if settings.nodes.is_empty() || scenario.traffic.is_empty() || settings.rate <= 0.0 {
        return Err("nodes, traffic and a rate above 0 are needed".to_owned());
    }
    let client = Arc::new(HttpClient::new());
    let records = Arc::new(Mutex::new(Vec::new()));
    let ended = Arc::new(AtomicU64::new(0));
    let sent = start_requests(scenario, settings, executor, &client, &records, &ended).await;
    wait_for_requests(sent, &ended, settings).await;
    let journal = read_journal(&client, settings.control).await?;
    let records = records
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .clone();
    let once: BTreeSet<String> = scenario
        .services
        .iter()
        .filter(|service| service.once)
        .map(|service| service.name.clone())
        .collect();
    let audit = audit_run(&records, sent, &journal, &once);
    Ok(build_report(scenario, settings, &records, &journal, audit))
}

async fn start_requests(
    scenario: &Scenario,
    settings: &LoadSettings,
    executor: &SharedExecutor,
    client: &Arc<HttpClient>,
    records: &Arc<Mutex<Vec<RequestRecord>>>,
    ended: &Arc<AtomicU64>,
) -> u64 {
    let balancer = LoadBalancer::start(&settings.nodes, executor);
    let mut rng = SmallRng::seed_from_u64(settings.seed);
    let started_at = Instant::now();
    let mut due = Duration::ZERO;
    let mut sent = 0;
    while due < settings.duration {
        let gap: f64 = rng.random_range(f64::EPSILON..1.0);
        due += Duration::from_secs_f64(-gap.ln() / settings.rate);
        Timer::at(started_at + due).await;
        let plan = plan_request(scenario, settings, &mut rng, sent, started_at + due, due);
        let (client, balancer) = (client.clone(), balancer.clone());
        let records = records.clone();
        let ended = ended.clone();
        let task = async move {
            let record = send_request(&client, &balancer, plan).await;
            records
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .push(record);
            ended.fetch_add(1, Ordering::SeqCst);
        };
        executor.spawn(task).detach();
        sent += 1;
        show_progress(settings, sent, due);
    }
    sent
}

async fn wait_for_requests(sent: u64, ended: &AtomicU64, settings: &LoadSettings) {
    let longest = settings.deadline.unwrap_or(RESPONSE_GRACE) + RESPONSE_GRACE;
    let started_at = Instant::now();
    while ended.load(Ordering::SeqCst) < sent && started_at.elapsed() < longest {
        Timer::after(Duration::from_millis(20)).await;
    }
    if settings.progress {
        eprintln!();
    }
}

fn show_progress(settings: &LoadSettings, sent: u64, due: Duration) {
    if settings.progress && sent.is_multiple_of(50) {
        let seconds = due.as_secs_f64();
        eprint!(
            "\r{sent} requests, {seconds:.1} s of {:.0} s",
            settings.duration.as_secs_f64()
        );
    }
}

fn plan_request(
    scenario: &Scenario,
    settings: &LoadSettings,
    rng: &mut SmallRng,
    number: u64,
    due: Instant,
    started: Duration,
) -> RequestPlan {
    let traffic = pick_traffic(&scenario.traffic, rng).clone();
    let in_burst = settings
        .burst
        .is_some_and(|(begin, length)| started >= begin && started < begin + length);
    let factor = if in_burst { settings.burst_factor } else { 1.0 };
    let spread: f64 = rng.random_range(0.5..1.5);
    let tokens = (f64::from(traffic.tokens) * spread * factor).max(8.0) as usize;
    let mark = format!("mark:{}-{number}", settings.seed);
    // Inputs of one account share prefixes, as conversations do.
    let topic = rng.random_range(0..8);
    let prefix = format!("{} topic {topic} ", traffic.account);
    let prefix = format!("{prefix:-<64}");
    let input = format!("{prefix} {mark} {}", TOKEN_FILLER.repeat(tokens));
    let deadline = settings.deadline;
    RequestPlan {
        traffic,
        mark,
        input,
        deadline,
        due,
        started,
    }
}

fn pick_traffic<'a>(traffic: &'a [TrafficSpec], rng: &mut SmallRng) -> &'a TrafficSpec {
    let total: f64 = traffic.iter().map(|spec| spec.weight).sum();
    let mut at = rng.random_range(0.0..total);
    for spec in traffic {
        if at < spec.weight {
            return spec;
        }
        at -= spec.weight;
    }
    &traffic[traffic.len() - 1]
}

async fn send_request(
    client: &HttpClient,
    balancer: &LoadBalancer,
    plan: RequestPlan,
) -> RequestRecord {
    let mut record = RequestRecord {
        account: plan.traffic.account.clone(),
        mark: plan.mark.clone(),
        code: None,
        ran: String::new(),
        is_complete: false,
        is_own: false,
        latency: Duration::ZERO,
        first_token: None,
        started: plan.started,
    };
    let mut response = Err(HttpError::NotConnected);
    for node in balancer.order() {
        response = exchange(client, node, &plan, &mut record).await;
        // Only a request that was certainly not sent may be sent to another node.
        if !matches!(response, Err(HttpError::NotConnected)) {
            break;
        }
    }
    record.latency = plan.due.elapsed();
    if let Ok(body) = response {
        record.code = Some(body.code);
        record.is_complete = body.code < 100;
        record.is_own = mark_of(&body.output) == plan.mark;
        record.ran = body.ran;
    }
    record
}

async fn exchange(
    client: &HttpClient,
    node: SocketAddr,
    plan: &RequestPlan,
    record: &mut RequestRecord,
) -> Result<ResponseBody, HttpError> {
    let path = format!("/v1/pipelines/{}", plan.traffic.template);
    let mut request = HttpClient::request(Method::POST, node, &path)?;
    request.insert_header(
        "authorization",
        format!("Bearer key-{}", plan.traffic.account),
    );
    if plan.traffic.request_ids {
        request.insert_header("turnford-request-id", plan.mark.as_str());
    }
    if let Some(deadline) = plan.deadline {
        request.insert_header("turnford-deadline-ms", deadline.as_millis().to_string());
    }
    request.set_body(plan.input.as_str());
    let timeout = plan.deadline.unwrap_or(RESPONSE_GRACE) + RESPONSE_GRACE;
    if plan.traffic.stream {
        request.insert_header("accept", "text/event-stream");
        return read_events(client, node, plan, request, timeout, record).await;
    }
    let response = client.send(node, request, timeout).await?;
    serde_json::from_slice(&response.body).map_err(|_| HttpError::Disconnected)
}

/// Reads server-sent events up to the last one, which carries the result code.
async fn read_events(
    client: &HttpClient,
    node: SocketAddr,
    plan: &RequestPlan,
    request: HttpRequest,
    timeout: Duration,
    record: &mut RequestRecord,
) -> Result<ResponseBody, HttpError> {
    let mut stream = client.open(node, request, timeout).await?;
    if stream.status != 200 {
        let body = stream.read_body().await?;
        return serde_json::from_slice(&body).map_err(|_| HttpError::Disconnected);
    }
    let mut text = String::new();
    while let Some(line) = stream.next_line().await? {
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        let value: serde_json::Value =
            serde_json::from_str(data).map_err(|_| HttpError::Disconnected)?;
        if let Some(token) = value.get("token").and_then(|token| token.as_str()) {
            record.first_token.get_or_insert_with(|| plan.due.elapsed());
            text.push_str(token);
            continue;
        }
        let mut body: ResponseBody =
            serde_json::from_str(data).map_err(|_| HttpError::Disconnected)?;
        body.output = text;
        return Ok(body);
    }
    Err(HttpError::Truncated)
}

async fn read_journal(
    client: &HttpClient,
    control: SocketAddr,
) -> Result<Vec<JournalEntry>, String> {
    let mut request = HttpClient::request(Method::GET, control, "/journal")
        .map_err(|error| format!("journal: {error}"))?;
    request.insert_header("connection", "close");
    let timeout = Duration::from_secs(30);
    let response = client.send_large(control, request, timeout).await;
    let response = response.map_err(|error| format!("journal: {error}"))?;
    serde_json::from_slice(&response.body).map_err(|error| format!("journal: {error}"))
}
