//! The version that began a stream is found by nodes that never saw the stream, or not at all, but
//! never a wrong one. Nodes are killed, paused and replaced, and versions are rolled in between.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use proptest::prelude::*;
use turnford_fleet::rank_members;
use turnford_fleet::stream_key;
use turnford_fleet::stream_origin;
use turnford_fleet::Duty;
use turnford_fleet::Moment;
use turnford_fleet::StreamAnswer;
use turnford_fleet::StreamEvidence;
use turnford_fleet::StreamLookup;
use turnford_fleet::StreamRecord;
use turnford_fleet::StreamTable;
use turnford_fleet::StreamVerdict;
use turnford_fleet::VersionKnowledge;
use turnford_policy::SoftwareVersion;
use turnford_policy::VersionHistory;

const SERVICE: &str = "sprog";

/// Time for which a stream may be resumed.
const LIFETIME: Duration = Duration::from_secs(10);

/// Nodes that keep a record, and nodes that are asked.
const HOLDERS: usize = 3;
const ASKED: usize = 8;

/// Minimum ratio of streams whose version is found while nodes are killed one at a time.
const MIN_FOUND_RATIO: f64 = 0.9;

#[derive(Clone, Debug)]
enum Step {
    /// A stream begins at a node, at one of the versions of now.
    Begin { node: usize, version: usize },
    /// A stream is resumed at a node. Its versions are those of a stream begun before.
    Resume { node: usize, stream: usize },
    /// A node is killed and starts again without its memory.
    Kill { node: usize },
    /// A node neither keeps records nor answers for a while.
    Pause { node: usize },
    /// Targets of a version appear or leave, as all nodes see at once.
    SetVersions { versions: Vec<usize> },
    /// Time passes.
    Wait { millis: u64 },
}

fn steps(nodes: usize) -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        8 => (0..nodes, 0..2_usize).prop_map(|(node, version)| Step::Begin { node, version }),
        6 => (0..nodes, any::<usize>()).prop_map(|(node, stream)| Step::Resume { node, stream }),
        2 => (0..nodes).prop_map(|node| Step::Kill { node }),
        1 => (0..nodes).prop_map(|node| Step::Pause { node }),
        1 => prop::collection::vec(0..4_usize, 1..3)
            .prop_map(|versions| Step::SetVersions { versions }),
        4 => (1..4_000_u64).prop_map(|millis| Step::Wait { millis }),
    ];
    prop::collection::vec(step, 20..120)
}

#[derive(Default)]
struct FleetNode {
    table: StreamTable,
    history: VersionHistory,
    paused_until: Moment,
    /// Streams that it began and that other nodes may have to keep.
    begun: Vec<StreamRecord>,
}

struct BegunStream {
    attempt: String,
    version: SoftwareVersion,
    at: Moment,
}

#[derive(Default)]
struct Counts {
    resumed: usize,
    found: usize,
}

struct Fleet {
    now: Moment,
    names: Vec<String>,
    nodes: BTreeMap<String, FleetNode>,
    versions: Vec<SoftwareVersion>,
    streams: Vec<BegunStream>,
    keeps_records: bool,
    counts: Counts,
}

impl Fleet {
    fn new(count: usize) -> Self {
        let names: Vec<String> = (0..count).map(|number| format!("n{number}")).collect();
        let nodes = names
            .iter()
            .map(|name| (name.clone(), FleetNode::default()));
        let mut fleet = Self {
            now: Duration::from_secs(1),
            nodes: nodes.collect(),
            names,
            versions: vec![version_name(0)],
            streams: Vec::new(),
            keeps_records: true,
            counts: Counts::default(),
        };
        fleet.observe();
        // All nodes know the first version for long enough.
        fleet.now += LIFETIME * 2;
        fleet
    }

    fn observe(&mut self) {
        let listed = self.versions.clone();
        for node in self.nodes.values_mut() {
            let versions = listed.iter().cloned().map(Some);
            let was_sole = node.history.sole_version(self.now, LIFETIME).is_some();
            node.history.observe(self.now, LIFETIME, versions);
            let is_sole = node.history.sole_version(self.now, LIFETIME).is_some();
            if !was_sole || is_sole {
                node.begun.clear();
            }
        }
        let begun: Vec<StreamRecord> = self
            .nodes
            .values_mut()
            .flat_map(|node| std::mem::take(&mut node.begun))
            .collect();
        for record in begun {
            self.announce(&record);
        }
    }

    fn announce(&mut self, record: &StreamRecord) {
        if !self.keeps_records {
            return;
        }
        for holder in self.ranked(record.key, HOLDERS) {
            let now = self.now;
            let node = self.nodes.get_mut(&holder).expect("a node");
            if node.paused_until <= now {
                node.table.insert(now, record);
            }
        }
    }

    fn ranked(&self, key: u128, count: usize) -> Vec<String> {
        let names = self.names.iter().map(String::as_str);
        let ranked = rank_members(&Duty::Stream(key), names, count);
        ranked.into_iter().map(str::to_owned).collect()
    }

    fn begin(&mut self, node: usize, version: usize) {
        let version = self.versions[version % self.versions.len()].clone();
        let attempt = format!("a{}", self.streams.len());
        let record = StreamRecord {
            key: stream_key("skagen", &attempt),
            origin: stream_origin(SERVICE, &version),
            lifetime_ms: u32::try_from(LIFETIME.as_millis()).expect("seconds"),
        };
        let node = self.nodes.get_mut(&self.names[node]).expect("a node");
        node.table.insert(self.now, &record);
        if node.history.sole_version(self.now, LIFETIME).is_some() {
            node.begun.push(record);
        } else {
            self.announce(&record);
        }
        self.streams.push(BegunStream {
            attempt,
            version,
            at: self.now,
        });
    }

    fn answer(&self, name: &str, key: u128) -> StreamAnswer {
        let node = &self.nodes[name];
        let versions = match node.history.sole_version(self.now, LIFETIME) {
            Some(version) => VersionKnowledge::Sole(version.to_string()),
            None if node.history.is_mixed(self.now, LIFETIME) => VersionKnowledge::Mixed,
            None => VersionKnowledge::Recent,
        };
        StreamAnswer {
            lookup: node.table.lookup(self.now, key),
            versions: vec![versions],
        }
    }

    /// Asks as a node does, and checks the verdict.
    fn resume(&mut self, node: usize, stream: usize) -> Result<(), TestCaseError> {
        let own = self.names[node].clone();
        let Some(stream) = self.streams.get(stream % self.streams.len().max(1)) else {
            return Ok(());
        };
        if self.now.saturating_sub(stream.at) >= LIFETIME {
            return Ok(());
        }
        let key = stream_key("skagen", &stream.attempt);
        let mut evidence = StreamEvidence::default();
        evidence.add_own(self.answer(&own, key));
        let ranked = self.ranked(key, ASKED);
        let others = ranked.iter().filter(|name| **name != own);
        for peer in others {
            if self.nodes[peer].paused_until <= self.now {
                evidence.add_peer(self.answer(peer, key));
            }
        }
        self.counts.resumed += 1;
        match evidence.verdict(1, true) {
            StreamVerdict::Recorded(origin, _) => {
                prop_assert_eq!(origin, stream_origin(SERVICE, &stream.version));
                self.counts.found += 1;
            }
            StreamVerdict::Sole(versions) => {
                prop_assert_eq!(&versions[0], &stream.version);
                self.counts.found += 1;
            }
            StreamVerdict::Conflicting => prop_assert!(false, "records of one stream differ"),
            StreamVerdict::Unknown => {}
        }
        Ok(())
    }

    fn kill(&mut self, node: usize) {
        let mut started = FleetNode::default();
        let versions = self.versions.iter().cloned().map(Some);
        started.history.observe(self.now, LIFETIME, versions);
        self.nodes.insert(self.names[node].clone(), started);
    }

    fn apply(&mut self, step: Step) -> Result<(), TestCaseError> {
        match step {
            Step::Begin { node, version } => self.begin(node, version),
            Step::Resume { node, stream } => self.resume(node, stream)?,
            Step::Kill { node } => self.kill(node),
            Step::Pause { node } => {
                let until = self.now + Duration::from_secs(2);
                let node = self.nodes.get_mut(&self.names[node]).expect("a node");
                node.paused_until = until;
            }
            Step::SetVersions { versions } => {
                let versions = versions.into_iter().map(version_name);
                self.versions = versions.collect();
                self.observe();
            }
            Step::Wait { millis } => self.now += Duration::from_millis(millis),
        }
        Ok(())
    }
}

fn version_name(number: usize) -> SoftwareVersion {
    format!("v{number}").into()
}

proptest! {
    #![proptest_config(common::proptest_config(400))]

    #[test]
    fn never_wrong(nodes in 2..12_usize, steps in steps(12)) {
        let mut fleet = Fleet::new(12);
        for step in steps {
            fleet.apply(limit_node(step, nodes))?;
        }
    }
}

/// Returns the step with its node among the first ones, so that kills hit holders often.
fn limit_node(step: Step, nodes: usize) -> Step {
    match step {
        Step::Kill { node } => Step::Kill { node: node % nodes },
        Step::Pause { node } => Step::Pause { node: node % nodes },
        step => step,
    }
}

/// Runs streams of two versions that are resumed after their node and another one were killed.
fn resume_after_kills(keeps_records: bool) -> Counts {
    let mut fleet = Fleet::new(8);
    fleet.keeps_records = keeps_records;
    fleet.versions = vec![version_name(1), version_name(2)];
    fleet.observe();
    for round in 0..200 {
        fleet.begin(round % 8, round);
        fleet.now += Duration::from_millis(20);
        fleet.kill(round % 8);
        fleet.kill((round / 8) % 8);
        fleet
            .resume((round + 3) % 8, round)
            .expect("no wrong version");
    }
    fleet.counts
}

#[test]
fn two_kills() {
    let counts = resume_after_kills(true);
    let found = counts.found as f64 / counts.resumed as f64;
    assert!(found >= MIN_FOUND_RATIO, "{found:.3} found");
}

#[test]
fn without_records() {
    // The check above depends on the records.
    let counts = resume_after_kills(false);
    assert_eq!(counts.found, 0);
}

#[test]
fn bounded_table() {
    let mut table = StreamTable::default();
    for number in 0..60_000_u64 {
        let record = StreamRecord {
            key: u128::from(number),
            origin: 1,
            lifetime_ms: 10_000,
        };
        table.insert(Duration::from_micros(number), &record);
    }
    assert_eq!(table.len(), 50_000);
    let now = Duration::from_secs(1);
    assert_eq!(table.lookup(now, 0), StreamLookup::Unknown, "the oldest");
    assert!(matches!(
        table.lookup(now, 59_999),
        StreamLookup::Recorded(1, _)
    ));
    let later = Duration::from_secs(11);
    assert_eq!(table.lookup(later, 59_999), StreamLookup::Unknown);
}
