//! A digest of what a request asks for, the same on each of its tries and at each node.

use std::fmt;

use sha2::Digest;
use sha2::Sha256;

/// Bytes of a digest: two requests that ask for different things share one by chance once in 2^64
/// requests, and nobody can make one that is another's.
pub const DIGEST_BYTES: usize = 16;

/// Bytes that a log line shows of a digest.
const SHOWN_BYTES: usize = 6;

/// The digest of a request: what it asks for, and who asks. Its id is no part of it, since each try has
/// another.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestDigest(pub [u8; DIGEST_BYTES]);

impl RequestDigest {
    /// Returns the digest of a request by its account, host, path with query, and body.
    pub fn new(account: &str, host: &str, path: &str, body: &[u8]) -> Self {
        let mut hash = Sha256::new();
        for part in [account.as_bytes(), host.as_bytes(), path.as_bytes()] {
            // With its length before it, no part can pass for the begin of the next one.
            hash.update((part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        hash.update(body);
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
