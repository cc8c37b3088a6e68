//! Digest of a request's content, equal for all attempts and on all nodes.

use std::fmt;

use sha2::Digest;
use sha2::Sha256;

/// Size of a digest, in bytes. By chance, two different requests collide once in about 2^64
/// requests, and a collision with a given request can't be crafted.
pub const DIGEST_BYTES: usize = 16;

/// Number of bytes shown in log lines.
const SHOWN_BYTES: usize = 6;

/// Digest of a request's account and content. Request ids are excluded, since each attempt has its
/// own.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestDigest(pub [u8; DIGEST_BYTES]);

impl RequestDigest {
    /// Computes the digest of a request from its account, host, path with query, and body.
    pub fn new(account: &str, host: &str, path: &str, body: &[u8]) -> Self {
        let mut hash = Sha256::new();
        for part in [account.as_bytes(), host.as_bytes(), path.as_bytes()] {
            // The length prefix keeps the end of a part from counting as the start of the next one.
            hash.update((part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        hash.update(body);
        Self::from_hash(hash)
    }

    /// Computes the digest that stands for all requests to a service with a prompt segment.
    pub fn of_segment(service: &str, segment: u64) -> Self {
        let mut hash = Sha256::new();
        hash.update(b"prompt segment");
        hash.update(segment.to_le_bytes());
        hash.update(service.as_bytes());
        Self::from_hash(hash)
    }

    fn from_hash(hash: Sha256) -> Self {
        let mut bytes = [0; DIGEST_BYTES];
        bytes.copy_from_slice(&hash.finalize()[..DIGEST_BYTES]);
        Self(bytes)
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let shown = self.0.iter().take(SHOWN_BYTES);
        shown
            .into_iter()
            .try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}
