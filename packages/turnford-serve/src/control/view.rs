//! How nodes ask each other for the configuration and the targets, and answer.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;
use serde_json::Value;

use turnford_policy::ListedTarget;
use turnford_policy::Moment;
use turnford_policy::TargetSpec;
use turnford_policy::TargetUpdate;
use turnford_wire::CompressedText;
use turnford_wire::ControlReply;
use turnford_wire::ControlRequest;
use turnford_wire::PeerError;
use turnford_wire::TargetEntry;
use turnford_wire::ViewCursor;
use turnford_wire::ViewUpdate;

use super::config::take_spec;
use super::config::HeldConfig;
use super::context::ControlContext;
use super::targets::publish;

/// Longest wait until a peer's answer begins, beyond the time that it was asked to wait.
const PULL_LIMIT: Duration = Duration::from_millis(300);

/// Longest time that a node waits for something new to answer with.
const LONGEST_WAIT: Duration = Duration::from_secs(2);

/// Nodes that one which starts asks at most; those that ended may still be listed.
const START_TRIES: usize = 3;

/// Pause between looks whether the other nodes are known.
const START_PAUSE: Duration = Duration::from_millis(10);

/// What a peer told.
pub(super) struct PulledView {
    /// Time since the store said that what the peer told is all.
    pub(super) age: Duration,
    /// Whether the peer knows less of the targets than this node.
    pub(super) is_behind: bool,
}

/// Asks another node for what it knows, so that a node that starts while the store holds an older copy
/// does not put that into force.
pub(super) async fn learn_view(context: Rc<ControlContext>) {
    while !context.shared.has_queried_members.load(Ordering::SeqCst) {
        Timer::after(START_PAUSE).await;
    }
    let peers = context.members.borrow_mut().sample(START_TRIES);
    for peer in peers {
        match pull_view(&context, peer.address, Duration::ZERO).await {
            Ok(_) => break,
            Err(fault) => log::info!("peer {} was asked at the start: {fault}", peer.address),
        }
    }
    context
        .shared
        .has_view_snapshot
        .store(true, Ordering::SeqCst);
}

/// Asks a peer for what it knows more, waiting for something new for so long.
///
/// # Errors
///
/// Returns the fault; a peer that takes no such call counts as broken.
pub(super) async fn pull_view(
    context: &Rc<ControlContext>,
    peer: SocketAddr,
    wait: Duration,
) -> Result<PulledView, PeerError> {
    let request = ControlRequest::ViewPull {
        config: context.shared.view.load().config.version,
        cursor: context.cursors.borrow().get(&peer).copied(),
        wait_ms: to_millis(wait),
    };
    let limit = wait + PULL_LIMIT;
    let begun = context.now();
    let reply = context.peers.call(peer, &request, limit).await;
    if let Err(PeerError::Stalled(received)) = reply {
        context.note_abandoned(received);
    }
    match reply? {
        ControlReply::View(news) => Ok(take_view(context, peer, begun, news)),
        _ => Err(PeerError::Disconnected),
    }
}

/// Takes what a peer answered to a question that began at `begun`.
fn take_view(
    context: &ControlContext,
    peer: SocketAddr,
    begun: Moment,
    news: ViewUpdate,
) -> PulledView {
    let now = context.now();
    let packed = news.config.as_ref();
    let is_understood = packed.is_none_or(|packed| take_config(context, peer, packed));
    let (place, cursor) = (news.target_position, news.cursor);
    // A large answer is on its way for some time, in which what it tells grows old.
    let waited = from_millis(news.waited_ms);
    let on_way = now.saturating_sub(begun + waited);
    let age = from_millis(news.age_ms) + on_way;
    let config_place = news.config_position;
    let config_state = &context.config_state;
    // A configuration that made no sense is still to come from the store.
    if is_understood {
        let own = config_state.place.get().unwrap_or_default();
        config_state.place.set(Some(own.max(config_place)));
    }
    let news = target_news(now, news);
    let is_behind = !context.targets.borrow_mut().apply_update(now, place, news);
    if !is_behind {
        context.cursors.borrow_mut().insert(peer, cursor);
        context.target_state.place.set(Some(place));
        publish(context);
    }
    // This node knows at least what the store said by then.
    let confirmed = now.saturating_sub(age);
    for state in [config_state, &context.target_state] {
        let before = state.confirmed_at.get();
        state.confirmed_at.set(confirmed.max(before));
    }
    PulledView { age, is_behind }
}

/// Puts a peer's configuration into force if it is newer; false if it makes no sense.
fn take_config(context: &ControlContext, peer: SocketAddr, packed: &CompressedText) -> bool {
    let spec = packed
        .decompress()
        .map_err(|fault| fault.to_string())
        .and_then(|text| serde_json::from_str(&text).map_err(|error| error.to_string()));
    let spec: Value = match spec {
        Ok(spec) => spec,
        Err(reason) => {
            log::error!("configuration of peer {peer} refused: {reason}");
            return false;
        }
    };
    let source = format!("peer {peer} packed={}", packed.size());
    let hold = || HeldConfig::Packed(packed.clone());
    take_spec(context, &spec, &source, hold);
    true
}

/// Answers a view pull, at once if there is something new.
pub(super) async fn answer_view(
    context: Rc<ControlContext>,
    config: u64,
    cursor: Option<ViewCursor>,
    wait: Duration,
) -> ControlReply {
    let begun = context.now();
    let until = begun + wait.min(LONGEST_WAIT);
    loop {
        let after = cursor.and_then(|cursor| known_change(&context, cursor));
        let changed = context.view_changed.listen();
        if context.shared.is_draining() {
            return ControlReply::Refused;
        }
        let has_config = context.shared.view.load().config.version > config;
        let has_targets = after != Some(context.targets.borrow().newest_change());
        let left = until.saturating_sub(context.now());
        if has_config || has_targets || left.is_zero() {
            return ControlReply::View(view_news(&context, config, after, begun));
        }
        let over = async {
            Timer::after(left).await;
        };
        changed.or(over).await;
    }
}

/// Returns the change that an asking node has last, `None` where it has to get all: it heard it from
/// another process, or before the store came back from a copy.
fn known_change(context: &ControlContext, cursor: ViewCursor) -> Option<u64> {
    let is_own = cursor.process == context.shared.started;
    let is_of_era = cursor.era == context.targets.borrow().position().era;
    (is_own && is_of_era).then_some(cursor.change)
}

/// Returns what is new for one that asked at `begun`.
fn view_news(
    context: &ControlContext,
    config: u64,
    after: Option<u64>,
    begun: Moment,
) -> ViewUpdate {
    let is_newer = context.shared.view.load().config.version > config;
    let mut held = context.held_config.borrow_mut();
    let packed = if is_newer { held.packed() } else { None };
    let list = context.targets.borrow();
    let news = list.updates_since(after);
    let now = context.now();
    let targets = news.listed.iter().map(|listed| target_entry(now, listed));
    let gone = news.removed.iter().map(ToString::to_string);
    ViewUpdate {
        config: packed.cloned(),
        config_position: context.config_state.place.get().unwrap_or_default(),
        is_full: news.is_full,
        targets: targets.collect(),
        removed: gone.collect(),
        target_position: list.position(),
        cursor: ViewCursor {
            process: context.shared.started,
            era: list.position().era,
            change: list.newest_change(),
        },
        age_ms: to_millis(context.view_age()),
        waited_ms: to_millis(now.saturating_sub(begun)),
    }
}

fn from_millis(millis: u32) -> Duration {
    Duration::from_millis(u64::from(millis))
}

fn to_millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}

fn target_entry(now: Moment, listed: &ListedTarget) -> TargetEntry {
    let target = &listed.spec;
    TargetEntry {
        id: target.id.to_string(),
        process_start: target.process_start,
        service: target.service.to_string(),
        address: target.address,
        hall: target.hall.to_string(),
        slots: target.slots,
        orders: target.orders,
        leaving: target.leaving,
        expires_in_ms: listed
            .expires_at
            .map(|at| to_millis(at.saturating_sub(now))),
        is_restored: listed.is_restored,
    }
}

fn target_news(now: Moment, news: ViewUpdate) -> TargetUpdate {
    let listed = news.targets.into_iter().map(|entry| ListedTarget {
        spec: TargetSpec {
            id: entry.id.into(),
            process_start: entry.process_start,
            service: entry.service.into(),
            address: entry.address,
            hall: entry.hall.into(),
            slots: entry.slots,
            orders: entry.orders,
            leaving: entry.leaving,
        },
        expires_at: entry.expires_in_ms.map(|left| now + from_millis(left)),
        is_restored: entry.is_restored,
    });
    TargetUpdate {
        is_full: news.is_full,
        listed: listed.collect(),
        removed: news.removed.into_iter().map(Into::into).collect(),
    }
}
