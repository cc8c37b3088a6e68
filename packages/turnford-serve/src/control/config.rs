//! The configuration in force; within a process its version only rises.

use std::rc::Rc;
use std::sync::Arc;

use serde_json::Value;

use turnford_adapter::decode_config;
use turnford_adapter::StoreObject;
use turnford_adapter::CONFIG_KIND;
use turnford_adapter::CONFIG_NAME;
use turnford_policy::RouteTable;
use turnford_wire::CompressedText;

use super::context::ControlContext;
use super::follow::follow_kind;
use super::follow::FollowedKind;
use super::follow::StoreNews;
use crate::shared::RouteView;

/// The configuration in force as the store holds it, kept for peers that ask for it.
#[derive(Default)]
pub(super) enum HeldConfig {
    /// There is none yet.
    #[default]
    Missing,
    /// As it was read from the store.
    Read(Value),
    /// As peers tell it to each other.
    Packed(CompressedText),
}

impl HeldConfig {
    /// Returns it as peers are told. It is packed at the first question, since few nodes are asked.
    pub(super) fn packed(&mut self) -> Option<&CompressedText> {
        if let HeldConfig::Read(spec) = self {
            *self = HeldConfig::Packed(CompressedText::compress(&spec.to_string()));
        }
        match self {
            HeldConfig::Packed(packed) => Some(packed),
            HeldConfig::Missing | HeldConfig::Read(_) => None,
        }
    }
}

/// Follows the configuration in the store until this is dropped.
pub(super) async fn follow_config(context: Rc<ControlContext>) {
    let heard = context.clone();
    let hear = move |news| match news {
        StoreNews::List(list) => {
            for object in &list.objects {
                take_object(&heard, object);
            }
        }
        StoreNews::Events(events, _) => {
            for event in events.iter().filter(|event| !event.is_deleted) {
                take_object(&heard, &event.object);
            }
        }
        StoreNews::Lost | StoreNews::Regained => {}
    };
    let kind = FollowedKind {
        kind: CONFIG_KIND,
        state: |context| &context.config_state,
    };
    follow_kind(context, kind, hear).await;
}

fn take_object(context: &ControlContext, object: &StoreObject) {
    if object.name != CONFIG_NAME {
        return;
    }
    let hold = || HeldConfig::Read(object.spec.clone());
    if take_spec(context, &object.spec, "store", hold) {
        context.note_learned();
    }
}

/// Puts a configuration into force if it is newer than the one that is, and keeps what `hold` makes
/// of it for peers; true if it was.
pub(super) fn take_spec(
    context: &ControlContext,
    spec: &Value,
    source: &str,
    hold: impl FnOnce() -> HeldConfig,
) -> bool {
    let config = match decode_config(spec) {
        Ok(config) => config,
        Err(problem) => {
            log::error!("configuration from={source} refused: {problem}");
            return false;
        }
    };
    let shared = &context.shared;
    let old = shared.view.load().config.version;
    if config.version <= old {
        return false;
    }
    log::info!(
        "configuration in force: version={} before={old} from={source} routes={} services={}",
        config.version,
        config.routes.len(),
        config.services.len()
    );
    shared.metrics.config_version.set(config.version);
    *context.held_config.borrow_mut() = hold();
    let table = Arc::new(RouteTable::new(&config));
    let config = Arc::new(config);
    shared.set_view(|view| RouteView {
        config: config.clone(),
        table: table.clone(),
        ..view.clone()
    });
    context.view_changed.notify(usize::MAX);
    true
}
