//! Exchange of the configuration and the targets between nodes.

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

use super::config::apply_spec;
use super::config::ConfigCopy;
use super::context::ControlContext;
use super::context::PeerCursor;
use super::targets::publish;

/// Timeout for the start of a peer's response, in addition to the requested wait.
const PULL_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum wait for an update before a pull is answered without one.
const MAX_WAIT: Duration = Duration::from_secs(2);

/// Maximum number of nodes that a starting node asks; nodes that have ended may still be listed.
const MAX_START_PEERS: usize = 3;

/// Interval for polling whether the other nodes are known.
const MEMBER_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Result of a pull.
pub(super) struct PulledView {
    /// Time since the store confirmed that the peer's view is complete.
    pub(super) age: Duration,
    /// Whether the peer knows less of the targets than this node, or has a configuration that this node can't read.
    pub(super) is_useless: bool,
}

/// Pulls the view of another node at start, so that a starting node does not put an older copy held
/// by the store into force.
pub(super) async fn pull_initial_view(context: Rc<ControlContext>) {
    while !context.shared.has_queried_members.load(Ordering::SeqCst) {
        Timer::after(MEMBER_POLL_INTERVAL).await;
    }
    let peers = context.members.borrow_mut().sample(MAX_START_PEERS);
    for peer in peers {
        match pull_view(&context, peer.address, Duration::ZERO).await {
            Ok(_) => break,
            Err(error) => log::info!("initial pull from peer {} failed: {error}", peer.address),
        }
    }
    context
        .shared
        .has_view_snapshot
        .store(true, Ordering::SeqCst);
}

/// Pulls updates from a peer, which waits up to `wait` for something new.
///
///
/// # Errors
///
///
/// Returns the error of the call. A peer that does not support the call counts as disconnected.
pub(super) async fn pull_view(
    context: &Rc<ControlContext>,
    peer: SocketAddr,
    wait: Duration,
) -> Result<PulledView, PeerError> {
    let known = context.cursors.borrow().get(&peer).copied();
    let started_at = context.now();
    let cursor = known.map(|known| known.cursor);
    let (update, versions) = request_view(context, peer, cursor, wait).await?;
    let is_skipped = known.is_some_and(|known| !known.is_applied);
    if !is_skipped || update.target_position < context.targets.borrow().position() {
        return Ok(apply_view(context, peer, started_at, update, versions));
    }
    // The peer is no longer behind, and what it had before the cursor is not known here.
    context.cursors.borrow_mut().remove(&peer);
    let started_at = context.now();
    let (update, versions) = request_view(context, peer, None, Duration::ZERO).await?;
    Ok(apply_view(context, peer, started_at, update, versions))
}

async fn request_view(
    context: &ControlContext,
    peer: SocketAddr,
    cursor: Option<ViewCursor>,
    wait: Duration,
) -> Result<(ViewUpdate, Vec<Option<String>>), PeerError> {
    let config = context.shared.view.load().config.version;
    let wait_ms = to_millis(wait);
    let request = ControlRequest::VersionedViewPull {
        config,
        cursor,
        wait_ms,
    };
    let reply = match call_pull(context, peer, &request, wait).await? {
        // A node of an older build, or one that is stopping.
        ControlReply::Refused => {
            let request = ControlRequest::ViewPull {
                config,
                cursor,
                wait_ms,
            };
            call_pull(context, peer, &request, wait).await?
        }
        reply => reply,
    };
    match reply {
        ControlReply::VersionedView { view, versions } => Ok((view, versions)),
        ControlReply::View(view) => Ok((view, Vec::new())),
        _ => Err(PeerError::Disconnected),
    }
}

async fn call_pull(
    context: &ControlContext,
    peer: SocketAddr,
    request: &ControlRequest,
    wait: Duration,
) -> Result<ControlReply, PeerError> {
    let reply = context.peers.call(peer, request, wait + PULL_TIMEOUT).await;
    if let Err(PeerError::Stalled(received)) = reply {
        context.record_abandoned(received);
    }
    reply
}

/// Applies a peer's response to a pull that started at `started_at`.
fn apply_view(
    context: &ControlContext,
    peer: SocketAddr,
    started_at: Moment,
    update: ViewUpdate,
    versions: Vec<Option<String>>,
) -> PulledView {
    let now = context.now();
    let compressed = update.config.as_ref();
    let is_valid = compressed.is_none_or(|compressed| apply_config(context, peer, compressed));
    let (position, cursor) = (update.target_position, update.cursor);
    // A large response takes some time to arrive, during which its content ages.
    let waited = from_millis(update.waited_ms);
    let in_transit = now.saturating_sub(started_at + waited);
    let age = from_millis(update.age_ms) + in_transit;
    let config_position = update.config_position;
    let config_state = &context.config_state;
    // A malformed configuration still has to be read from the store.
    if is_valid {
        let own = config_state.position.get().unwrap_or_default();
        config_state.position.set(Some(own.max(config_position)));
    }
    let update = target_update(now, update, versions);
    let is_behind = !context
        .targets
        .borrow_mut()
        .apply_update(now, position, update);
    record_cursor(context, peer, cursor, !is_behind);
    if !is_behind {
        context.target_state.position.set(Some(position));
        publish(context);
    }
    // This node's view is now at least as recent as the store's confirmation.
    let confirmed = now.saturating_sub(age);
    for state in [config_state, &context.target_state] {
        let before = state.confirmed_at.get();
        state.confirmed_at.set(confirmed.max(before));
    }
    PulledView {
        age,
        is_useless: is_behind || !is_valid,
    }
}

/// Records up to which change a peer's response is known. The next pull waits for a change after it, also if this
/// one was not applied.
fn record_cursor(context: &ControlContext, peer: SocketAddr, cursor: ViewCursor, is_applied: bool) {
    let mut cursors = context.cursors.borrow_mut();
    let known = cursors.get(&peer);
    let is_known = known.is_some_and(|known| known.is_applied && known.cursor == cursor);
    let is_applied = is_applied || is_known;
    cursors.insert(peer, PeerCursor { cursor, is_applied });
}

/// Puts a peer's configuration into force if it is newer. Returns `false` if it is malformed.
fn apply_config(context: &ControlContext, peer: SocketAddr, compressed: &CompressedText) -> bool {
    let spec = compressed
        .decompress()
        .map_err(|error| error.to_string())
        .and_then(|text| serde_json::from_str(&text).map_err(|error| error.to_string()));
    let spec: Value = match spec {
        Ok(spec) => spec,
        Err(reason) => {
            log::error!("configuration of peer {peer} refused: {reason}");
            return false;
        }
    };
    let source = format!("peer {peer} packed={}", compressed.size());
    let copy = || ConfigCopy::Compressed(compressed.clone());
    apply_spec(context, &spec, &source, copy).is_ok()
}

/// Answers a view pull, immediately if there is something new.
pub(super) async fn answer_view(
    context: Rc<ControlContext>,
    config: u64,
    cursor: Option<ViewCursor>,
    wait: Duration,
) -> ControlReply {
    let update = wait_update(&context, config, cursor, wait).await;
    update.map_or(ControlReply::Refused, |(view, _)| ControlReply::View(view))
}

/// Answers a view pull with the software versions of the targets.
pub(super) async fn answer_versioned_view(
    context: Rc<ControlContext>,
    config: u64,
    cursor: Option<ViewCursor>,
    wait: Duration,
) -> ControlReply {
    let update = wait_update(&context, config, cursor, wait).await;
    update.map_or(ControlReply::Refused, |(view, versions)| {
        ControlReply::VersionedView { view, versions }
    })
}

/// Waits until there is something new for a peer. Returns `None` if the node is stopping.
async fn wait_update(
    context: &ControlContext,
    config: u64,
    cursor: Option<ViewCursor>,
    wait: Duration,
) -> Option<(ViewUpdate, Vec<Option<String>>)> {
    let started_at = context.now();
    let until = started_at + wait.min(MAX_WAIT);
    loop {
        let after = cursor.and_then(|cursor| known_change(context, cursor));
        let changed = context.view_changed.listen();
        if context.shared.is_draining() {
            return None;
        }
        let has_config = context.shared.view.load().config.version > config;
        let has_targets = after != Some(context.targets.borrow().newest_change());
        let left = until.saturating_sub(context.now());
        if has_config || has_targets || left.is_zero() {
            return Some(view_update(context, config, after, started_at));
        }
        let over = async {
            Timer::after(left).await;
        };
        changed.or(over).await;
    }
}

/// Returns the change up to which a requesting node is up to date, or `None` if it needs
/// everything: its cursor is from another process, or from before the store was restored from a
/// copy.
fn known_change(context: &ControlContext, cursor: ViewCursor) -> Option<u64> {
    let is_own = cursor.process == context.shared.started;
    let is_of_era = cursor.era == context.targets.borrow().position().era;
    (is_own && is_of_era).then_some(cursor.change)
}

/// Returns the update for a pull that started at `started_at`, and the software versions of its
/// targets.
fn view_update(
    context: &ControlContext,
    config: u64,
    after: Option<u64>,
    started_at: Moment,
) -> (ViewUpdate, Vec<Option<String>>) {
    let is_newer = context.shared.view.load().config.version > config;
    let mut copy = context.config_copy.borrow_mut();
    let compressed = if is_newer { copy.compressed() } else { None };
    let list = context.targets.borrow();
    let update = list.updates_since(after);
    let now = context.now();
    let targets = update.listed.iter().map(|listed| target_entry(now, listed));
    let removed = update.removed.iter().map(ToString::to_string);
    let versions = update.listed.iter().map(|listed| {
        let version = listed.spec.version.as_deref();
        version.map(str::to_owned)
    });
    let view = ViewUpdate {
        config: compressed.cloned(),
        config_position: context.config_state.position.get().unwrap_or_default(),
        is_full: update.is_full,
        targets: targets.collect(),
        removed: removed.collect(),
        target_position: list.position(),
        cursor: ViewCursor {
            process: context.shared.started,
            era: list.position().era,
            change: list.newest_change(),
        },
        age_ms: to_millis(context.view_age()),
        waited_ms: to_millis(now.saturating_sub(started_at)),
    };
    (view, versions.collect())
}

fn from_millis(millis: u32) -> Duration {
    Duration::from_millis(u64::from(millis))
}

fn to_millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
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

fn target_update(now: Moment, update: ViewUpdate, versions: Vec<Option<String>>) -> TargetUpdate {
    let versions = versions.into_iter().chain(std::iter::repeat(None));
    let entries = update.targets.into_iter().zip(versions);
    let listed = entries.map(|(entry, version)| ListedTarget {
        spec: TargetSpec {
            id: entry.id.into(),
            process_start: entry.process_start,
            service: entry.service.into(),
            address: entry.address,
            hall: entry.hall.into(),
            slots: entry.slots,
            orders: entry.orders,
            leaving: entry.leaving,
            version: version.map(Into::into),
        },
        expires_at: entry.expires_in_ms.map(|left| now + from_millis(left)),
        is_restored: entry.is_restored,
    });
    TargetUpdate {
        is_full: update.is_full,
        listed: listed.collect(),
        removed: update.removed.into_iter().map(Into::into).collect(),
    }
}
