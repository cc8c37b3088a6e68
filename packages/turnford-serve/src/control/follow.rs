//! Following the objects of one kind in the store: a list, then watches, and a list again where the
//! history is gone.

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
use super::source::watch_span;

/// Longest time for a list.
const LIST_LIMIT: Duration = Duration::from_millis(1500);

/// Time in which further changes gather after one, so that many in a row don't cost a call each.
/// Well below the seconds in which a change must be in force.
const GATHER_PAUSE: Duration = Duration::from_millis(150);

/// Pause between looks whether the store came back from a copy, as another call may show.
const ERA_PAUSE: Duration = Duration::from_millis(100);

/// What a follower hears.
pub(super) enum StoreNews {
    /// All objects of the kind.
    List(StoreList),
    /// Changes since, and the place up to which they reach.
    Events(Vec<StoreEvent>, StorePosition),
    /// The store did not answer or turned the call away.
    Lost,
    /// The store answers, for the first time or again.
    Regained,
}

impl StoreNews {
    fn has_changes(&self) -> bool {
        matches!(self, StoreNews::Events(events, _) if !events.is_empty())
    }
}

/// The kind to follow.
#[derive(Clone, Copy)]
pub(super) struct FollowedKind {
    pub(super) kind: &'static str,
    /// State of the kind. Others may set its place forward.
    pub(super) state: fn(&ControlContext) -> &KindState,
}

/// Follows a kind in the store until this is dropped.
pub(super) async fn follow_kind(
    context: Rc<ControlContext>,
    followed: FollowedKind,
    mut hear: impl FnMut(StoreNews),
) {
    let kind = followed.kind;
    let state = (followed.state)(&context);
    loop {
        let from = state.place.get();
        let heard = match from {
            None => list_kind(&context, kind).await,
            // While the store is away, short questions find its return.
            Some(place) if state.is_lost.get() => {
                watch_kind(&context, kind, place, Duration::ZERO).await
            }
            Some(place) => {
                let span = watch_span(&context);
                let watch = watch_kind(&context, kind, place, span);
                watch.or(other_era(&context, place)).await
            }
        };
        let calls = context.store.calls();
        context.shared.metrics.store_calls.set(calls);
        match heard {
            Ok((news, place)) => {
                if state.note_answer() {
                    log::info!("store answers: kind={kind} place={place}");
                    hear(StoreNews::Regained);
                }
                state.confirmed_at.set(context.now());
                // What a peer told meanwhile may be newer than this.
                if state.place.get() <= Some(place) {
                    state.place.set(Some(place));
                    let has_changes = news.has_changes();
                    hear(news);
                    context.view_changed.notify(usize::MAX);
                    if has_changes {
                        Timer::after(GATHER_PAUSE).await;
                    }
                }
            }
            // A list holds only the newest of each object; a watch, each change since.
            Err(
                fault @ (StoreError::HistoryExpired
                | StoreError::EraMismatch
                | StoreError::TooLarge),
            ) if from.is_some() => {
                log::info!("listing anew: kind={kind} reason={fault}");
                state.place.set(None);
            }
            Err(fault) => {
                if let StoreError::Stalled(received) = fault {
                    context.note_abandoned(received);
                }
                let (pause, answered_before) = context.note_failure(state);
                if answered_before {
                    log::warn!("store lost: kind={kind} reason={fault}");
                }
                hear(StoreNews::Lost);
                Timer::after(pause).await;
            }
        }
    }
}

async fn list_kind(
    context: &ControlContext,
    kind: &str,
) -> Result<(StoreNews, StorePosition), StoreError> {
    let list = context.store.list(kind, LIST_LIMIT).await?;
    let place = list.position;
    Ok((StoreNews::List(list), place))
}

async fn watch_kind(
    context: &ControlContext,
    kind: &str,
    place: StorePosition,
    wait: Duration,
) -> Result<(StoreNews, StorePosition), StoreError> {
    let (events, place) = context.store.watch(kind, place, wait).await?;
    Ok((StoreNews::Events(events, place), place))
}

/// Ends when the store is known to have another era than a place: a watch from there would end late, or
/// miss what lies below it.
async fn other_era<T>(context: &ControlContext, place: StorePosition) -> Result<T, StoreError> {
    while context.store.era() == place.era {
        Timer::after(ERA_PAUSE).await;
    }
    Err(StoreError::EraMismatch)
}
