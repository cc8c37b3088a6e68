//! Configuration objects, as stored in the platform's object API.

use std::fmt;

use crate::ClientAccount;
use crate::ConfigError;
use crate::PipelineTemplate;

/// Kind of a configuration object, which is also a segment of its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ObjectKind {
    /// A pipeline template.
    Template,
    /// A client account.
    Account,
}

impl ObjectKind {
    /// Names in keys and on the command line.
    pub const NAMES: [(&'static str, ObjectKind); 2] = [
        ("template", ObjectKind::Template),
        ("account", ObjectKind::Account),
    ];

    /// Returns the kind's name.
    pub fn as_str(self) -> &'static str {
        match self {
            ObjectKind::Template => "template",
            ObjectKind::Account => "account",
        }
    }

    /// Returns the key of an object, for example `config/account/lejr-one`.
    pub fn key(self, name: &str) -> String {
        format!("config/{}/{name}", self.as_str())
    }

    /// Splits a key into the object's kind and name. Returns `None` for other keys.
    pub fn split_key(key: &str) -> Option<(ObjectKind, &str)> {
        let (kind, name) = key.strip_prefix("config/")?.split_once('/')?;
        let found = Self::NAMES.iter().find(|(known, _)| *known == kind);
        found.map(|(_, kind)| (*kind, name))
    }
}

impl fmt::Display for ObjectKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A parsed configuration object.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigObject {
    /// A pipeline template.
    Template(PipelineTemplate),
    /// A client account.
    Account(Box<ClientAccount>),
}

impl ConfigObject {
    /// Parses a file of either kind; a file with a `stages` field is a template.
    ///
    /// # Errors
    ///
    /// Returns all errors in the file.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<ConfigError>> {
        let is_template = has_field(text, "stages");
        let kind = if is_template {
            ObjectKind::Template
        } else {
            ObjectKind::Account
        };
        Self::parse_kind(kind, file, text)
    }

    /// Parses a file of a known kind.
    ///
    /// # Errors
    ///
    /// Returns all errors in the file.
    pub fn parse_kind(kind: ObjectKind, file: &str, text: &str) -> Result<Self, Vec<ConfigError>> {
        match kind {
            ObjectKind::Template => PipelineTemplate::parse(file, text).map(ConfigObject::Template),
            ObjectKind::Account => {
                let account = ClientAccount::parse(file, text)?;
                Ok(ConfigObject::Account(Box::new(account)))
            }
        }
    }

    /// Returns whether a text appears to be node settings rather than a configuration object.
    pub fn is_node_settings(text: &str) -> bool {
        has_field(text, "listen") || has_field(text, "inner")
    }

    /// Returns the key under which the object is stored.
    pub fn key(&self) -> String {
        match self {
            ConfigObject::Template(template) => ObjectKind::Template.key(&template.name),
            ConfigObject::Account(account) => ObjectKind::Account.key(&account.name),
        }
    }
}

/// Returns whether a text has a top-level field, as far as the text can be parsed.
fn has_field(text: &str, field: &str) -> bool {
    let (table, _) = toml::de::DeTable::parse_recoverable(text);
    table.get_ref().contains_key(field)
}
