//! Messages between the control threads of nodes of the own interface.

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

/// Request from one node to another.
#[derive(Clone, Debug, PartialEq, bincode::Encode, bincode::Decode)]
pub enum PeerRequest {
    /// Failure-detector probe that carries membership gossip and the sender's configuration digest.
    Ping {
        /// Membership updates, the sender's own first.
        gossip: Vec<MemberUpdate>,
        /// Configuration digest of the sender.
        digest: ConfigDigest,
        /// Checksum of the members that the sender considers alive.
        members: u64,
    },
    /// Indirect probe: asks the receiver to probe another member.
    PingVia {
        /// Member to probe.
        target: MemberUpdate,
    },
    /// Requests a page of the member list.
    MemberPull {
        /// Last name of the previous page; empty for the first page.
        after: String,
    },
    /// Requests the configuration changes after a version.
    ConfigPull {
        /// Version up to which the sender has all changes.
        after: u64,
    },
    /// Rumors to spread at once.
    Rumors(Vec<Rumor>),
    /// Load digest of the sender.
    Digest {
        /// Name of the sender.
        node: String,
        /// Its load.
        digest: LoadDigest,
    },
    /// Claim request to the node that commits claims of its range.
    Claim(ClaimRequest),
    /// Requests shares of accounts' limits from the node that lends them. A request without demands
    /// only signals that the sender is alive.
    Share {
        /// Name of the sender.
        node: String,
        /// Group of the accounts.
        group: u16,
        /// Stamp of the last reply that the sender received from the lender.
        stamp: LenderStamp,
        /// Demands of the sender.
        demands: Vec<ShareDemand>,
    },
}

/// Reply to a [`PeerRequest`].
#[derive(Clone, Debug, PartialEq, bincode::Encode, bincode::Decode)]
pub enum PeerReply {
    /// Reply to a ping.
    Pong {
        /// Membership updates, the replying node's own first.
        gossip: Vec<MemberUpdate>,
        /// Configuration digest of the replying node.
        digest: ConfigDigest,
        /// Checksum of the members that it considers alive.
        members: u64,
    },
    /// Reply to an indirect probe: whether the member answered.
    Reached(bool),
    /// Reply to a member pull: a page sorted by name; a page that is not full is the last.
    Members(Vec<MemberUpdate>),
    /// Reply to a configuration pull: a page sorted by version.
    Config {
        /// Changes.
        changes: Vec<ConfigChange>,
        /// Revision up to which the receiver has everything once it has applied the changes.
        complete_to: u64,
    },
    /// Acknowledges rumors and digests.
    Ack,
    /// Reply to a claim request.
    Claim(ClaimVerdict),
    /// Reply of the lender to a share request.
    Shares {
        /// The lender's stamp.
        stamp: LenderStamp,
        /// Shares that are lent.
        grants: Vec<ShareGrant>,
    },
    /// The node cannot handle this request.
    Refused,
}
