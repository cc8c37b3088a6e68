//! The configuration in force; within a process its version only rises.

use std::rc::Rc;
use std::sync::Arc;

use turnford_adapter::decode_config;
use turnford_adapter::StoreObject;
use turnford_adapter::CONFIG_KIND;
use turnford_adapter::CONFIG_NAME;
use turnford_policy::RouteTable;

use super::context::ControlContext;
use super::follow::follow_kind;
use super::follow::StoreNews;
use crate::shared::RouteView;

/// Follows the configuration for as long as the node runs.
pub(super) async fn follow_config(context: Rc<ControlContext>) {
    let follow = context.clone();
    let hear = move |news| match news {
        StoreNews::List(list) => {
            for object in &list.objects {
                take_config(&context, object);
            }
        }
        StoreNews::Events(events) => {
            for event in events.iter().filter(|event| !event.is_gone) {
                take_config(&context, &event.object);
            }
        }
        StoreNews::Lost(_) | StoreNews::Regained => {}
    };
    follow_kind(follow, CONFIG_KIND, hear).await;
}

/// Puts a configuration into force if it is newer than the one that is.
fn take_config(context: &ControlContext, object: &StoreObject) {
    if object.name != CONFIG_NAME {
        return;
    }
    let config = match decode_config(&object.spec) {
        Ok(config) => config,
        Err(problem) => {
            log::error!(
                "configuration revision={} refused: {problem}",
                object.revision
            );
            return;
        }
    };
    let shared = &context.shared;
    let old = shared.view.load().config.version;
    if config.version <= old {
        return;
    }
    log::info!(
        "configuration in force: version={} before={old} revision={} routes={} services={}",
        config.version,
        object.revision,
        config.routes.len(),
        config.services.len()
    );
    shared.metrics.config_version.set(config.version);
    let config = Arc::new(config);
    let table = Arc::new(RouteTable::new(&config));
    shared.set_view(|view| RouteView {
        config: config.clone(),
        table: table.clone(),
        targets: view.targets.clone(),
        fleet: view.fleet,
    });
}
