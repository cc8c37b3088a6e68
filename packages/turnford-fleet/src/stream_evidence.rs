//! Decision on the origin of a stream from what several nodes know of it.

use turnford_policy::SoftwareVersion;

use crate::stream_origin;
use crate::StreamLookup;
use crate::StreamOrigin;

/// What a node knows of the software versions that a service had while a stream may have begun.
#[derive(Clone, Debug, PartialEq, Eq, bincode::Encode, bincode::Decode)]
pub enum VersionKnowledge {
    /// The targets had only this version.
    Sole(String),
    /// The targets had several versions, or one that is not known.
    Mixed,
    /// The node has not known the service for long enough.
    Recent,
}

/// A node's answer to the question which origin a stream has.
#[derive(Clone, Debug, PartialEq, Eq, bincode::Encode, bincode::Decode)]
pub struct StreamAnswer {
    /// The node's record of the stream.
    pub lookup: StreamLookup,
    /// The node's knowledge of each service that the question names.
    pub versions: Vec<VersionKnowledge>,
}

/// Outcome of a question about a stream's origin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamVerdict {
    /// The origin was recorded this many milliseconds ago.
    Recorded(StreamOrigin, u32),
    /// Records contradict each other.
    Conflicting,
    /// No node has a record.
    Unknown,
}

/// Answers collected so far, this node's own included.
#[derive(Clone, Debug, Default)]
pub struct StreamEvidence {
    lookups: Vec<StreamLookup>,
}

impl StreamEvidence {
    /// Adds the lookup of a node.
    pub fn add(&mut self, lookup: StreamLookup) {
        self.lookups.push(lookup);
    }

    /// Returns whether a node has a record.
    pub fn has_record(&self) -> bool {
        let mut lookups = self.lookups.iter();
        lookups.any(|lookup| *lookup != StreamLookup::Unknown)
    }

    /// Returns the verdict on the stream.
    pub fn verdict(&self) -> StreamVerdict {
        let mut recorded: Option<(StreamOrigin, u32)> = None;
        for lookup in &self.lookups {
            match *lookup {
                StreamLookup::Conflicting => return StreamVerdict::Conflicting,
                StreamLookup::Unknown => {}
                StreamLookup::Recorded(origin, age) => match recorded {
                    Some((known, _)) if known != origin => return StreamVerdict::Conflicting,
                    Some((_, known_age)) => recorded = Some((origin, age.max(known_age))),
                    None => recorded = Some((origin, age)),
                },
            }
        }
        recorded.map_or(StreamVerdict::Unknown, |(origin, age)| {
            StreamVerdict::Recorded(origin, age)
        })
    }
}

/// Returns the version among the given ones whose origin a record names, for a service.
pub fn find_version<'a>(
    origin: StreamOrigin,
    service: &str,
    mut versions: impl Iterator<Item = &'a SoftwareVersion>,
) -> Option<SoftwareVersion> {
    let found = versions.find(|version| stream_origin(service, version) == origin);
    found.cloned()
}
