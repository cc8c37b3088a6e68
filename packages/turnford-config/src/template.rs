//! Pipeline templates.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use crate::reader::read_file;
use crate::reader::TableReader;
use crate::ConfigError;

/// Maximum number of stages of a template.
const MAX_STAGES: usize = 8;

/// Maximum deadline, in milliseconds.
pub(crate) const MAX_DEADLINE_MS: i64 = 600_000;

/// Default for [`StageSpec::quantile`].
const DEFAULT_QUANTILE: f64 = 0.9;

/// Kind of call that a stage makes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// Call to an encoder.
    Encode,
    /// Call to a retriever.
    Retrieve,
    /// Call to a reranker.
    Rerank,
    /// Call to an inference engine that generates tokens.
    Generate,
    /// Call to a plain service.
    Call,
}

impl CallKind {
    /// Names in template files.
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
    /// Name, unique within the template.
    pub name: String,
    /// Service whose targets run the stage.
    pub service: Arc<str>,
    /// Kind of call.
    pub kind: CallKind,
    /// Whether a call that may have run may be repeated.
    pub repeatable: bool,
    /// Quantile of the stage's time that is reserved within the deadline, from 0.5 to 0.999.
    pub quantile: f64,
    /// Model or adapter that the target must have loaded.
    pub model: Option<Arc<str>>,
}

/// A pipeline that many accounts can use.
#[derive(Clone, Debug, PartialEq)]
pub struct PipelineTemplate {
    /// Name that clients use.
    pub name: String,
    /// Default deadline. An account may replace it; a request may only shorten it.
    pub deadline: Duration,
    /// Stages in order.
    pub stages: Vec<StageSpec>,
}

impl PipelineTemplate {
    /// Parses a template file.
    ///
    /// # Errors
    ///
    /// Returns all errors in the file.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<ConfigError>> {
        read_file(file, text, read_template)
    }

    /// Returns whether a stage must run at most once, so that requests with an id need a claim.
    pub fn requires_claim(&self) -> bool {
        self.stages.iter().any(|stage| !stage.repeatable)
    }
}

fn read_template(reader: &TableReader<'_>) -> Option<PipelineTemplate> {
    let name = reader.name("name");
    let deadline = reader.integer("deadline_ms", 1..=MAX_DEADLINE_MS);
    let found = reader.tables("stages", read_stage);
    if reader.has("stages") && !(1..=MAX_STAGES).contains(&found.len()) {
        let allowed = format!("1 to {MAX_STAGES} stages");
        reader.add_error("stages", format!("{} stages", found.len()), allowed);
    }
    let mut seen = BTreeSet::new();
    for stage in found.iter().flatten() {
        if !seen.insert(stage.name.clone()) {
            let duplicate = format!("{:?} twice", stage.name);
            reader.add_error("stages", duplicate, "a name only once in a template");
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
    let kind = reader.choice("kind", &CallKind::NAMES);
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
