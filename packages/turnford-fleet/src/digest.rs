//! What the nodes that share a pool tell each other of their work there.

use std::collections::BTreeMap;
use std::hash::Hasher;
use std::time::Duration;

use siphasher::sip::SipHasher13;

use crate::Moment;
use crate::NodeName;

/// Age after which a peer's digest is dropped.
const DIGEST_LIFE: Duration = Duration::from_secs(2);

/// Short stand-in for a target's name. Two targets of one service that share a mark are each taken
/// to have the work of both, which can cost a little time and nothing else.
pub type TargetHash = u16;

/// Returns the mark of a target's name.
pub fn hash_target(name: &str) -> TargetHash {
    let mut hasher = SipHasher13::new();
    hasher.write(name.as_bytes());
    hasher.finish() as TargetHash
}

/// Work of one node at one service.
#[derive(Clone, Debug, Default, PartialEq, bincode::Encode, bincode::Decode)]
pub struct ServiceLoad {
    /// Name of the service.
    pub service: String,
    /// Expected milliseconds of held and promised work.
    pub backlog_ms: u32,
    /// Mean milliseconds of a call as the sender measured it; 0 before it has.
    pub mean_ms: u32,
    /// Calls in flight by target; targets without any are left out.
    pub inflight: Vec<(TargetHash, u16)>,
}

/// Work of one node.
#[derive(Clone, Debug, Default, PartialEq, bincode::Encode, bincode::Decode)]
pub struct LoadDigest {
    /// Number of the digest; older ones that come late are dropped.
    pub sequence: u64,
    /// Incarnation of the sender's process, so that a restart does not look late.
    pub incarnation: u64,
    /// Services with work.
    pub services: Vec<ServiceLoad>,
}

/// Newest digests of the peers.
#[derive(Debug, Default)]
pub struct DigestTable {
    peers: BTreeMap<NodeName, (Moment, LoadDigest)>,
}

impl DigestTable {
    /// Takes a peer's digest, unless a newer one is known.
    pub fn apply(&mut self, now: Moment, peer: &str, digest: LoadDigest) {
        if let Some((_, known)) = self.peers.get(peer) {
            if known.incarnation == digest.incarnation && known.sequence >= digest.sequence {
                return;
            }
        }
        self.peers.insert(peer.to_owned(), (now, digest));
    }

    /// Drops digests that are too old to say anything.
    pub fn expire(&mut self, now: Moment) {
        self.peers
            .retain(|_, (at, _)| now.saturating_sub(*at) <= DIGEST_LIFE);
    }

    /// Returns the sequence of peers heard of lately.
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Tells whether no peer was heard of lately.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Returns the mean time of a call at one service over the peers that measured it.
    pub fn service_mean(&self, service: &str) -> Option<Duration> {
        let loads = self.peers.values().flat_map(|(_, digest)| &digest.services);
        let known = loads.filter(|load| load.service == service && load.mean_ms > 0);
        let (sum, count) = known.fold((0_u64, 0_u64), |(sum, count), load| {
            (sum + u64::from(load.mean_ms), count + 1)
        });
        (count > 0).then(|| Duration::from_millis(sum / count))
    }

    /// Returns the peers' work at one service: seconds of backlog, and calls by target.
    pub fn service_load(&self, service: &str) -> (f64, BTreeMap<TargetHash, u32>) {
        let mut backlog_ms = 0.0;
        let mut inflight = BTreeMap::new();
        for (_, digest) in self.peers.values() {
            let own = digest
                .services
                .iter()
                .filter(|load| load.service == service);
            for load in own {
                backlog_ms += f64::from(load.backlog_ms);
                for (target, count) in &load.inflight {
                    *inflight.entry(*target).or_default() += u32::from(*count);
                }
            }
        }
        (backlog_ms / 1000.0, inflight)
    }
}
