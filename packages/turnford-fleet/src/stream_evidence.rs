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
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamVerdict {
    /// The origin was recorded this many milliseconds ago.
    Recorded(StreamOrigin, u32),
    /// Each service that may have begun the stream had only this version at that time.
    Sole(Vec<SoftwareVersion>),
    /// Records contradict each other.
    Conflicting,
    /// Nothing proves the origin.
    Unknown,
}

/// Answers collected so far, this node's own included.
#[derive(Clone, Debug, Default)]
pub struct StreamEvidence {
    answers: Vec<StreamAnswer>,
    peer_answers: usize,
}

impl StreamEvidence {
    /// Adds what this node knows itself.
    pub fn add_own(&mut self, answer: StreamAnswer) {
        self.answers.push(answer);
    }

    /// Adds another node's answer.
    pub fn add_peer(&mut self, answer: StreamAnswer) {
        self.answers.push(answer);
        self.peer_answers += 1;
    }

    /// Returns whether the answers contain a record.
    pub fn has_record(&self) -> bool {
        let mut lookups = self.answers.iter().map(|answer| answer.lookup);
        lookups.any(|lookup| lookup != StreamLookup::Unknown)
    }

    /// Returns the verdict on a stream that one of `service_count` services began. `has_peers` tells
    /// whether other nodes are alive, one of which must then have confirmed sole versions.
    pub fn verdict(&self, service_count: usize, has_peers: bool) -> StreamVerdict {
        let mut recorded: Option<(StreamOrigin, u32)> = None;
        for answer in &self.answers {
            match answer.lookup {
                StreamLookup::Conflicting => return StreamVerdict::Conflicting,
                StreamLookup::Unknown => {}
                StreamLookup::Recorded(origin, age) => match recorded {
                    Some((known, _)) if known != origin => return StreamVerdict::Conflicting,
                    Some((_, known_age)) => recorded = Some((origin, age.max(known_age))),
                    None => recorded = Some((origin, age)),
                },
            }
        }
        if let Some((origin, age)) = recorded {
            return StreamVerdict::Recorded(origin, age);
        }
        if service_count == 0 || (has_peers && self.peer_answers == 0) {
            return StreamVerdict::Unknown;
        }
        let versions = (0..service_count).map(|service| self.sole_version(service));
        let versions: Option<Vec<SoftwareVersion>> = versions.collect();
        versions.map_or(StreamVerdict::Unknown, StreamVerdict::Sole)
    }

    /// Returns the version that all nodes that know a service for long enough agree on.
    pub fn sole_version(&self, service: usize) -> Option<SoftwareVersion> {
        let mut sole: Option<&str> = None;
        for answer in &self.answers {
            match answer.versions.get(service)? {
                VersionKnowledge::Mixed => return None,
                VersionKnowledge::Recent => {}
                VersionKnowledge::Sole(version) if sole.is_none_or(|sole| sole == version) => {
                    sole = Some(version);
                }
                VersionKnowledge::Sole(_) => return None,
            }
        }
        sole.map(Into::into)
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
