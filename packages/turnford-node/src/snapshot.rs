//! Immutable configuration that traffic reads.

use std::collections::HashMap;
use std::sync::Arc;

use turnford_config::ClientAccount;
use turnford_config::ConfigObject;
use turnford_config::ObjectKind;
use turnford_config::PipelineTemplate;
use turnford_fleet::ConfigView;
use turnford_fleet::Version;

/// Templates and accounts of one version. A request uses one snapshot from start to end.
#[derive(Default)]
pub(crate) struct ConfigSnapshot {
    pub(crate) version: Version,
    pub(crate) templates: HashMap<String, Arc<PipelineTemplate>>,
    /// Accounts by the hash of their key.
    pub(crate) accounts: HashMap<String, Arc<ClientAccount>>,
}

impl ConfigSnapshot {
    /// Builds a snapshot. An object that does not parse is left as it was before, if it was there.
    pub(crate) fn build(view: &ConfigView, before: &ConfigSnapshot) -> Self {
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
                Err(problems) => {
                    let problem = problems
                        .first()
                        .map(ToString::to_string)
                        .unwrap_or_default();
                    log::error!("{key} version {version} is not usable, kept as before: {problem}");
                    snapshot.keep(kind, name, before);
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

    fn keep(&mut self, kind: ObjectKind, name: &str, before: &ConfigSnapshot) {
        match kind {
            ObjectKind::Template => {
                let old = before.templates.get(name);
                self.templates
                    .extend(old.map(|old| (name.to_owned(), old.clone())));
            }
            ObjectKind::Account => {
                let mut old = before.accounts.iter();
                let old = old.find(|(_, account)| &*account.name == name);
                self.accounts
                    .extend(old.map(|(key, old)| (key.clone(), old.clone())));
            }
        }
    }
}
