//! Whether a saturated node reports itself as not ready, so that the balancer hands its clients to
//! other halls.

use std::time::Duration;

use crate::Moment;

/// Time for which a node is saturated before it reports itself as not ready. A shorter burst is
/// over before the balancer reacts.
const LEAVE_DELAY: Duration = Duration::from_millis(300);

/// Minimum time for which the node stays not ready. The balancer needs two failed probes, one second
/// apart.
const MIN_AWAY: Duration = Duration::from_secs(4);

/// Maximum of that time, which doubles whenever the node is saturated again soon after its return.
const MAX_AWAY: Duration = Duration::from_secs(32);

/// Time after a return within which saturation counts as soon.
const RELAPSE_TIME: Duration = Duration::from_secs(10);

/// Time without saturation after which the node may be ready again.
const CALM_TIME: Duration = Duration::from_secs(1);

/// Age from which what is known of other nodes no longer counts.
const MAX_LOAD_AGE: Duration = Duration::from_millis(1500);

/// Load of other nodes, as a sample of them reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerLoad {
    /// Whether a node of the own hall has processor time left.
    pub hall_has_free: bool,
    /// Whether all sampled nodes of other halls have.
    pub others_are_free: bool,
}

/// Change of the readiness.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadinessChange {
    /// The node reports itself as not ready for at least this time.
    Left(Duration),
    /// The node is ready again.
    Returned,
}

/// Decides whether a saturated node is ready.
///
/// While another node of its hall has processor time, the node stays ready and rejects the
/// connections that it has no time for: their clients go to that node. If the whole hall is
/// saturated and others are not, its nodes leave, so that the balancer uses the nearest halls. If those are
/// saturated, too, leaving would only move the load.
#[derive(Clone, Debug, Default)]
pub struct ReadinessGate {
    peer_load: Option<(Moment, PeerLoad)>,
    saturated_since: Option<Moment>,
    calm_since: Option<Moment>,
    /// Until when the node stays not ready, `None` while it is ready.
    away_until: Option<Moment>,
    /// Time of the next absence.
    next_away: Option<Duration>,
    returned_at: Option<Moment>,
}

impl ReadinessGate {
    /// Records what other nodes report.
    pub fn record_peers(&mut self, now: Moment, load: PeerLoad) {
        self.peer_load = Some((now, load));
    }

    /// Returns whether the node has left.
    pub fn is_away(&self) -> bool {
        self.away_until.is_some()
    }

    /// Updates the state; `is_saturated` tells whether the node has too little processor time.
    pub fn update(&mut self, now: Moment, is_saturated: bool) -> Option<ReadinessChange> {
        if is_saturated {
            self.calm_since = None;
            self.saturated_since.get_or_insert(now);
        } else {
            self.saturated_since = None;
            self.calm_since.get_or_insert(now);
        }
        match self.away_until {
            None => self.should_leave(now).then(|| self.leave(now)),
            Some(until) => self.should_return(now, until).then(|| {
                self.away_until = None;
                self.returned_at = Some(now);
                ReadinessChange::Returned
            }),
        }
    }

    fn should_leave(&self, now: Moment) -> bool {
        let lasts = self.saturated_since.is_some_and(|since| {
            let lasted = now.saturating_sub(since);
            lasted >= LEAVE_DELAY
        });
        let load = self.known_load(now);
        lasts && load.is_some_and(|load| load.others_are_free && !load.hall_has_free)
    }

    fn should_return(&self, now: Moment, until: Moment) -> bool {
        let is_calm = self.calm_since.is_some_and(|since| {
            let lasted = now.saturating_sub(since);
            lasted >= CALM_TIME
        });
        // Others that are saturated by now, too, are not helped by an absence.
        let load = self.known_load(now);
        let is_needed = load.is_some_and(|load| !load.others_are_free);
        is_needed || (is_calm && now >= until)
    }

    fn leave(&mut self, now: Moment) -> ReadinessChange {
        let returned = self.returned_at.map(|at| now.saturating_sub(at));
        let is_relapse = returned.is_some_and(|since| since < RELAPSE_TIME);
        let away = match self.next_away {
            Some(away) if is_relapse => away,
            _ => MIN_AWAY,
        };
        self.next_away = Some((away * 2).min(MAX_AWAY));
        self.away_until = Some(now + away);
        ReadinessChange::Left(away)
    }

    fn known_load(&self, now: Moment) -> Option<PeerLoad> {
        let (at, load) = self.peer_load?;
        (now.saturating_sub(at) < MAX_LOAD_AGE).then_some(load)
    }
}
