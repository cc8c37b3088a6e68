//! Where this node learns the configuration and the targets from: the store, or a node of its hall
//! that watches the store for others.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;

use turnford_fleet::choose_watchers;
use turnford_fleet::rank_members;
use turnford_fleet::Duty;

use super::config::follow_config;
use super::context::ControlContext;
use super::targets::follow_targets;
use super::view::pull_view;
use crate::shared::RouteView;

/// Longest wait of a watch at the store that only this node depends on. A watch whose answer was
/// lost is found out by its end, so it is well below the time in which a change must be in force
/// after a cut.
const OWN_WATCH_SPAN: Duration = Duration::from_secs(3);

/// The same where other nodes depend on it: they are in touch while this one may be cut off, so
/// they must find that out well before a change has to be in force, which is two seconds.
const SHARED_WATCH_SPAN: Duration = Duration::from_millis(1000);

/// Time that a watcher waits for something new before it says that there is nothing. Its silence is
/// found out by then, and the store is asked before a change has to be in force.
const FOLLOW_SPAN: Duration = Duration::from_millis(700);

/// Age of a watcher's knowledge over which the store is asked: a shared watch, and what its answer
/// takes on a slow VM.
const STALE_AGE: Duration = Duration::from_millis(1600);

/// Time for which a watcher that gave no answer, or knew too little, is passed over.
const AVOID_SPAN: Duration = Duration::from_secs(3);

/// Time for which the store is asked after a watcher failed, before another one is followed: what
/// that watcher missed must not wait for a second one to fail.
const DIRECT_SPAN: Duration = Duration::from_secs(1);

/// Pause between looks whether there is a watcher to follow.
const LOOK_PAUSE: Duration = Duration::from_millis(250);

/// Pause before a watcher is asked again that knows less than this node: its own watch ends soon.
const BEHIND_PAUSE: Duration = Duration::from_millis(200);

/// Time after the start of a process in which it takes other nodes to depend on it, since it does
/// not know them yet.
const START_SPAN: Duration = Duration::from_secs(10);

/// Time in which a starting node waits for word of the other nodes before it goes on by itself.
const MEMBER_PATIENCE: Duration = Duration::from_millis(500);

/// Pause between looks for that word.
const MEMBER_PAUSE: Duration = Duration::from_millis(10);

/// Time in which a starting node leaves the store to its hall's watchers.
const START_PATIENCE: Duration = Duration::from_secs(1);

/// Pause after a watcher could not be followed, so that a fault that shows at once makes no storm.
const FAULT_PAUSE: Duration = Duration::from_millis(20);

/// Where to learn from.
enum ViewSource {
    /// The store itself.
    Store,
    /// The node at this address.
    Peer(SocketAddr),
}

/// Follows the configuration and the targets for as long as the node runs.
pub(super) async fn follow_view(context: Rc<ControlContext>) {
    while !context.shared.has_queried_members.load(Ordering::SeqCst)
        && context.now() < MEMBER_PATIENCE
    {
        Timer::after(MEMBER_PAUSE).await;
    }
    loop {
        match choose_source(&context) {
            ViewSource::Store => {
                let config = follow_config(context.clone());
                let targets = follow_targets(context.clone());
                // The first two end only by being dropped.
                config.or(targets).or(find_peer(&context)).await;
            }
            ViewSource::Peer(peer) => follow_peer(&context, peer).await,
        }
    }
}

/// Asks a watcher for what is new, and passes it over for a while if it is of no use.
async fn follow_peer(context: &Rc<ControlContext>, peer: SocketAddr) {
    let reason = match pull_view(context, peer, FOLLOW_SPAN).await {
        Ok(view) if view.age > STALE_AGE && !context.is_store_lost() => {
            format!("its knowledge is {}ms old", view.age.as_millis())
        }
        Ok(view) => {
            if view.age <= STALE_AGE {
                note_found(context);
            }
            if view.is_behind {
                Timer::after(BEHIND_PAUSE).await;
            }
            return;
        }
        Err(fault) => fault.to_string(),
    };
    log::info!("watcher at {peer} passed over, the store is asked: {reason}");
    context.avoid(peer, AVOID_SPAN, DIRECT_SPAN);
    Timer::after(FAULT_PAUSE).await;
}

/// Notes that the store is there again for the watcher that this node follows.
fn note_found(context: &ControlContext) {
    if !context.is_store_lost() {
        return;
    }
    log::info!("the store answers a watcher again");
    for state in [&context.config_state, &context.target_state] {
        state.note_answer();
    }
    let now = context.now();
    context.targets.borrow_mut().record_store_recovered(now);
}

/// Returns the longest wait of a watch at the store.
pub(super) fn watch_span(context: &ControlContext) -> Duration {
    let hall = &context.shared.settings.hall;
    let view = context.shared.view.load();
    let followers = view.members.iter().filter(|member| member.hall == *hall);
    let is_new = context.now() < START_SPAN;
    if !is_new && followers.count() < watchers_of(context, &view, hall).len() {
        OWN_WATCH_SPAN
    } else {
        SHARED_WATCH_SPAN
    }
}

/// Ends when there is a watcher to follow. An answer of the store that is arriving is awaited
/// first: a large one would begin anew elsewhere.
async fn find_peer(context: &ControlContext) {
    while context.store.is_receiving() || matches!(choose_source(context), ViewSource::Store) {
        Timer::after(LOOK_PAUSE).await;
    }
}

fn choose_source(context: &ControlContext) -> ViewSource {
    let view = context.shared.view.load();
    let watchers = watchers_of(context, &view, &context.shared.settings.hall);
    if asks_store(context, &view, &watchers) {
        return ViewSource::Store;
    }
    let now = context.now();
    let avoided = context.avoided.borrow();
    let is_usable = |address: &SocketAddr| avoided.get(address).is_none_or(|until| *until <= now);
    let mut usable = peers_to_ask(context, &view, &watchers)
        .into_iter()
        .filter(is_usable);
    usable.next().map_or(ViewSource::Store, ViewSource::Peer)
}

/// Tells whether this node asks the store itself, whoever watches.
fn asks_store(context: &ControlContext, view: &RouteView, watchers: &[&str]) -> bool {
    let now = context.now();
    let is_watcher = watchers.contains(&&*context.shared.settings.name);
    if !view.is_complete() {
        // Where a large fleet starts at once, its watchers alone read the lists, which are long.
        return is_watcher || now >= START_PATIENCE;
    }
    if context.is_store_lost() {
        return context.may_ask_store(now);
    }
    is_watcher || now < context.direct_until.get()
}

/// Returns the peers to ask, in an order that is this node's own, so that watchers share the work.
/// Without the store any node may know more.
fn peers_to_ask(context: &ControlContext, view: &RouteView, watchers: &[&str]) -> Vec<SocketAddr> {
    let settings = &context.shared.settings;
    let duty = Duty::Watch(settings.name.to_string());
    let mut names = rank_members(&duty, watchers.iter().copied(), watchers.len());
    if context.is_store_lost() {
        let members = view.members.iter();
        let far = members.filter(|member| member.hall != settings.hall);
        names.extend(far.map(|member| &*member.name));
    }
    let member_of = |name: &str| {
        let mut members = view.members.iter();
        members.find(|member| &*member.name == name)
    };
    let members = names.into_iter().filter_map(member_of);
    members.map(|member| member.inner).collect()
}

/// Returns the nodes that watch for a hall.
fn watchers_of<'a>(context: &'a ControlContext, view: &'a RouteView, hall: &str) -> Vec<&'a str> {
    let near = view.members.iter().filter(|member| &*member.hall == hall);
    if !view.is_complete() {
        // Where all start at once, those that have not told yet would pass for the settled ones.
        let own = &*context.shared.settings.name;
        let names = near.map(|member| &*member.name).chain([own]);
        return choose_watchers(hall, &names.collect::<Vec<&str>>());
    }
    choose_watchers(hall, &context.shared.duty_eligible_names(near))
}
