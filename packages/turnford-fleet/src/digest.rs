//! Load digests exchanged by the nodes that share a target pool.

use std::collections::BTreeMap;
use std::hash::Hasher;
use std::time::Duration;

use siphasher::sip::SipHasher13;

use crate::Moment;
use crate::NodeName;

/// Age after which a peer's digest is dropped.
const DIGEST_TTL: Duration = Duration::from_secs(2);

/// Short hash of a target's name. If the hashes of two targets of one service collide, each is
/// assumed to have the load of both, which only makes scheduling slightly less efficient.
pub type TargetHash = u16;

/// Returns the hash of a target's name.
pub fn hash_target(name: &str) -> TargetHash {
    let mut hasher = SipHasher13::new();
    hasher.write(name.as_bytes());
    hasher.finish() as TargetHash
}

/// Load of one node at one service.
#[derive(Clone, Debug, Default, PartialEq, bincode::Encode, bincode::Decode)]
pub struct ServiceLoad {
    /// Name of the service.
    pub service: String,
    /// Expected milliseconds of queued and reserved work.
    pub backlog_ms: u32,
    /// Mean duration of a call in milliseconds as measured by the sender; 0 if not measured yet.
    pub mean_ms: u32,
    /// Calls in flight by target; targets without any are omitted.
    pub inflight: Vec<(TargetHash, u16)>,
}

/// Load of one node.
#[derive(Clone, Debug, Default, PartialEq, bincode::Encode, bincode::Decode)]
pub struct LoadDigest {
    /// Sequence number of the digest. Digests that arrive out of order are dropped.
    pub sequence: u64,
    /// Incarnation of the sender's process, so that digests after a restart are not taken for old
    /// ones.
    pub incarnation: u64,
    /// Services with work.
    pub services: Vec<ServiceLoad>,
}

/// Latest digest of each peer.
#[derive(Debug, Default)]
pub struct DigestTable {
    peers: BTreeMap<NodeName, (Moment, LoadDigest)>,
}

impl DigestTable {
    /// Applies a peer's digest unless a newer one is known.
    pub fn apply(&mut self, now: Moment, peer: &str, digest: LoadDigest) {
        if let Some((_, known)) = self.peers.get(peer) {
            if known.incarnation == digest.incarnation && known.sequence >= digest.sequence {
                return;
            }
        }
        self.peers.insert(peer.to_owned(), (now, digest));
    }

    /// Drops digests that are too old to be useful.
    pub fn expire(&mut self, now: Moment) {
        self.peers
            .retain(|_, (received_at, _)| now.saturating_sub(*received_at) <= DIGEST_TTL);
    }

    /// Returns the number of peers with a recent digest.
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Returns whether no peer has a recent digest.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Returns the mean duration of a call at one service, averaged over the peers that measured
    /// it.
    pub fn service_mean(&self, service: &str) -> Option<Duration> {
        let loads = self.peers.values().flat_map(|(_, digest)| &digest.services);
        let known = loads.filter(|load| load.service == service && load.mean_ms > 0);
        let (sum, count) = known.fold((0_u64, 0_u64), |(sum, count), load| {
            (sum + u64::from(load.mean_ms), count + 1)
        });
        (count > 0).then(|| Duration::from_millis(sum / count))
    }

    /// Returns the load of all peers at one service: backlog in seconds, and calls in flight by
    /// target.
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
