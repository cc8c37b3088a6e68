//! What the decisions need to know of a client's call.

use std::time::Duration;

/// A part of a prompt. Requests that begin with the same parts share their work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptSegment {
    /// Id of the part.
    pub id: u64,
    /// Its length, in tokens.
    pub tokens: u64,
}

/// A client's call, as decoded from its head.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallAttributes {
    /// Id of this try of the client; no other try has it.
    pub attempt: String,
    /// Key of the account.
    pub api_key: Option<String>,
    /// Time that the client waits.
    pub client_timeout: Option<Duration>,
    /// Event of a stream that the client has seen last.
    pub last_event_id: Option<u64>,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u64,
    /// Longest answer, in tokens.
    pub max_output_tokens: u64,
    /// Parts of the prompt, the most shared one first.
    pub segments: Vec<PromptSegment>,
    /// Number of pieces of each stage; a stage without pieces is left out.
    pub pieces: Vec<u32>,
    /// What the first stages need to begin.
    pub piece_key: Option<String>,
}

impl CallAttributes {
    /// Returns the tokens of the prompt that are this request's or its session's own.
    pub fn unique_tokens(&self) -> u64 {
        self.segments.last().map_or(0, |part| part.tokens)
    }

    /// Returns the number of pieces of a stage.
    pub fn piece_count(&self, stage: usize) -> u32 {
        self.pieces.get(stage).copied().unwrap_or(0)
    }
}
