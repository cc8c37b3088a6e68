//! Attributes of a client's call that decisions depend on.

use std::time::Duration;

/// A segment of a prompt. Requests whose prompts begin with the same segments share their cached
/// work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptSegment {
    /// Id of the segment.
    pub id: u64,
    /// Length, in tokens.
    pub tokens: u64,
}

/// A client's call, as decoded from its headers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallAttributes {
    /// Id of this attempt of the client, unique among all attempts.
    pub attempt: String,
    /// API key of the account.
    pub api_key: Option<String>,
    /// Time that the client waits.
    pub client_timeout: Option<Duration>,
    /// Last event of a stream that the client has received.
    pub last_event_id: Option<u64>,
    /// Id of the attempt that brought the first event of the stream that this one resumes.
    pub resumes: Option<String>,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u64,
    /// Maximum length of the output, in tokens.
    pub max_output_tokens: u64,
    /// Segments of the prompt, the most widely shared one first.
    pub segments: Vec<PromptSegment>,
    /// Number of pieces of each stage. Stages without pieces are skipped.
    pub pieces: Vec<u32>,
    /// Key that the first stages need to start.
    pub piece_key: Option<String>,
}

impl CallAttributes {
    /// Returns the prompt tokens that are specific to this request or its session.
    pub fn unique_tokens(&self) -> u64 {
        self.segments.last().map_or(0, |segment| segment.tokens)
    }

    /// Returns the number of pieces of a stage.
    pub fn piece_count(&self, stage: usize) -> u32 {
        self.pieces.get(stage).copied().unwrap_or(0)
    }
}
