//! A validation error, with the information needed to fix it.

use std::fmt;

/// A validation error in a configuration file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// File name, as given by the operator.
    pub file: String,
    /// Line number, starting at 1.
    pub line: usize,
    /// Path of the field, for example `stages[1].quantile`.
    pub field: String,
    /// Description of the value found.
    pub found: String,
    /// Description of the values allowed.
    pub allowed: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            file,
            line,
            field,
            found,
            allowed,
        } = self;
        write!(
            f,
            "{file}:{line}: {field}: found {found}; allowed: {allowed}"
        )
    }
}

impl std::error::Error for ConfigError {}
