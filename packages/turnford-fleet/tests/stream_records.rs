//! The version that began a stream is found by nodes that never saw the stream, or not at all, but
//! never a wrong one. Nodes are killed, paused and replaced, versions are rolled, and the store is
//! restored from a backup in between.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use proptest::prelude::*;
use turnford_fleet::rank_members;
use turnford_fleet::stream_key;
use turnford_fleet::stream_origin;
use turnford_fleet::Duty;
use turnford_fleet::Moment;
use turnford_fleet::StreamEvidence;
use turnford_fleet::StreamLookup;
use turnford_fleet::StreamRecord;
use turnford_fleet::StreamTable;
use turnford_fleet::StreamVerdict;
use turnford_fleet::VersionLedger;
use turnford_fleet::VersionUse;
use turnford_fleet::VersionWitness;
use turnford_policy::SoftwareVersion;

const SERVICE: &str = "sprog";

/// Deadlines of clients.
const LIFETIMES: [Duration; 4] = [
    Duration::from_secs(10),
    Duration::from_secs(60),
    Duration::from_secs(300),
    Duration::from_secs(1500),
];

/// Nodes that keep a record, and nodes that are asked.
const HOLDERS: usize = 3;
const ASKED: usize = 8;

/// Minimum ratio of streams whose version is found while nodes are killed one at a time.
const MIN_FOUND_RATIO: f64 = 0.9;

#[derive(Clone, Debug)]
enum Step {
    /// A stream begins at a node, at one of the versions of now.
    Begin {
        node: usize,
        version: usize,
        lifetime: usize,
    },
    /// A stream is resumed at a node. Its versions are those of a stream begun before.
    Resume { node: usize, stream: usize },
    /// A node is killed and starts again without its memory.
    Kill { node: usize },
    /// All nodes are killed at once.
    KillAll,
    /// A node neither keeps records nor answers for a while, and sees no changes.
    Pause { node: usize },
    /// Targets of a version appear or leave.
    SetVersions { versions: Vec<usize> },
    /// The store takes a backup.
    BackUp,
    /// The store is restored from the last backup.
    Restore,
    /// Time passes.
    Wait { millis: u64 },
}

fn steps(nodes: usize) -> impl Strategy<Value = Vec<Step>> {
    let begin = (0..nodes, 0..2_usize, 0..LIFETIMES.len());
    let step = prop_oneof![
        8 => begin.prop_map(|(node, version, lifetime)| Step::Begin { node, version, lifetime }),
        8 => (0..nodes, any::<usize>()).prop_map(|(node, stream)| Step::Resume { node, stream }),
        2 => (0..nodes).prop_map(|node| Step::Kill { node }),
        1 => Just(Step::KillAll),
        2 => (0..nodes).prop_map(|node| Step::Pause { node }),
        2 => prop::collection::vec(0..4_usize, 1..3)
            .prop_map(|versions| Step::SetVersions { versions }),
        1 => Just(Step::BackUp),
        1 => Just(Step::Restore),
        4 => (1..4_000_u64).prop_map(|millis| Step::Wait { millis }),
        2 => (4_000..900_000_u64).prop_map(|millis| Step::Wait { millis }),
    ];
    prop::collection::vec(step, 20..160)
}

/// The store: the ledger, and the versions of the targets that it lists.
#[derive(Clone, Default)]
struct Store {
    era: u64,
    ledger: Option<VersionLedger>,
    backup: Option<VersionLedger>,
}

#[derive(Default)]
struct FleetNode {
    table: StreamTable,
    witness: VersionWitness,
    ledger: Option<VersionLedger>,
    paused_until: Moment,
    /// Streams that it began and that other nodes may have to keep.
    begun: Vec<StreamRecord>,
}

struct BegunStream {
    attempt: String,
    version: SoftwareVersion,
    at: Moment,
    lifetime: Duration,
}

#[derive(Default)]
struct Counts {
    resumed: usize,
    found: usize,
    /// Streams found without a record.
    proved: usize,
}

struct Fleet {
    now: Moment,
    names: Vec<String>,
    nodes: BTreeMap<String, FleetNode>,
    store: Store,
    is_first_start: bool,
    versions: Vec<SoftwareVersion>,
    streams: Vec<BegunStream>,
    keeps_records: bool,
    counts: Counts,
}

impl Fleet {
    fn new(count: usize, is_first_start: bool) -> Self {
        let names: Vec<String> = (0..count).map(|number| format!("n{number}")).collect();
        let nodes = names
            .iter()
            .map(|name| (name.clone(), FleetNode::default()));
        let mut fleet = Self {
            now: Duration::from_secs(1),
            nodes: nodes.collect(),
            names,
            store: Store::default(),
            is_first_start,
            versions: vec![version_name(0)],
            streams: Vec::new(),
            keeps_records: true,
            counts: Counts::default(),
        };
        fleet.observe();
        fleet.now += Duration::from_secs(1);
        fleet
    }

    /// Has a node read the ledger, and write what it has to.
    fn update(&mut self, name: &str, uses: &[VersionUse]) {
        let (now, era) = (self.now, self.store.era);
        let is_first_start = self.is_first_start && era == 0;
        let node = self.nodes.get_mut(name).expect("a node");
        let stored = self.store.ledger.clone();
        let mut ledger = stored.unwrap_or_else(|| VersionLedger::new(era, !is_first_start));
        ledger.enter_era(era);
        for used in uses {
            ledger.admit(used);
        }
        node.witness.update(now, &mut ledger);
        node.ledger = Some(ledger.clone());
        self.store.ledger = Some(ledger);
    }

    /// Has all nodes that aren't paused see the listed targets.
    fn observe(&mut self) {
        let listed = self.versions.clone();
        for name in self.names.clone() {
            let node = self.nodes.get_mut(&name).expect("a node");
            if node.paused_until > self.now {
                continue;
            }
            let versions = listed.iter().map(|version| Some(version.to_string()));
            let added = node.witness.observe(SERVICE, versions);
            if !added.is_empty() || self.has_changes(&name) {
                self.update(&name, &added);
            }
            self.announce_begun(&name);
        }
    }

    fn has_changes(&self, name: &str) -> bool {
        let node = &self.nodes[name];
        node.ledger.as_ref().is_none_or(|ledger| {
            ledger.era() != self.store.era || node.witness.has_changes(self.now, ledger)
        })
    }

    fn announce_begun(&mut self, name: &str) {
        if self.is_sole(name) {
            return;
        }
        let node = self.nodes.get_mut(name).expect("a node");
        for record in std::mem::take(&mut node.begun) {
            self.announce(&record);
        }
    }

    /// Returns whether the copy of a node proves the version of all streams.
    fn is_sole(&self, name: &str) -> bool {
        let ledger = self.nodes[name].ledger.as_ref();
        self.sole_version(ledger).is_some()
    }

    fn sole_version<'a>(&self, ledger: Option<&'a VersionLedger>) -> Option<&'a str> {
        let sole = ledger?.sole_version(self.store.era, SERVICE)?;
        let mut listed = self.versions.iter();
        listed.all(|version| &**version == sole).then_some(sole)
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

    fn begin(&mut self, node: usize, version: usize, lifetime: Duration) {
        let name = self.names[node].clone();
        if self.nodes[&name].paused_until > self.now {
            return;
        }
        let version = self.versions[version % self.versions.len()].clone();
        let used = VersionUse {
            service: SERVICE.to_owned(),
            version: Some(version.to_string()),
            lifetime,
        };
        let known = self.nodes[&name].ledger.as_ref();
        if known.is_none_or(|ledger| !ledger.admits(self.store.era, &used)) {
            self.update(&name, &[used]);
        }
        let attempt = format!("a{}", self.streams.len());
        let record = StreamRecord {
            key: stream_key("skagen", &attempt),
            origin: stream_origin(SERVICE, &version),
            // As nodes do, records are kept for a shorter time than some streams may last.
            lifetime_ms: u32::try_from(lifetime.as_millis().min(120_000)).expect("seconds"),
        };
        let is_sole = self.is_sole(&name);
        let node = self.nodes.get_mut(&name).expect("a node");
        node.table.insert(self.now, &record);
        if is_sole {
            node.begun.push(record);
        } else {
            self.announce(&record);
        }
        self.streams.push(BegunStream {
            attempt,
            version,
            at: self.now,
            lifetime,
        });
    }

    /// Asks as a node does, and checks the verdict.
    fn resume(&mut self, node: usize, stream: usize) -> Result<(), TestCaseError> {
        let own = self.names[node].clone();
        let Some(stream) = self.streams.get(stream % self.streams.len().max(1)) else {
            return Ok(());
        };
        if self.now.saturating_sub(stream.at) >= stream.lifetime {
            return Ok(());
        }
        let (version, key) = (
            stream.version.clone(),
            stream_key("skagen", &stream.attempt),
        );
        let mut evidence = StreamEvidence::default();
        evidence.add(self.nodes[&own].table.lookup(self.now, key));
        let ranked = self.ranked(key, ASKED);
        for peer in ranked.iter().filter(|name| **name != own) {
            let node = &self.nodes[peer];
            if node.paused_until <= self.now {
                evidence.add(node.table.lookup(self.now, key));
            }
        }
        self.counts.resumed += 1;
        match evidence.verdict() {
            StreamVerdict::Recorded(origin, _) => {
                prop_assert_eq!(origin, stream_origin(SERVICE, &version));
                self.counts.found += 1;
            }
            StreamVerdict::Conflicting => prop_assert!(false, "records of one stream differ"),
            StreamVerdict::Unknown => {
                self.update(&own, &[]);
                let ledger = self.nodes[&own].ledger.as_ref();
                if let Some(sole) = self.sole_version(ledger) {
                    prop_assert_eq!(sole, &*version);
                    self.counts.found += 1;
                    self.counts.proved += 1;
                }
            }
        }
        Ok(())
    }

    fn kill(&mut self, node: usize) {
        let name = self.names[node].clone();
        self.nodes.insert(name, FleetNode::default());
        self.is_first_start = false;
        self.observe();
    }

    fn kill_all(&mut self) {
        for name in self.names.clone() {
            self.nodes.insert(name, FleetNode::default());
        }
        self.is_first_start = false;
        self.observe();
    }

    fn apply(&mut self, step: Step) -> Result<(), TestCaseError> {
        match step {
            Step::Begin {
                node,
                version,
                lifetime,
            } => self.begin(node, version, LIFETIMES[lifetime]),
            Step::Resume { node, stream } => self.resume(node, stream)?,
            Step::Kill { node } => self.kill(node),
            Step::KillAll => self.kill_all(),
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
            Step::BackUp => self.store.backup = self.store.ledger.clone(),
            Step::Restore => {
                self.store.ledger = self.store.backup.clone();
                self.store.era += 1;
                self.observe();
            }
            Step::Wait { millis } => {
                self.now += Duration::from_millis(millis);
                self.observe();
            }
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
        let mut fleet = Fleet::new(12, true);
        for step in steps {
            fleet.apply(limit_node(step, nodes))?;
        }
    }

    #[test]
    fn never_wrong_later(nodes in 2..12_usize, steps in steps(12)) {
        // The fleet ran before there was a ledger.
        let mut fleet = Fleet::new(12, false);
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
    let mut fleet = Fleet::new(8, true);
    fleet.keeps_records = keeps_records;
    fleet.versions = vec![version_name(1), version_name(2)];
    fleet.observe();
    for round in 0..200 {
        fleet.begin(round % 8, round, LIFETIMES[0]);
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
fn sole_version() {
    // While there is one version, each stream is found after all nodes were killed.
    let mut fleet = Fleet::new(8, true);
    for round in 0..50 {
        fleet.begin(round % 8, 0, LIFETIMES[0]);
        fleet.now += Duration::from_secs(1);
        fleet.kill_all();
        fleet.resume(round % 8, round).expect("no wrong version");
    }
    assert_eq!(fleet.counts.proved, 50);
}

#[test]
fn sole_again() {
    // A version that was replaced long ago no longer counts, also after all nodes were killed.
    let mut fleet = Fleet::new(8, true);
    fleet.begin(0, 0, LIFETIMES[2]);
    fleet.versions = vec![version_name(1)];
    fleet.observe();
    for _ in 0..13 {
        fleet.now += Duration::from_secs(60);
        fleet.observe();
    }
    fleet.begin(0, 0, LIFETIMES[0]);
    fleet.kill_all();
    fleet.resume(1, 1).expect("no wrong version");
    assert_eq!(fleet.counts.proved, 1);
}

#[test]
fn hidden_return() {
    // Guards against a version that is removed although it returned while the removing node was paused.
    let mut fleet = Fleet::new(8, true);
    let versions = |fleet: &mut Fleet, number| {
        fleet.versions = vec![version_name(number)];
        fleet.observe();
    };
    versions(&mut fleet, 1);
    fleet.now += Duration::from_secs(595);
    fleet.observe();
    fleet.nodes.get_mut("n7").expect("a node").paused_until = fleet.now + Duration::from_secs(2);
    versions(&mut fleet, 0);
    fleet.begin(0, 0, LIFETIMES[1]);
    versions(&mut fleet, 1);
    for node in 0..7 {
        fleet.kill(node);
    }
    for _ in 0..6 {
        fleet.now += Duration::from_secs(5);
        fleet.observe();
        fleet.resume(7, 0).expect("no wrong version");
    }
    assert_eq!(fleet.counts.found, 0);
}

#[test]
fn restored_store() {
    // Guards against a ledger that lacks what was added to it before a restore.
    let mut fleet = Fleet::new(8, true);
    fleet.store.backup = fleet.store.ledger.clone();
    fleet.versions = vec![version_name(0), version_name(1)];
    fleet.observe();
    fleet.begin(0, 1, LIFETIMES[1]);
    fleet.versions = vec![version_name(0)];
    fleet.apply(Step::Restore).expect("a restore");
    fleet.kill_all();
    fleet.resume(1, 0).expect("no wrong version");
    assert_eq!(fleet.counts.found, 0);
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
