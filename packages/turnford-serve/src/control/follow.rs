//! Follows the objects of one kind in the store: lists them, then watches for changes, and lists
//! again when the history has expired.

use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;

use turnford_adapter::StoreError;
use turnford_adapter::StoreEvent;
use turnford_adapter::StoreList;
use turnford_policy::StorePosition;

use super::context::ControlContext;
use super::context::KindState;
use super::source::max_watch_wait;

/// Timeout of a list call.
const LIST_TIMEOUT: Duration = Duration::from_millis(1500);

/// Delay after a change in which further changes accumulate, so that a series of changes doesn't
/// cost a call each. Well below the seconds within which a change must be in force.
const BATCH_DELAY: Duration = Duration::from_millis(150);

/// Interval for polling whether another call has shown that the store was restored from a copy.
const ERA_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Update of the objects of a kind, or of the store's reachability.
pub(super) enum StoreUpdate {
    /// All objects of the kind.
    List(StoreList),
    /// Changes since the last update, and the position that they lead to.
    Events(Vec<StoreEvent>, StorePosition),
    /// The store did not respond or rejected the call.
    Lost,
    /// The store responds, for the first time or again.
    Recovered,
}

impl StoreUpdate {
    fn has_changes(&self) -> bool {
        matches!(self, StoreUpdate::Events(events, _) if !events.is_empty())
    }
}

/// A kind of objects to follow.
#[derive(Clone, Copy)]
pub(super) struct FollowedKind {
    pub(super) kind: &'static str,
    /// Returns the state of the kind. Other tasks may advance its position.
    pub(super) state: fn(&ControlContext) -> &KindState,
}

/// Follows a kind of objects in the store until dropped.
pub(super) async fn follow_kind(
    context: Rc<ControlContext>,
    followed: FollowedKind,
    mut handle: impl FnMut(StoreUpdate),
) {
    let kind = followed.kind;
    let state = (followed.state)(&context);
    loop {
        let from = state.position.get();
        let result = match from {
            None => list_kind(&context, kind).await,
            // While the store is unreachable, calls without a wait detect its return.
            Some(position) if state.is_lost.get() => {
                watch_kind(&context, kind, position, Duration::ZERO).await
            }
            Some(position) => {
                let wait = max_watch_wait(&context);
                let watch = watch_kind(&context, kind, position, wait);
                watch.or(wait_era_change(&context, position)).await
            }
        };
        let calls = context.store.calls();
        context.shared.metrics.store_calls.set(calls);
        match result {
            Ok((update, position)) => {
                if state.record_response() {
                    log::info!("store reachable: kind={kind} place={position}");
                    handle(StoreUpdate::Recovered);
                }
                state.confirmed_at.set(context.now());
                // A peer may have sent something newer in the meantime.
                if state.position.get() <= Some(position) {
                    state.position.set(Some(position));
                    let has_changes = update.has_changes();
                    handle(update);
                    context.view_changed.notify(usize::MAX);
                    if has_changes {
                        Timer::after(BATCH_DELAY).await;
                    }
                }
            }
            // A list holds only the newest version of each object, a watch every change since.
            Err(
                error @ (StoreError::HistoryExpired
                | StoreError::EraMismatch
                | StoreError::TooLarge),
            ) if from.is_some() => {
                log::info!("listing again: kind={kind} reason={error}");
                state.position.set(None);
            }
            Err(error) => {
                if let StoreError::Stalled(received) = error {
                    context.record_abandoned(received);
                }
                let (delay, was_reachable) = context.record_failure(state);
                if was_reachable {
                    log::warn!("store unreachable: kind={kind} reason={error}");
                }
                handle(StoreUpdate::Lost);
                Timer::after(delay).await;
            }
        }
    }
}

async fn list_kind(
    context: &ControlContext,
    kind: &str,
) -> Result<(StoreUpdate, StorePosition), StoreError> {
    let list = context.store.list(kind, LIST_TIMEOUT).await?;
    let position = list.position;
    Ok((StoreUpdate::List(list), position))
}

async fn watch_kind(
    context: &ControlContext,
    kind: &str,
    position: StorePosition,
    wait: Duration,
) -> Result<(StoreUpdate, StorePosition), StoreError> {
    let (events, position) = context.store.watch(kind, position, wait).await?;
    Ok((StoreUpdate::Events(events, position), position))
}

/// Completes when the store is known to have another era than `position`: a watch from there would
/// end late, or miss changes below it.
async fn wait_era_change<T>(
    context: &ControlContext,
    position: StorePosition,
) -> Result<T, StoreError> {
    while context.store.era() == position.era {
        Timer::after(ERA_POLL_INTERVAL).await;
    }
    Err(StoreError::EraMismatch)
}
