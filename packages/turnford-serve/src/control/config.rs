//! The configuration in force. Within a process its version only increases.

use std::rc::Rc;
use std::sync::Arc;

use serde_json::Value;

use turnford_adapter::decode_config;
use turnford_adapter::DecodeError;
use turnford_adapter::StoreObject;
use turnford_adapter::CONFIG_KIND;
use turnford_adapter::CONFIG_NAME;
use turnford_policy::RouteTable;
use turnford_wire::CompressedText;

use super::context::ControlContext;
use super::follow::follow_kind;
use super::follow::FollowedKind;
use super::follow::StoreUpdate;
use crate::shared::RouteView;

/// The stored representation of the configuration in force, kept to answer other nodes.
#[derive(Default)]
pub(super) enum ConfigCopy {
    /// There is no configuration yet.
    #[default]
    Missing,
    /// Parsed, as read from the store.
    Parsed(Value),
    /// Compressed, as exchanged between nodes.
    Compressed(CompressedText),
}

impl ConfigCopy {
    /// Returns the compressed configuration. It is compressed on the first request, since few nodes
    /// are asked.
    pub(super) fn compressed(&mut self) -> Option<&CompressedText> {
        if let ConfigCopy::Parsed(spec) = self {
            *self = ConfigCopy::Compressed(CompressedText::compress(&spec.to_string()));
        }
        match self {
            ConfigCopy::Compressed(compressed) => Some(compressed),
            ConfigCopy::Missing | ConfigCopy::Parsed(_) => None,
        }
    }
}

/// Follows the configuration in the store until dropped.
pub(super) async fn follow_config(context: Rc<ControlContext>) {
    let owned = context.clone();
    let handle = move |update| match update {
        StoreUpdate::List(list) => {
            for object in &list.objects {
                apply_object(&owned, object);
            }
        }
        StoreUpdate::Events(events, _) => {
            for event in events.iter().filter(|event| !event.is_deleted) {
                apply_object(&owned, &event.object);
            }
        }
        StoreUpdate::Lost | StoreUpdate::Recovered => {}
    };
    let kind = FollowedKind {
        kind: CONFIG_KIND,
        state: |context| &context.config_state,
    };
    follow_kind(context, kind, handle).await;
}

fn apply_object(context: &ControlContext, object: &StoreObject) {
    if object.name != CONFIG_NAME {
        return;
    }
    let copy = || ConfigCopy::Parsed(object.spec.clone());
    if matches!(apply_spec(context, &object.spec, "store", copy), Ok(true)) {
        context.signal_update();
    }
}

/// Puts a configuration into force if its version is newer, and keeps the copy returned by `copy`
/// for other nodes. Returns whether it was put into force.
///
/// # Errors
///
/// Returns the error of a configuration that can't be decoded.
pub(super) fn apply_spec(
    context: &ControlContext,
    spec: &Value,
    source: &str,
    copy: impl FnOnce() -> ConfigCopy,
) -> Result<bool, DecodeError> {
    let config = decode_config(spec)
        .inspect_err(|error| log::error!("configuration from={source} refused: {error}"))?;
    let shared = &context.shared;
    let old = shared.view.load().config.version;
    if config.version <= old {
        return Ok(false);
    }
    log::info!(
        "configuration in force: version={} before={old} from={source} routes={} services={}",
        config.version,
        config.routes.len(),
        config.services.len()
    );
    shared.metrics.config_version.set(config.version);
    *context.config_copy.borrow_mut() = copy();
    let table = Arc::new(RouteTable::new(&config));
    let config = Arc::new(config);
    shared.set_view(|view| RouteView {
        config: config.clone(),
        table: table.clone(),
        ..view.clone()
    });
    context.view_changed.notify(usize::MAX);
    Ok(true)
}
