//! What nodes say to each other.

use turnford_fleet::ClaimRequest;
use turnford_fleet::ClaimVerdict;
use turnford_fleet::ConfigChange;
use turnford_fleet::ConfigDigest;
use turnford_fleet::LenderStamp;
use turnford_fleet::LoadDigest;
use turnford_fleet::MemberUpdate;
use turnford_fleet::Rumor;
use turnford_fleet::ShareDemand;
use turnford_fleet::ShareGrant;

/// A call from one node to another.
#[derive(Clone, Debug, PartialEq, bincode::Encode, bincode::Decode)]
pub enum PeerRequest {
    /// Are you there? With news of members and the sender's configuration.
    Ping {
        /// News, the sender first.
        gossip: Vec<MemberUpdate>,
        /// Configuration of the sender.
        digest: ConfigDigest,
        /// Sum over the members that the sender thinks alive.
        members: u64,
    },
    /// Ask another for me.
    PingVia {
        /// Member to ask.
        target: MemberUpdate,
    },
    /// Which members do you know, after this name?
    MemberPull {
        /// Last name of the page before; empty for the first.
        after: String,
    },
    /// Which configuration changes do you have after this version?
    ConfigPull {
        /// Version up to which the sender misses nothing.
        after: u64,
    },
    /// Urgent news.
    Rumors(Vec<Rumor>),
    /// Work of the sender.
    Digest {
        /// Name of the sender.
        node: String,
        /// Its work.
        digest: LoadDigest,
    },
    /// Ask about claims, to the node that commits their range.
    Claim(ClaimRequest),
    /// Ask for shares of accounts' limits, to the node that lends them. Without demands it only
    /// shows that the sender is there.
    Share {
        /// Name of the sender.
        node: String,
        /// Group of the accounts.
        group: u16,
        /// Stamp of the last reply that the sender received.
        stamp: LenderStamp,
        /// Its demands.
        demands: Vec<ShareDemand>,
    },
}

/// Answer to a call.
#[derive(Clone, Debug, PartialEq, bincode::Encode, bincode::Decode)]
pub enum PeerReply {
    /// To a ping: news, and the configuration of the answering node.
    Pong {
        /// News, the answering node first.
        gossip: Vec<MemberUpdate>,
        /// Its configuration.
        digest: ConfigDigest,
        /// Sum over the members that it thinks alive.
        members: u64,
    },
    /// To an indirect ping: whether the target answered.
    Reached(bool),
    /// To a member pull: a page in the order of names; a short page is the last.
    Members(Vec<MemberUpdate>),
    /// To a configuration pull: a page in the order of versions.
    Config {
        /// Changes.
        changes: Vec<ConfigChange>,
        /// Revision up to which nothing is missing, once the changes are taken.
        complete_to: u64,
    },
    /// To rumors and digests.
    Ack,
    /// To a claim.
    Claim(ClaimVerdict),
    /// To a share ask, by the lender.
    Shares {
        /// The lender's stamp.
        stamp: LenderStamp,
        /// What is lent.
        grants: Vec<ShareGrant>,
    },
    /// The node can't answer this call.
    Refused,
}
