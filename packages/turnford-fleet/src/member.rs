//! SWIM-style group membership with probes, indirect probes, suspicion and incarnations.
//!
//! The size of a message does not depend on the size of the fleet: each carries at most six
//! updates, and each update is retransmitted a number of times that grows with the logarithm of the
//! size.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::seq::SliceRandom;
use rand::SeedableRng;

use crate::Moment;
use crate::NodeName;

/// Maximum number of updates in one message.
const MAX_GOSSIP_UPDATES: usize = 6;

/// Interval between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of members asked to probe an unresponsive member.
const INDIRECT_PROBES: usize = 3;

/// Time within which a suspect has to refute the suspicion, per doubling of the fleet size.
const SUSPECT_TIMEOUT: Duration = Duration::from_millis(1000);

/// Time for which a dead member is remembered, so that stale gossip does not resurrect it.
const DEAD_RETENTION: Duration = Duration::from_secs(600);

/// Every n-th probe goes to a member considered dead, so that the halves of a partition merge
/// again.
const DEAD_PROBE_INTERVAL: u64 = 5;

/// Retransmissions of an update per doubling of the fleet size.
const RETRANSMIT_FACTOR: u32 = 3;

/// State of a member. Within one incarnation, a later value takes precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, bincode::Encode, bincode::Decode)]
pub enum MemberState {
    /// Responds to probes.
    Alive,
    /// Did not respond to a direct or indirect probe.
    Suspect,
    /// Remained unresponsive until the suspicion timed out.
    Dead,
    /// Shut down as planned.
    Left,
}

/// Information about one member, as exchanged between nodes.
#[derive(Clone, Debug, PartialEq, Eq, bincode::Encode, bincode::Decode)]
pub struct MemberUpdate {
    /// Name of the member.
    pub name: NodeName,
    /// Address for the protocol between nodes.
    pub address: SocketAddr,
    /// Address for work that nodes hand over to each other.
    pub work_address: SocketAddr,
    /// Hall of the member.
    pub hall: String,
    /// Incarnation number, raised only by the member itself. If it starts with the time of day, a
    /// new process immediately takes precedence over an old one of the same name.
    pub incarnation: u64,
    /// State of the member.
    pub state: MemberState,
}

/// A member as known to this node.
#[derive(Clone, Debug)]
pub struct MemberRecord {
    /// Latest update about the member.
    pub update: MemberUpdate,
    /// Time since which it has been in its state.
    pub since: Moment,
}

/// A probe to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProbePlan {
    /// Member to probe.
    pub name: NodeName,
    /// Address of the member.
    pub address: SocketAddr,
}

/// Membership as seen by one node.
#[derive(Debug)]
pub struct MemberTable {
    own: MemberUpdate,
    members: BTreeMap<NodeName, MemberRecord>,
    probe_order: Vec<NodeName>,
    gossip: Vec<(u32, MemberUpdate)>,
    next_probe_at: Moment,
    probe_count: u64,
    rng: SmallRng,
}

impl MemberTable {
    /// Creates a table that contains only this node.
    pub fn new(own: MemberUpdate, seed: u64) -> Self {
        Self {
            own,
            members: BTreeMap::new(),
            probe_order: Vec::new(),
            gossip: Vec::new(),
            next_probe_at: Moment::ZERO,
            probe_count: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Returns this node's own update.
    pub fn own(&self) -> &MemberUpdate {
        &self.own
    }

    /// Returns the names of all members that are not dead, including this node.
    pub fn live_names(&self) -> impl Iterator<Item = &str> {
        let others = self.live().map(|record| record.update.name.as_str());
        others.chain(std::iter::once(self.own.name.as_str()))
    }

    /// Returns all other members that are not dead.
    pub fn live(&self) -> impl Iterator<Item = &MemberRecord> {
        let members = self.members.values();
        members.filter(|record| record.update.state <= MemberState::Suspect)
    }

    /// Returns all known members, including dead ones.
    pub fn all(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.values()
    }

    /// Returns the record of another member, dead ones included.
    pub fn get(&self, name: &str) -> Option<&MemberRecord> {
        self.members.get(name)
    }

    /// Returns up to `count` random other live members.
    pub fn sample(&mut self, count: usize) -> Vec<MemberUpdate> {
        let live: Vec<&MemberRecord> = self
            .members
            .values()
            .filter(|record| record.update.state <= MemberState::Suspect)
            .collect();
        let chosen = live.choose_multiple(&mut self.rng, count);
        chosen.map(|record| record.update.clone()).collect()
    }

    /// Returns the probe to send now, if one is due.
    pub fn probe_due(&mut self, now: Moment) -> Option<ProbePlan> {
        if now < self.next_probe_at {
            return None;
        }
        self.next_probe_at = now + PROBE_INTERVAL;
        self.probe_count += 1;
        if self.probe_count.is_multiple_of(DEAD_PROBE_INTERVAL) {
            if let Some(plan) = self.dead_probe() {
                return Some(plan);
            }
        }
        self.next_in_order()
    }

    /// Returns the members to ask for indirect probes of an unresponsive member.
    pub fn indirect_probes(&mut self, silent: &str) -> Vec<ProbePlan> {
        let others = self.sample(INDIRECT_PROBES + 1);
        let helpers = others.into_iter().filter(|other| other.name != silent);
        let plans = helpers.take(INDIRECT_PROBES);
        plans
            .map(|update| ProbePlan {
                name: update.name,
                address: update.address,
            })
            .collect()
    }

    /// Records that neither direct nor indirect probes of a member were answered.
    pub fn record_probe_failure(&mut self, now: Moment, name: &str) {
        let Some(record) = self.members.get(name) else {
            return;
        };
        if record.update.state != MemberState::Alive {
            return;
        }
        let mut update = record.update.clone();
        update.state = MemberState::Suspect;
        self.apply(now, update);
    }

    /// Applies an update from another node and returns whether anything changed.
    pub fn apply(&mut self, now: Moment, update: MemberUpdate) -> bool {
        if update.name == self.own.name {
            return self.apply_own(update);
        }
        if let Some(known) = self.members.get(&update.name) {
            let new = (update.incarnation, update.state);
            let old = (known.update.incarnation, known.update.state);
            if new <= old {
                return false;
            }
        } else if update.state >= MemberState::Dead {
            // An unknown member that is already gone does not need to be remembered.
            return false;
        }
        self.enqueue_gossip(update.clone());
        let record = MemberRecord { update, since: now };
        self.members.insert(record.update.name.clone(), record);
        true
    }

    /// Declares suspects dead after their timeout, and removes members that have been dead for
    /// long.
    pub fn expire(&mut self, now: Moment) {
        let timeout = SUSPECT_TIMEOUT * self.size_log2().max(3);
        let overdue: Vec<MemberUpdate> = self
            .members
            .values()
            .filter(|record| record.update.state == MemberState::Suspect)
            .filter(|record| now.saturating_sub(record.since) >= timeout)
            .map(|record| record.update.clone())
            .collect();
        for mut update in overdue {
            update.state = MemberState::Dead;
            self.apply(now, update);
        }
        self.members.retain(|_, record| {
            let is_dead = record.update.state >= MemberState::Dead;
            !is_dead || now.saturating_sub(record.since) < DEAD_RETENTION
        });
    }

    /// Returns the updates for the next message to a member, this node's own first.
    ///
    /// A member that is not considered alive is always told so, since only its own higher
    /// incarnation can revive it.
    pub fn take_gossip(&mut self, to: &str) -> Vec<MemberUpdate> {
        let mut updates = vec![self.own.clone()];
        let known = self.members.get(to);
        let not_alive = known.filter(|record| record.update.state != MemberState::Alive);
        updates.extend(not_alive.map(|record| record.update.clone()));
        // Updates with the fewest remaining transmissions go last.
        self.gossip
            .sort_by_key(|(remaining, _)| std::cmp::Reverse(*remaining));
        let room = MAX_GOSSIP_UPDATES - updates.len();
        for (remaining, update) in self.gossip.iter_mut().take(room) {
            *remaining -= 1;
            updates.push(update.clone());
        }
        self.gossip.retain(|(remaining, _)| *remaining > 0);
        updates
    }

    /// Announces that this node is shutting down.
    pub fn leave(&mut self) {
        self.own.state = MemberState::Left;
        let own = self.own.clone();
        self.enqueue_gossip(own);
    }

    /// Returns a checksum over the live members and their incarnations, by which two nodes detect a
    /// difference. After many nodes restarted at once, gossip alone would take many rounds to
    /// converge.
    pub fn checksum(&self) -> u64 {
        use std::hash::Hasher;

        let live = self.live().map(|record| &record.update);
        let mut sum = 0_u64;
        for update in live.chain(std::iter::once(&self.own)) {
            let mut hasher = siphasher::sip::SipHasher13::new();
            hasher.write(update.name.as_bytes());
            hasher.write_u64(update.incarnation);
            sum ^= hasher.finish();
        }
        sum
    }

    /// Applies an update about this node itself. If other nodes suspect it or consider it dead, or
    /// an older process of the same name used a higher incarnation, the node raises its own
    /// incarnation above it.
    fn apply_own(&mut self, update: MemberUpdate) -> bool {
        let stale = update.incarnation < self.own.incarnation;
        if stale || (update.incarnation == self.own.incarnation && update.state == self.own.state) {
            return false;
        }
        self.own.incarnation = update.incarnation + 1;
        let own = self.own.clone();
        self.enqueue_gossip(own);
        true
    }

    fn enqueue_gossip(&mut self, update: MemberUpdate) {
        let transmissions = RETRANSMIT_FACTOR * self.size_log2().max(1);
        self.gossip.retain(|(_, other)| other.name != update.name);
        self.gossip.push((transmissions, update));
    }

    fn next_in_order(&mut self) -> Option<ProbePlan> {
        // Each round probes every member once in a new random order, which bounds the detection
        // time.
        while let Some(name) = self.probe_order.pop() {
            if let Some(plan) = self.plan_for(&name) {
                return Some(plan);
            }
        }
        self.probe_order = self
            .live()
            .map(|record| record.update.name.clone())
            .collect();
        self.probe_order.shuffle(&mut self.rng);
        let name = self.probe_order.pop()?;
        self.plan_for(&name)
    }

    fn plan_for(&self, name: &str) -> Option<ProbePlan> {
        let record = self.members.get(name)?;
        if record.update.state > MemberState::Suspect {
            return None;
        }
        Some(ProbePlan {
            name: record.update.name.clone(),
            address: record.update.address,
        })
    }

    fn dead_probe(&mut self) -> Option<ProbePlan> {
        let dead: Vec<&MemberRecord> = self
            .members
            .values()
            .filter(|record| record.update.state == MemberState::Dead)
            .collect();
        let record = dead.choose(&mut self.rng)?;
        Some(ProbePlan {
            name: record.update.name.clone(),
            address: record.update.address,
        })
    }

    /// Returns the number of binary digits of the fleet's size, about its base-two logarithm.
    fn size_log2(&self) -> u32 {
        let size = self.members.len() as u32 + 1;
        u32::BITS - size.leading_zeros()
    }
}
