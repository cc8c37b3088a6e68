//! Node settings, pipeline templates and client accounts: types, parsing and validation.
//!
//! A file is validated as a whole: all errors are reported at once, each with its location, its
//! field, the value found and the values allowed. The crate does no I/O.

mod account;
mod error;
mod object;
mod reader;
mod serve;
mod settings;
mod template;

pub use account::hash_api_key;
pub use account::ClientAccount;
pub use account::TemplateParameters;
pub use error::ConfigError;
pub use object::ConfigObject;
pub use object::ObjectKind;
pub use serve::RetrySettings;
pub use serve::ServeSettings;
pub use settings::LogLevel;
pub use settings::LogSettings;
pub use settings::NodeSettings;
pub use template::CallKind;
pub use template::PipelineTemplate;
pub use template::StageSpec;

/// Highest class rank, which has the lowest priority. Rank 0 is served first.
pub const LOWEST_CLASS: u8 = 3;
