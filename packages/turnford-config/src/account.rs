//! Client accounts and their template parameters.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use sha2::Digest;
use sha2::Sha256;

use crate::reader::read_file;
use crate::reader::TableReader;
use crate::template::MAX_DEADLINE_MS;
use crate::ConfigError;
use crate::LOWEST_CLASS;

/// Length of a hashed API key, in hexadecimal digits.
const HASH_LEN: usize = 64;

/// Default for [`TemplateParameters::max_tokens`].
const DEFAULT_MAX_TOKENS: i64 = 64;

/// Upper bound of [`TemplateParameters::max_tokens`].
const MAX_TOKENS_LIMIT: i64 = 100_000;

/// One account's parameters for one template.
#[derive(Clone, Debug, PartialEq)]
pub struct TemplateParameters {
    /// Deadline that replaces the template's; it may be shorter or longer.
    pub deadline: Option<Duration>,
    /// Maximum number of tokens that a call may generate.
    pub max_tokens: u32,
}

/// Account of a customer that sends requests.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientAccount {
    /// Name.
    pub name: Arc<str>,
    /// SHA-256 hash of the API key in lower-case hexadecimal. The key itself is never stored.
    pub key_sha256: String,
    /// Class rank; 0 is served first.
    pub class: u8,
    /// Weight of the account's share within its class; 1 is the default.
    pub share: f64,
    /// Maximum request rate over the whole fleet, in requests per second.
    pub rate: f64,
    /// Maximum number of concurrent requests over the whole fleet.
    pub concurrency: u32,
    /// Maximum size of an input, in bytes.
    pub max_input_bytes: usize,
    /// Weight of cost relative to deadline attainment, from 0 to 1.
    pub cost_weight: f64,
    /// Templates that the account may use, with its parameters for each.
    pub templates: BTreeMap<String, TemplateParameters>,
}

impl ClientAccount {
    /// Parses an account file.
    ///
    /// # Errors
    ///
    /// Returns all errors in the file.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<ConfigError>> {
        read_file(file, text, read_account)
    }
}

/// Hashes an API key for comparison with [`ClientAccount::key_sha256`].
pub fn hash_api_key(key: &str) -> String {
    let digest = Sha256::digest(key.as_bytes());
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn read_account(reader: &TableReader<'_>) -> Option<ClientAccount> {
    let name = reader.name("name");
    let key_sha256 = read_hash(reader);
    let class = reader.integer("class", 0..=i64::from(LOWEST_CLASS));
    let share = reader.number_or("share", 0.01..=100.0, 1.0);
    let rate = reader.number_or("rate", 0.01..=1_000_000.0, 100.0);
    let concurrency = reader.integer_or("concurrency", 1..=1_000_000, 1000);
    let max_input_bytes = reader.integer_or("max_input_bytes", 1..=1_000_000, 100_000);
    let cost_weight = reader.number_or("cost_weight", 0.0..=1.0, 0.0);
    let templates = reader.named_tables("templates", read_parameters);
    if templates.is_empty() {
        reader.add_error("templates", "none", "at least one [templates.NAME] table");
    }
    Some(ClientAccount {
        name: Arc::from(name?),
        key_sha256: key_sha256?,
        class: class? as u8,
        share,
        rate,
        concurrency: concurrency as u32,
        max_input_bytes: max_input_bytes as usize,
        cost_weight,
        templates: templates.into_iter().collect(),
    })
}

fn read_hash(reader: &TableReader<'_>) -> Option<String> {
    let hash = reader.text("key_sha256")?;
    let digits = hash
        .bytes()
        .all(|byte| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte));
    if digits && hash.len() == HASH_LEN {
        return Some(hash);
    }
    let found = format!("{} characters", hash.chars().count());
    reader.add_error(
        "key_sha256",
        found,
        "64 digits of 0-9 and a-f, the SHA-256 of the key",
    );
    None
}

fn read_parameters(reader: &TableReader<'_>) -> Option<TemplateParameters> {
    let deadline = if reader.has("deadline_ms") {
        let millis = reader.integer("deadline_ms", 1..=MAX_DEADLINE_MS)?;
        Some(Duration::from_millis(millis as u64))
    } else {
        None
    };
    let max_tokens =
        reader.integer_or("max_tokens", 1..=MAX_TOKENS_LIMIT, DEFAULT_MAX_TOKENS) as u32;
    Some(TemplateParameters {
        deadline,
        max_tokens,
    })
}
