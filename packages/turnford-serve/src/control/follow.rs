//! Following the objects of one kind in the store: a list, then watches, and a list again where the
//! history is gone.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;

use turnford_adapter::StoreEvent;
use turnford_adapter::StoreFault;
use turnford_adapter::StoreList;

use super::context::ControlContext;

/// Longest wait of one watch. A watch whose answer was lost is found out by its end, so it is well
/// below the time in which a change must be in force after a cut.
const WATCH_SPAN: Duration = Duration::from_secs(3);

/// Longest time for a list.
const LIST_LIMIT: Duration = Duration::from_millis(1500);

/// First pause after the store did not answer; it doubles up to [`LONGEST_PAUSE`].
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// Longest pause between calls to a store that does not answer.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);

/// Time in which further changes gather after one, so that many in a row don't cost a call each. Well
/// below the seconds in which a change must be in force.
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

/// The kind to follow.
#[derive(Clone, Copy)]
pub(super) struct FollowedKind {
    pub(super) kind: &'static str,
    /// Revision to go on from; `None` before a list. Others may set it forward.
    pub(super) revision: fn(&ControlContext) -> &Cell<Option<u64>>,
}

/// Follows a kind for as long as the node runs.
pub(super) async fn follow_kind(
    context: Rc<ControlContext>,
    followed: FollowedKind,
    mut hear: impl FnMut(StoreNews),
) {
    let kind = followed.kind;
    let cell = (followed.revision)(&context);
    let mut pause = FIRST_PAUSE;
    let mut is_lost = true;
    loop {
        let from = cell.get();
        let heard = match from {
            None => list_kind(&context, kind).await,
            // While the store is away, short questions find its return.
            Some(revision) if is_lost => watch_kind(&context, kind, revision, Duration::ZERO).await,
            Some(revision) => watch_kind(&context, kind, revision, WATCH_SPAN).await,
        };
        let calls = context.store.calls();
        context.shared.metrics.store_calls.set(calls);
        match heard {
            Ok((news, revision)) => {
                if std::mem::take(&mut is_lost) {
                    log::info!("store answers: kind={kind} revision={revision}");
                    hear(StoreNews::Regained);
                }
                pause = FIRST_PAUSE;
                // What a peer told meanwhile may be newer than this.
                if cell.get() == from {
                    cell.set(Some(revision));
                    let has_changes =
                        matches!(&news, StoreNews::Events(events, _) if !events.is_empty());
                    hear(news);
                    if has_changes {
                        Timer::after(GATHER_PAUSE).await;
                    }
                }
            }
            Err(StoreFault::HistoryGone) => {
                log::info!("store history gone: kind={kind}, listing anew");
                cell.set(None);
            }
            Err(fault) => {
                if !std::mem::replace(&mut is_lost, true) {
                    log::warn!("store lost: kind={kind} reason={fault}");
                }
                hear(StoreNews::Lost);
                Timer::after(context.jitter(pause)).await;
                pause = (pause * 2).min(LONGEST_PAUSE);
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
