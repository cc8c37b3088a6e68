//! What a request may crash its targets by.

use turnford_policy::RequestDigest;

/// Maximum number of prompt segments of a request that are followed. Clients choose the number of segments.
const MAX_SEGMENTS: usize = 32;

/// Keys of a request in the [`CrashTable`](crate::CrashTable): the digest of all of it, and one for each prompt
/// segment that other requests to the service may share.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CrashKeys {
    /// Digest of the request.
    pub request: RequestDigest,
    /// Ids of the segments with their keys.
    segments: Vec<(u64, RequestDigest)>,
}

/// One of the keys of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashKey {
    /// Key in the table.
    pub digest: RequestDigest,
    /// Id of the prompt segment, `None` for the request itself.
    pub segment: Option<u64>,
}

impl CrashKeys {
    /// Creates the keys of a request whose segments are not followed.
    pub fn of_request(request: RequestDigest) -> Self {
        Self {
            request,
            segments: Vec::new(),
        }
    }

    /// Creates the keys of a request from the segments of its prompt. The last one is the request's own, and
    /// is left out.
    pub fn new(request: RequestDigest, service: &str, segments: &[u64]) -> Self {
        let shared = segments.split_last().map_or(&[][..], |(_, shared)| shared);
        let shared = shared.iter().take(MAX_SEGMENTS);
        let keys = shared.map(|id| (*id, RequestDigest::of_segment(service, *id)));
        Self {
            request,
            segments: keys.collect(),
        }
    }

    /// Returns whether a digest is one of the keys.
    pub(crate) fn contains(&self, digest: &RequestDigest) -> bool {
        self.iter().any(|key| key.digest == *digest)
    }

    /// Returns all keys: that of the request, then those of the segments from the last one on.
    pub fn iter(&self) -> impl Iterator<Item = CrashKey> + '_ {
        let request = CrashKey {
            digest: self.request,
            segment: None,
        };
        let segments = self.segments.iter().rev().map(|(id, digest)| CrashKey {
            digest: *digest,
            segment: Some(*id),
        });
        std::iter::once(request).chain(segments)
    }
}

impl CrashKey {
    /// Returns the number of crashes from which on the key is suspected. A crash counts against the segments
    /// of all requests at its target, which are many.
    pub fn min_crashes(&self) -> usize {
        match self.segment {
            None => 1,
            Some(_) => 2,
        }
    }
}
