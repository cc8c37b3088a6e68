//! Admission of requests: account, template, limits, and the feasibility of all stages.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use turnford_config::hash_api_key;
use turnford_config::CallKind;
use turnford_config::ClientAccount;
use turnford_config::PipelineTemplate;
use turnford_config::StageSpec;
use turnford_config::TemplateParameters;
use turnford_http::BufferedRequest;
use turnford_policy::plan_admission;
use turnford_policy::AdmissionPlan;
use turnford_policy::AttemptId;
use turnford_policy::DeadlineBudget;
use turnford_policy::LimitRefusal;
use turnford_policy::Moment;
use turnford_policy::ResultCode;
use turnford_policy::StageDemand;

use crate::outcome::RequestOutcome;
use crate::snapshot::ConfigSnapshot;
use crate::stage_pool::StagePool;
use crate::state::AccountPermit;
use crate::state::NodeState;
use crate::state::RunningGuard;

/// Bytes of input counted as one token when lengths are estimated.
const BYTES_PER_TOKEN: usize = 4;

/// Maximum length of a client's request id, in bytes.
const MAX_REQUEST_ID_LEN: usize = 128;

/// Longest deadline that a client may ask for.
const MAX_DEADLINE: Duration = Duration::from_secs(600);

/// Retry hint while this node is not ready or is draining. It is short because another node can
/// take the request.
const OTHER_NODE_RETRY_AFTER: Duration = Duration::from_millis(200);

/// An admitted request, ready to run its stages.
pub(crate) struct AdmittedRequest {
    pub(crate) state: Arc<NodeState>,
    pub(crate) trace: AttemptId,
    pub(crate) template: Arc<PipelineTemplate>,
    pub(crate) parameters: TemplateParameters,
    pub(crate) account: Arc<ClientAccount>,
    pub(crate) request_id: Option<String>,
    pub(crate) input: String,
    pub(crate) started: Moment,
    pub(crate) budget: DeadlineBudget,
    pub(crate) pending: PendingGuard,
    _permit: AccountPermit,
    _running: RunningGuard,
}

/// Pending load registered with the pools of a request's stages; what remains is removed on drop.
#[derive(Default)]
pub(crate) struct PendingGuard {
    class: u8,
    stages: Vec<Option<(Arc<StagePool>, Duration)>>,
}

impl PendingGuard {
    /// Removes a stage's pending load, because the stage is submitted to its pool next.
    pub(crate) fn remove(&mut self, stage: usize) {
        let class = self.class;
        if let Some((pool, expected)) = self.stages.get_mut(stage).and_then(Option::take) {
            pool.with(|_, pool| pool.remove_pending(class, expected));
        }
    }
}

impl Drop for PendingGuard {
    fn drop(&mut self) {
        for stage in 0..self.stages.len() {
            self.remove(stage);
        }
    }
}

/// Estimates the length of a stage's work, in tokens.
pub(crate) fn stage_length(stage: &StageSpec, input: &str, max_tokens: u32) -> u32 {
    let input_tokens = u32::try_from(input.len() / BYTES_PER_TOKEN).unwrap_or(u32::MAX);
    match stage.kind {
        CallKind::Generate => input_tokens.saturating_add(max_tokens),
        _ => input_tokens,
    }
}

/// Admits a request.
///
/// # Errors
///
/// Returns the outcome of a refused request, none of whose stages has run.
pub(crate) fn admit_request(
    state: &Arc<NodeState>,
    request: &BufferedRequest,
    trace: AttemptId,
) -> Result<AdmittedRequest, RequestOutcome> {
    check_node(state)?;
    let started = state.clock.now();
    let config = state.config.load_full();
    let account = find_account(&config, request).ok_or_else(|| {
        RequestOutcome::not_run(ResultCode::UnknownAccount, "unknown account key")
    })?;
    let name = request.path.strip_prefix("/v1/pipelines/").unwrap_or("");
    let template = config.templates.get(name).cloned().ok_or_else(|| {
        RequestOutcome::not_run(ResultCode::UnknownTemplate, "no such pipeline template")
    })?;
    let parameters = account.templates.get(name).cloned().ok_or_else(|| {
        let message = "the account has no parameters for this template";
        RequestOutcome::not_run(ResultCode::TemplateNotAllowed, message)
    })?;
    let request_id = read_request_id(request)?;
    let default = parameters.deadline.unwrap_or(template.deadline);
    let requested = read_deadline(request)?.map_or(default, |requested| requested.min(default));
    let deadline = started + requested;
    let input = read_input(&account, &request.body)?;
    let permit = acquire_permit(state, &account)?;
    let running = state.track_running();
    let context = AdmissionContext {
        account: &account,
        template: &template,
        input: &input,
        max_tokens: parameters.max_tokens,
        is_default_deadline: requested == default,
    };
    let (budget, pending) = admit_stages(state, &context, deadline)?;
    Ok(AdmittedRequest {
        state: state.clone(),
        trace,
        template,
        parameters,
        account,
        request_id,
        input,
        started,
        budget,
        pending,
        _permit: permit,
        _running: running,
    })
}

fn check_node(state: &NodeState) -> Result<(), RequestOutcome> {
    let code = if state.draining.load(Ordering::SeqCst) {
        ResultCode::Draining
    } else if !state.ready.load(Ordering::SeqCst) {
        ResultCode::NotReady
    } else {
        return Ok(());
    };
    Err(RequestOutcome::not_run(code, "try another node").retry_after(OTHER_NODE_RETRY_AFTER))
}

/// Returns the account whose API key the request carries.
pub(crate) fn find_request_account(
    state: &NodeState,
    request: &BufferedRequest,
) -> Option<Arc<ClientAccount>> {
    find_account(&state.config.load(), request)
}

fn find_account(config: &ConfigSnapshot, request: &BufferedRequest) -> Option<Arc<ClientAccount>> {
    let header = request.header("authorization").unwrap_or("");
    let key = header.strip_prefix("Bearer ").unwrap_or("");
    config.accounts.get(&hash_api_key(key)).cloned()
}

fn read_request_id(request: &BufferedRequest) -> Result<Option<String>, RequestOutcome> {
    let Some(id) = request.header("turnford-request-id") else {
        return Ok(None);
    };
    let printable = id.bytes().all(|byte| byte.is_ascii_graphic());
    if id.is_empty() || id.len() > MAX_REQUEST_ID_LEN || !printable {
        let message = "Turnford-Request-Id: 1 to 128 printable ASCII characters without spaces";
        return Err(RequestOutcome::not_run(ResultCode::BadRequest, message));
    }
    Ok(Some(id.to_owned()))
}

fn read_deadline(request: &BufferedRequest) -> Result<Option<Duration>, RequestOutcome> {
    let Some(text) = request.header("turnford-deadline-ms") else {
        return Ok(None);
    };
    let deadline = text.parse().ok().map(Duration::from_millis);
    match deadline {
        Some(deadline) if !deadline.is_zero() && deadline <= MAX_DEADLINE => Ok(Some(deadline)),
        _ => {
            let message = "Turnford-Deadline-Ms: a whole number from 1 to 600000";
            Err(RequestOutcome::not_run(ResultCode::BadRequest, message))
        }
    }
}

fn read_input(account: &ClientAccount, body: &[u8]) -> Result<String, RequestOutcome> {
    if body.len() > account.max_input_bytes {
        let message = format!(
            "the account's inputs have at most {} bytes",
            account.max_input_bytes
        );
        return Err(RequestOutcome::not_run(ResultCode::InputTooLarge, message));
    }
    std::str::from_utf8(body)
        .map(str::to_owned)
        .map_err(|_| RequestOutcome::not_run(ResultCode::BadRequest, "the body must be UTF-8 text"))
}

fn acquire_permit(
    state: &Arc<NodeState>,
    account: &ClientAccount,
) -> Result<AccountPermit, RequestOutcome> {
    state
        .acquire_permit(account)
        .map_err(|refusal| match refusal {
            LimitRefusal::Rate { retry_after } => {
                RequestOutcome::not_run(ResultCode::RateLimited, "the account's rate is reached")
                    .retry_after(retry_after)
            }
            LimitRefusal::Concurrency { retry_after } => {
                let message = "the account's concurrency is reached";
                RequestOutcome::not_run(ResultCode::ConcurrencyLimited, message)
                    .retry_after(retry_after)
            }
        })
}

/// What the admission of a request's stages depends on.
struct AdmissionContext<'a> {
    account: &'a ClientAccount,
    template: &'a PipelineTemplate,
    input: &'a str,
    max_tokens: u32,
    /// Whether the client asked for no shorter deadline than the account's.
    is_default_deadline: bool,
}

/// Admits all stages together and registers their expected times with the pools as pending load.
fn admit_stages(
    state: &Arc<NodeState>,
    context: &AdmissionContext<'_>,
    deadline: Moment,
) -> Result<(DeadlineBudget, PendingGuard), RequestOutcome> {
    let class = context.account.class;
    let mut demands: Vec<StageDemand> = Vec::new();
    let mut stages = Vec::new();
    for stage in &context.template.stages {
        let Some(pool) = state.pool(&stage.service) else {
            let message = format!("no target of service {} is known", stage.service);
            return Err(RequestOutcome::not_run(ResultCode::NoTarget, message)
                .retry_after(Duration::from_secs(1)));
        };
        let length = stage_length(stage, context.input, context.max_tokens);
        let (demand, expected) = pool.with(|now, pool| {
            let demand = pool.stage_demand(now, class, length, stage.quantile);
            (demand, pool.expected_time(now, length))
        });
        demands.push(demand);
        stages.push(Some((pool, expected)));
    }
    let now = state.clock.now();
    let mut probes = state.probes();
    let gate = context.is_default_deadline.then_some(&mut *probes);
    let plan = plan_admission(now, deadline, &demands, gate);
    drop(probes);
    let budget = match plan {
        AdmissionPlan::Admit(budget) => budget,
        AdmissionPlan::Refuse { .. } if !state.admission_control => {
            let reserves = demands.iter().map(|demand| demand.reserve).collect();
            DeadlineBudget::new(deadline, reserves)
        }
        AdmissionPlan::Refuse { retry_after } => {
            let message = "the stages can't finish within the deadline";
            return Err(
                RequestOutcome::not_run(ResultCode::DeadlineTooShort, message)
                    .retry_after(retry_after),
            );
        }
    };
    for (pool, expected) in stages.iter().flatten() {
        pool.with(|_, pool| pool.add_pending(class, *expected));
    }
    Ok((budget, PendingGuard { class, stages }))
}
