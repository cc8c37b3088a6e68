//! Objects of configuration as the platform's object API holds them.

use std::fmt;

use crate::ClientAccount;
use crate::ConfigError;
use crate::PipelineTemplate;

/// Kind of a configuration object; also the folder of its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ObjectKind {
    /// A pipeline template.
    Template,
    /// A client account.
    Account,
}

impl ObjectKind {
    /// Words of keys and of the command line.
    pub const NAMES: [(&'static str, ObjectKind); 2] = [
        ("template", ObjectKind::Template),
        ("account", ObjectKind::Account),
    ];

    /// Returns the word.
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

    /// Returns the kind and name of a key.
    pub fn split_key(key: &str) -> Option<(ObjectKind, &str)> {
        let (word, name) = key.strip_prefix("config/")?.split_once('/')?;
        let found = Self::NAMES.iter().find(|(known, _)| *known == word);
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
    /// Reads a file of either kind; a file with `stages` is a template.
    ///
    /// # Errors
    ///
    /// Returns every problem of the file.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<ConfigError>> {
        let is_template = has_field(text, "stages");
        let kind = if is_template {
            ObjectKind::Template
        } else {
            ObjectKind::Account
        };
        Self::parse_kind(kind, file, text)
    }

    /// Reads a file of a known kind.
    ///
    /// # Errors
    ///
    /// Returns every problem of the file.
    pub fn parse_kind(kind: ObjectKind, file: &str, text: &str) -> Result<Self, Vec<ConfigError>> {
        match kind {
            ObjectKind::Template => PipelineTemplate::parse(file, text).map(ConfigObject::Template),
            ObjectKind::Account => {
                let account = ClientAccount::parse(file, text)?;
                Ok(ConfigObject::Account(Box::new(account)))
            }
        }
    }

    /// Tells whether a text looks like a node's settings rather than a configuration object.
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

/// Tells whether a text has a field at its top, as far as it can be read at all.
fn has_field(text: &str, field: &str) -> bool {
    let (table, _) = toml::de::DeTable::parse_recoverable(text);
    table.get_ref().contains_key(field)
}
