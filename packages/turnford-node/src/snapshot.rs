//! Immutable snapshots of the configuration for request threads.

use std::collections::HashMap;
use std::sync::Arc;

use turnford_config::ClientAccount;
use turnford_config::ConfigObject;
use turnford_config::ObjectKind;
use turnford_config::PipelineTemplate;
use turnford_fleet::ConfigView;
use turnford_fleet::Version;

/// Templates and accounts of one configuration version. A request uses one snapshot throughout.
#[derive(Default)]
pub(crate) struct ConfigSnapshot {
    pub(crate) version: Version,
    pub(crate) templates: HashMap<String, Arc<PipelineTemplate>>,
    /// Accounts by the hash of their API key.
    pub(crate) accounts: HashMap<String, Arc<ClientAccount>>,
}

impl ConfigSnapshot {
    /// Builds a snapshot. An object that doesn't parse keeps its state from the previous snapshot,
    /// if it had one.
    pub(crate) fn build(view: &ConfigView, previous: &ConfigSnapshot) -> Self {
        let mut snapshot = ConfigSnapshot {
            version: view.newest(),
            ..ConfigSnapshot::default()
        };
        for (key, version, text) in view.live() {
            let Some((kind, name)) = ObjectKind::split_key(key) else {
                continue;
            };
            match ConfigObject::parse_kind(kind, key, text) {
                Ok(object) => snapshot.insert(object),
                Err(errors) => {
                    let error = errors.first().map(ToString::to_string).unwrap_or_default();
                    log::error!(
                        "{key} version {version} is invalid, keeping the previous state: {error}"
                    );
                    snapshot.retain_previous(kind, name, previous);
                }
            }
        }
        snapshot
    }

    fn insert(&mut self, object: ConfigObject) {
        match object {
            ConfigObject::Template(template) => {
                self.templates
                    .insert(template.name.clone(), Arc::new(template));
            }
            ConfigObject::Account(account) => {
                self.accounts
                    .insert(account.key_sha256.clone(), Arc::from(account));
            }
        }
    }

    fn retain_previous(&mut self, kind: ObjectKind, name: &str, previous: &ConfigSnapshot) {
        match kind {
            ObjectKind::Template => {
                let old = previous.templates.get(name);
                self.templates
                    .extend(old.map(|old| (name.to_owned(), old.clone())));
            }
            ObjectKind::Account => {
                let mut old = previous.accounts.iter();
                let old = old.find(|(_, account)| &*account.name == name);
                self.accounts
                    .extend(old.map(|(key, old)| (key.clone(), old.clone())));
            }
        }
    }
}
