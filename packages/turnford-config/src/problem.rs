//! One problem in a file, with all that is needed to mend it.

use std::fmt;

/// A problem found by a check.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// File as the operator named it.
    pub file: String,
    /// Line, counted from 1.
    pub line: usize,
    /// Path of the field, for example `stages[1].quantile`.
    pub field: String,
    /// What stands there.
    pub found: String,
    /// What is allowed.
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
