//! Pipeline templates.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use crate::reader::read_file;
use crate::reader::TableReader;
use crate::ConfigError;

/// Most stages of one template.
const STAGE_LIMIT: usize = 8;

/// Longest deadline, in milliseconds.
pub(crate) const LONGEST_DEADLINE_MS: i64 = 600_000;

/// Quantile of a stage's time that is reserved unless the template names one.
const DEFAULT_QUANTILE: f64 = 0.9;

/// What kind of call a stage makes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// A stage pool of encoders.
    Encode,
    /// A stage pool of retrievers.
    Retrieve,
    /// A stage pool of rerankers.
    Rerank,
    /// A model engine that generates tokens.
    Generate,
    /// A plain service.
    Call,
}

impl CallKind {
    /// Words of the template file.
    pub const NAMES: [(&'static str, CallKind); 5] = [
        ("encode", CallKind::Encode),
        ("retrieve", CallKind::Retrieve),
        ("rerank", CallKind::Rerank),
        ("generate", CallKind::Generate),
        ("call", CallKind::Call),
    ];
}

/// One stage of a template.
#[derive(Clone, Debug, PartialEq)]
pub struct StageSpec {
    /// Name, unique in the template.
    pub name: String,
    /// Service whose targets run it.
    pub service: Arc<str>,
    /// Kind of call.
    pub kind: CallKind,
    /// Whether a call that may have run may be sent again.
    pub repeatable: bool,
    /// Quantile of the stage's time to reserve, from 0.5 to 0.999.
    pub quantile: f64,
    /// Model or adapter that the target must have.
    pub model: Option<Arc<str>>,
}

/// One description of a pipeline for many accounts.
#[derive(Clone, Debug, PartialEq)]
pub struct PipelineTemplate {
    /// Name that callers use.
    pub name: String,
    /// Deadline unless the account or the call names a shorter one.
    pub deadline: Duration,
    /// Stages in order.
    pub stages: Vec<StageSpec>,
}

impl PipelineTemplate {
    /// Reads a template file.
    ///
    /// # Errors
    ///
    /// Returns every problem of the file.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<ConfigError>> {
        read_file(file, text, read_template)
    }

    /// Tells whether a stage must run at most once.
    pub fn requires_claim(&self) -> bool {
        self.stages.iter().any(|stage| !stage.repeatable)
    }
}

fn read_template(reader: &TableReader<'_>) -> Option<PipelineTemplate> {
    let name = reader.name("name");
    let deadline = reader.integer("deadline_ms", 1..=LONGEST_DEADLINE_MS);
    let found = reader.tables("stages", read_stage);
    if reader.has("stages") && !(1..=STAGE_LIMIT).contains(&found.len()) {
        let allowed = format!("1 to {STAGE_LIMIT} stages");
        reader.problem("stages", format!("{} stages", found.len()), allowed);
    }
    let mut seen = BTreeSet::new();
    for stage in found.iter().flatten() {
        if !seen.insert(stage.name.clone()) {
            let twice = format!("{:?} twice", stage.name);
            reader.problem("stages", twice, "a name only once in a template");
        }
    }
    let stages: Option<Vec<StageSpec>> = found.into_iter().collect();
    Some(PipelineTemplate {
        name: name?,
        deadline: Duration::from_millis(deadline? as u64),
        stages: stages?,
    })
}

fn read_stage(reader: &TableReader<'_>) -> Option<StageSpec> {
    let name = reader.name("name");
    let service = reader.name("service");
    let kind = reader.word("kind", &CallKind::NAMES);
    let repeatable = reader.flag_or("repeatable", kind != Some(CallKind::Call));
    let quantile = reader.number_or("quantile", 0.5..=0.999, DEFAULT_QUANTILE);
    let model = if reader.has("model") {
        Some(Arc::from(reader.name("model")?))
    } else {
        None
    };
    Some(StageSpec {
        name: name?,
        service: Arc::from(service?),
        kind: kind?,
        repeatable,
        quantile,
        model,
    })
}
