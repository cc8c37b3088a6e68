//! From a caller's call to an admitted request: account, template, limits, the whole chain.

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

use crate::answer::RequestEnd;
use crate::place::StagePool;
use crate::snapshot::ConfigSnapshot;
use crate::state::AccountPlace;
use crate::state::NodeState;
use crate::state::RunningGuard;

/// Characters taken as one token when lengths are estimated.
const TOKEN_CHARS: usize = 4;

/// Longest request id that a caller may give.
const REQUEST_ID_LIMIT: usize = 128;

/// Longest deadline that a caller may ask for.
const LONGEST_DEADLINE: Duration = Duration::from_secs(600);

/// Hint for a caller whose node is not ready or is stopping: another node will take it.
const ELSEWHERE_HINT: Duration = Duration::from_millis(200);

/// A request whose stages may start.
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
    pub(crate) promises: PromiseGuard,
    _place: AccountPlace,
    _running: RunningGuard,
}

/// Promises at later stages; those not settled are taken back when dropped.
#[derive(Default)]
pub(crate) struct PromiseGuard {
    class: u8,
    open: Vec<Option<(Arc<StagePool>, Duration)>>,
}

impl PromiseGuard {
    /// Takes a stage's promise back, because it is offered now.
    pub(crate) fn settle(&mut self, stage: usize) {
        let class = self.class;
        if let Some((pool, expected)) = self.open.get_mut(stage).and_then(Option::take) {
            pool.with(|_, pool| pool.remove_pending(class, expected));
        }
    }
}

impl Drop for PromiseGuard {
    fn drop(&mut self) {
        for stage in 0..self.open.len() {
            self.settle(stage);
        }
    }
}

/// Returns the length of a stage's work in tokens.
pub(crate) fn stage_length(stage: &StageSpec, input: &str, max_tokens: u32) -> u32 {
    let read = u32::try_from(input.len() / TOKEN_CHARS).unwrap_or(u32::MAX);
    match stage.kind {
        CallKind::Generate => read.saturating_add(max_tokens),
        _ => read,
    }
}

/// Admits a call, or says why not. A refusal here has started nothing.
pub(crate) fn admit_call(
    state: &Arc<NodeState>,
    call: &BufferedRequest,
    trace: AttemptId,
) -> Result<AdmittedRequest, RequestEnd> {
    check_node(state)?;
    let started = state.clock.now();
    let config = state.config.load_full();
    let account = find_account(&config, call)
        .ok_or_else(|| RequestEnd::not_run(ResultCode::UnknownAccount, "unknown account key"))?;
    let name = call.path.strip_prefix("/v1/pipelines/").unwrap_or("");
    let template = config.templates.get(name).cloned().ok_or_else(|| {
        RequestEnd::not_run(ResultCode::UnknownTemplate, "no such pipeline template")
    })?;
    let parameters = account.templates.get(name).cloned().ok_or_else(|| {
        let message = "the account has no parameters for this template";
        RequestEnd::not_run(ResultCode::TemplateNotAllowed, message)
    })?;
    let request_id = read_request_id(call)?;
    let own = parameters.deadline.unwrap_or(template.deadline);
    let asked = read_deadline(call)?.map_or(own, |asked| asked.min(own));
    let deadline = started + asked;
    let input = read_input(&account, &call.body)?;
    let place = enter_account(state, &account)?;
    let running = state.enter();
    let chain = ChainInput {
        account: &account,
        template: &template,
        input: &input,
        max_tokens: parameters.max_tokens,
        usual_deadline: asked == own,
    };
    let (budget, promises) = admit_chain(state, &chain, deadline)?;
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
        promises,
        _place: place,
        _running: running,
    })
}

fn check_node(state: &NodeState) -> Result<(), RequestEnd> {
    let code = if state.draining.load(Ordering::SeqCst) {
        ResultCode::Draining
    } else if !state.ready.load(Ordering::SeqCst) {
        ResultCode::NotReady
    } else {
        return Ok(());
    };
    Err(RequestEnd::not_run(code, "try another node").retry_after(ELSEWHERE_HINT))
}

/// Returns the account whose key a call carries.
pub(crate) fn account_of(state: &NodeState, call: &BufferedRequest) -> Option<Arc<ClientAccount>> {
    find_account(&state.config.load(), call)
}

fn find_account(config: &ConfigSnapshot, call: &BufferedRequest) -> Option<Arc<ClientAccount>> {
    let header = call.header("authorization").unwrap_or("");
    let key = header.strip_prefix("Bearer ").unwrap_or("");
    config.accounts.get(&hash_api_key(key)).cloned()
}

fn read_request_id(call: &BufferedRequest) -> Result<Option<String>, RequestEnd> {
    let Some(id) = call.header("turnford-request-id") else {
        return Ok(None);
    };
    let printable = id.bytes().all(|byte| byte.is_ascii_graphic());
    if id.is_empty() || id.len() > REQUEST_ID_LIMIT || !printable {
        let message = "Turnford-Request-Id: 1 to 128 printable ASCII characters without spaces";
        return Err(RequestEnd::not_run(ResultCode::BadRequest, message));
    }
    Ok(Some(id.to_owned()))
}

fn read_deadline(call: &BufferedRequest) -> Result<Option<Duration>, RequestEnd> {
    let Some(text) = call.header("turnford-deadline-ms") else {
        return Ok(None);
    };
    let span = text.parse().ok().map(Duration::from_millis);
    match span {
        Some(span) if !span.is_zero() && span <= LONGEST_DEADLINE => Ok(Some(span)),
        _ => {
            let message = "Turnford-Deadline-Ms: a whole number from 1 to 600000";
            Err(RequestEnd::not_run(ResultCode::BadRequest, message))
        }
    }
}

fn read_input(account: &ClientAccount, body: &[u8]) -> Result<String, RequestEnd> {
    if body.len() > account.max_input_bytes {
        let message = format!(
            "the account's inputs have at most {} bytes",
            account.max_input_bytes
        );
        return Err(RequestEnd::not_run(ResultCode::InputTooLarge, message));
    }
    std::str::from_utf8(body)
        .map(str::to_owned)
        .map_err(|_| RequestEnd::not_run(ResultCode::BadRequest, "the body must be UTF-8 text"))
}

fn enter_account(
    state: &Arc<NodeState>,
    account: &ClientAccount,
) -> Result<AccountPlace, RequestEnd> {
    state
        .enter_account(account)
        .map_err(|refusal| match refusal {
            LimitRefusal::Rate { retry_after } => {
                RequestEnd::not_run(ResultCode::RateLimited, "the account's rate is reached")
                    .retry_after(retry_after)
            }
            LimitRefusal::Concurrency { retry_after } => {
                let message = "the account's concurrency is reached";
                RequestEnd::not_run(ResultCode::ConcurrencyLimited, message)
                    .retry_after(retry_after)
            }
        })
}

/// What admission over the chain looks at.
struct ChainInput<'a> {
    account: &'a ClientAccount,
    template: &'a PipelineTemplate,
    input: &'a str,
    max_tokens: u32,
    /// Whether the caller asked for no shorter deadline than the account's.
    usual_deadline: bool,
}

/// Admits the whole chain and promises its later stages to their pools.
fn admit_chain(
    state: &Arc<NodeState>,
    chain: &ChainInput<'_>,
    deadline: Moment,
) -> Result<(DeadlineBudget, PromiseGuard), RequestEnd> {
    let class = chain.account.class;
    let mut demands: Vec<StageDemand> = Vec::new();
    let mut open = Vec::new();
    for stage in &chain.template.stages {
        let Some(pool) = state.pool(&stage.service) else {
            let message = format!("no target of service {} is known", stage.service);
            return Err(RequestEnd::not_run(ResultCode::NoTarget, message)
                .retry_after(Duration::from_secs(1)));
        };
        let length = stage_length(stage, chain.input, chain.max_tokens);
        let (demand, expected) = pool.with(|now, pool| {
            let demand = pool.stage_demand(now, class, length, stage.quantile);
            (demand, pool.expected_time(now, length))
        });
        demands.push(demand);
        open.push(Some((pool, expected)));
    }
    let now = state.clock.now();
    let mut probes = state.probes();
    let gate = chain.usual_deadline.then_some(&mut *probes);
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
                RequestEnd::not_run(ResultCode::DeadlineTooShort, message).retry_after(retry_after)
            );
        }
    };
    for (pool, expected) in open.iter().flatten() {
        pool.with(|_, pool| pool.add_pending(class, *expected));
    }
    Ok((budget, PromiseGuard { class, open }))
}
