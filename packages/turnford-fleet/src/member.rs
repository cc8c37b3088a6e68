//! Membership by probes, indirect probes, suspicion and incarnations, in the style of SWIM.
//!
//! The size of a message does not grow with the fleet: each carries at most six
//! updates, and each update is passed on a number of times that grows with the logarithm.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::seq::SliceRandom;
use rand::SeedableRng;

use crate::Moment;
use crate::NodeName;

/// Updates in one message.
const GOSSIP_LIMIT: usize = 6;

/// Pause between probes.
const PROBE_PAUSE: Duration = Duration::from_secs(1);

/// Members asked to probe a silent one.
const INDIRECT_COUNT: usize = 3;

/// Time a suspect has to answer, for each doubling of the fleet.
const SUSPECT_SPAN: Duration = Duration::from_millis(1000);

/// Time that a dead member is remembered, so that old gossip does not bring it back.
const DEAD_SPAN: Duration = Duration::from_secs(600);

/// One in so many probes goes to a member thought dead, so that halves of a partition heal.
const DEAD_PROBE_TURN: u64 = 5;

/// Times that an update is passed on, for each doubling of the fleet.
const SPREAD_FACTOR: u32 = 3;

/// What is thought of a member. The order is the order of precedence within one incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, bincode::Encode, bincode::Decode)]
pub enum MemberState {
    /// Answers.
    Alive,
    /// Did not answer a probe, direct or indirect.
    Suspect,
    /// Did not answer for longer.
    Dead,
    /// Stopped as planned.
    Left,
}

/// What one node says of another.
#[derive(Clone, Debug, PartialEq, Eq, bincode::Encode, bincode::Decode)]
pub struct MemberUpdate {
    /// Name of the member.
    pub name: NodeName,
    /// Address for the inner protocol.
    pub address: SocketAddr,
    /// Address for work that nodes hand to each other.
    pub work: SocketAddr,
    /// Hall of the member.
    pub hall: String,
    /// Number that only the member itself raises. Where it begins with the time of day, a new process
    /// of the same name goes before the old one at once.
    pub incarnation: u64,
    /// State.
    pub state: MemberState,
}

/// A member as this node has it.
#[derive(Clone, Debug)]
pub struct MemberRecord {
    /// What was last heard of it.
    pub update: MemberUpdate,
    /// Since when it has its state.
    pub since: Moment,
}

/// A probe to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProbePlan {
    /// Member to ask.
    pub name: NodeName,
    /// Its address.
    pub address: SocketAddr,
}

/// The members as one node sees them.
#[derive(Debug)]
pub struct MemberTable {
    own: MemberUpdate,
    members: BTreeMap<NodeName, MemberRecord>,
    order: Vec<NodeName>,
    gossip: Vec<(u32, MemberUpdate)>,
    next_probe: Moment,
    turn: u64,
    rng: SmallRng,
}

impl MemberTable {
    /// Starts a table with this node alone.
    pub fn new(own: MemberUpdate, seed: u64) -> Self {
        Self {
            own,
            members: BTreeMap::new(),
            order: Vec::new(),
            gossip: Vec::new(),
            next_probe: Moment::ZERO,
            turn: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Returns what this node says of itself.
    pub fn own(&self) -> &MemberUpdate {
        &self.own
    }

    /// Returns the names of members that are not dead, this node among them.
    pub fn live_names(&self) -> impl Iterator<Item = &str> {
        let others = self.live().map(|record| record.update.name.as_str());
        others.chain(std::iter::once(self.own.name.as_str()))
    }

    /// Returns the other members that are not dead.
    pub fn live(&self) -> impl Iterator<Item = &MemberRecord> {
        let members = self.members.values();
        members.filter(|record| record.update.state <= MemberState::Suspect)
    }

    /// Returns every member known, dead ones among them.
    pub fn all(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.values()
    }

    /// Returns a member by its name.
    pub fn get(&self, name: &str) -> Option<&MemberRecord> {
        self.members.get(name)
    }

    /// Returns up to `count` other live members at random.
    pub fn sample(&mut self, count: usize) -> Vec<MemberUpdate> {
        let live: Vec<&MemberRecord> = self
            .members
            .values()
            .filter(|record| record.update.state <= MemberState::Suspect)
            .collect();
        let chosen = live.choose_multiple(&mut self.rng, count);
        chosen.map(|record| record.update.clone()).collect()
    }

    /// Returns the probe that is due, if one is.
    pub fn probe_due(&mut self, now: Moment) -> Option<ProbePlan> {
        if now < self.next_probe {
            return None;
        }
        self.next_probe = now + PROBE_PAUSE;
        self.turn += 1;
        if self.turn.is_multiple_of(DEAD_PROBE_TURN) {
            if let Some(plan) = self.dead_probe() {
                return Some(plan);
            }
        }
        self.next_in_order()
    }

    /// Returns the members to ask for an indirect probe of a silent one.
    pub fn indirect_probes(&mut self, silent: &str) -> Vec<ProbePlan> {
        let others = self.sample(INDIRECT_COUNT + 1);
        let helpers = others.into_iter().filter(|other| other.name != silent);
        let plans = helpers.take(INDIRECT_COUNT);
        plans
            .map(|update| ProbePlan {
                name: update.name,
                address: update.address,
            })
            .collect()
    }

    /// Notes that a probe stayed without an answer, direct and indirect.
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

    /// Takes what another node says, and returns whether anything changed.
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
            // Nothing is known of it, and nothing needs to be.
            return false;
        }
        self.spread(update.clone());
        let record = MemberRecord { update, since: now };
        self.members.insert(record.update.name.clone(), record);
        true
    }

    /// Moves suspects whose time is over to the dead, and forgets the long dead.
    pub fn expire(&mut self, now: Moment) {
        let span = SUSPECT_SPAN * self.doublings().max(3);
        let late: Vec<MemberUpdate> = self
            .members
            .values()
            .filter(|record| record.update.state == MemberState::Suspect)
            .filter(|record| now.saturating_sub(record.since) >= span)
            .map(|record| record.update.clone())
            .collect();
        for mut update in late {
            update.state = MemberState::Dead;
            self.apply(now, update);
        }
        self.members.retain(|_, record| {
            let gone = record.update.state >= MemberState::Dead;
            !gone || now.saturating_sub(record.since) < DEAD_SPAN
        });
    }

    /// Returns updates for the next message to a member, this node's own first.
    ///
    /// A member that is not thought alive is told so, whoever else knows it: only its own higher
    /// incarnation can bring it back.
    pub fn take_gossip(&mut self, to: &str) -> Vec<MemberUpdate> {
        let mut updates = vec![self.own.clone()];
        let known = self.members.get(to);
        let doubted = known.filter(|record| record.update.state != MemberState::Alive);
        updates.extend(doubted.map(|record| record.update.clone()));
        // Those passed on most often go last.
        self.gossip
            .sort_by_key(|(left, _)| std::cmp::Reverse(*left));
        let room = GOSSIP_LIMIT - updates.len();
        for (left, update) in self.gossip.iter_mut().take(room) {
            *left -= 1;
            updates.push(update.clone());
        }
        self.gossip.retain(|(left, _)| *left > 0);
        updates
    }

    /// Marks this node as stopping, for the others.
    pub fn leave(&mut self) {
        self.own.state = MemberState::Left;
        let own = self.own.clone();
        self.spread(own);
    }

    /// Returns a sum by which two nodes see whether they know the same live members in the same
    /// incarnations: after many were restarted at once, gossip alone takes many rounds.
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

    /// Takes word of this node itself. If others think it silent or dead, or an older process of
    /// the same name left a higher incarnation, the node raises its own above it.
    fn apply_own(&mut self, update: MemberUpdate) -> bool {
        let stale = update.incarnation < self.own.incarnation;
        if stale || (update.incarnation == self.own.incarnation && update.state == self.own.state) {
            return false;
        }
        self.own.incarnation = update.incarnation + 1;
        let own = self.own.clone();
        self.spread(own);
        true
    }

    fn spread(&mut self, update: MemberUpdate) {
        let times = SPREAD_FACTOR * self.doublings().max(1);
        self.gossip.retain(|(_, other)| other.name != update.name);
        self.gossip.push((times, update));
    }

    fn next_in_order(&mut self) -> Option<ProbePlan> {
        // Each round asks everyone once, in a new order, so that a failure is found in bounded time.
        while let Some(name) = self.order.pop() {
            if let Some(plan) = self.plan_for(&name) {
                return Some(plan);
            }
        }
        self.order = self
            .live()
            .map(|record| record.update.name.clone())
            .collect();
        self.order.shuffle(&mut self.rng);
        let name = self.order.pop()?;
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

    /// Returns the base-two logarithm of the fleet's size, rounded up.
    fn doublings(&self) -> u32 {
        let size = self.members.len() as u32 + 1;
        u32::BITS - size.leading_zeros()
    }
}
