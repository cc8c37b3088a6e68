//! Following the objects of one kind in the store: a list, then watches, and a list again where the
//! history is gone.

use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;

use turnford_adapter::StoreEvent;
use turnford_adapter::StoreFault;
use turnford_adapter::StoreList;

use super::context::ControlContext;
use super::context::KindState;
use super::source::watch_span;

/// Longest time for a list.
const LIST_LIMIT: Duration = Duration::from_millis(1500);

/// Time in which further changes gather after one, so that many in a row don't cost a call each.
/// Well below the seconds in which a change must be in force.
const GATHER_PAUSE: Duration = Duration::from_millis(150);

/// What a follower hears.
pub(super) enum StoreNews {
    /// All objects of the kind.
    List(StoreList),
    /// Changes since, and the revision up to which they reach.
    Events(Vec<StoreEvent>, u64),
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
    /// State of the kind. Others may set its revision forward.
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
        let from = state.revision.get();
        let heard = match from {
            None => list_kind(&context, kind).await,
            // While the store is away, short questions find its return.
            Some(revision) if state.is_lost.get() => {
                watch_kind(&context, kind, revision, Duration::ZERO).await
            }
            Some(revision) => {
                let span = watch_span(&context);
                watch_kind(&context, kind, revision, span).await
            }
        };
        let calls = context.store.calls();
        context.shared.metrics.store_calls.set(calls);
        match heard {
            Ok((news, revision)) => {
                if state.note_answer() {
                    log::info!("store answers: kind={kind} revision={revision}");
                    hear(StoreNews::Regained);
                }
                state.confirmed_at.set(context.now());
                // What a peer told meanwhile may be newer than this.
                if state.revision.get() <= Some(revision) {
                    state.revision.set(Some(revision));
                    let has_changes = news.has_changes();
                    hear(news);
                    context.view_changed.notify(usize::MAX);
                    if has_changes {
                        Timer::after(GATHER_PAUSE).await;
                    }
                }
            }
            // A list holds only the newest of each object; a watch, each change since.
            Err(fault @ (StoreFault::HistoryGone | StoreFault::TooLarge)) if from.is_some() => {
                log::info!("listing anew: kind={kind} reason={fault}");
                state.revision.set(None);
            }
            Err(fault) => {
                if let StoreFault::Stalled(received) = fault {
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

async fn list_kind(context: &ControlContext, kind: &str) -> Result<(StoreNews, u64), StoreFault> {
    let list = context.store.list(kind, LIST_LIMIT).await?;
    let revision = list.revision;
    Ok((StoreNews::List(list), revision))
}

async fn watch_kind(
    context: &ControlContext,
    kind: &str,
    revision: u64,
    wait: Duration,
) -> Result<(StoreNews, u64), StoreFault> {
    let (events, revision) = context.store.watch(kind, revision, wait).await?;
    Ok((StoreNews::Events(events, revision), revision))
}
