//! Records of begun streams, kept at a few other nodes so that any node can resume a stream.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;

use turnford_fleet::rank_members;
use turnford_fleet::Duty;
use turnford_fleet::StreamEvidence;
use turnford_fleet::StreamKey;
use turnford_fleet::StreamLookup;
use turnford_fleet::StreamRecord;
use turnford_fleet::StreamTable;
use turnford_fleet::StreamVerdict;
use turnford_policy::Moment;
use turnford_wire::WorkReply;
use turnford_wire::WorkRequest;

use crate::peers::PeerPool;

/// Number of other nodes that keep the record of a stream.
const HOLDER_COUNT: usize = 3;

/// Number of them that must have acknowledged the record before the first event is sent.
const MIN_ACKS: usize = 2;

/// Number of further nodes that are asked if none of the holders has a record. Holders change as
/// nodes join and leave.
const FALLBACK_COUNT: usize = 5;

/// Time for which the first event waits for acknowledgements. A stream that goes on without them is
/// refused, not mixed, if it has to be resumed after its node has ended.
const RECORD_TIMEOUT: Duration = Duration::from_millis(200);

/// Time for which a node that resumes a stream waits for the answers of others.
const QUERY_TIMEOUT: Duration = Duration::from_millis(250);

/// Time for which a node that can't keep records, such as one of an older build, is passed over.
const UNSUPPORTED_PERIOD: Duration = Duration::from_secs(10);

/// Maximum number of records in one message, about 2 KB.
const MAX_BATCH: usize = 64;

/// A stream that this node began and that has not completed.
#[derive(Clone, Copy, Debug)]
struct BegunStream {
    record: StreamRecord,
    expires_at: Moment,
}

/// Records of streams: those that this node keeps, and those that it has others keep.
pub(crate) struct StreamDirectory {
    peers: Rc<PeerPool>,
    table: RefCell<StreamTable>,
    begun: RefCell<HashMap<StreamKey, BegunStream>>,
    unsupported_until: RefCell<HashMap<SocketAddr, Moment>>,
}

impl StreamDirectory {
    pub(crate) fn new(peers: Rc<PeerPool>) -> Rc<Self> {
        Rc::new(Self {
            peers,
            table: RefCell::default(),
            begun: RefCell::default(),
            unsupported_until: RefCell::default(),
        })
    }

    /// Records at this node that a stream begins.
    pub(crate) fn begin(&self, record: StreamRecord) {
        let now = self.peers.shared.now();
        let lifetime = Duration::from_millis(u64::from(record.lifetime_ms));
        let stream = BegunStream {
            record,
            expires_at: now + lifetime,
        };
        let mut begun = self.begun.borrow_mut();
        begun.retain(|_, stream| stream.expires_at > now);
        begun.insert(record.key, stream);
        drop(begun);
        self.table.borrow_mut().insert(now, &record);
    }

    /// Records that a stream completed, after which it is not resumed.
    pub(crate) fn complete(&self, key: StreamKey) {
        self.begun.borrow_mut().remove(&key);
    }

    /// Keeps records of other nodes.
    pub(crate) fn keep(&self, records: &[StreamRecord]) {
        let now = self.peers.shared.now();
        let mut table = self.table.borrow_mut();
        for record in records {
            table.insert(now, record);
        }
    }

    pub(crate) fn lookup(&self, key: StreamKey) -> StreamLookup {
        self.table.borrow().lookup(self.peers.shared.now(), key)
    }

    /// Has other nodes keep a record. Returns the number of acknowledgements when there are enough,
    /// or when no more are expected.
    pub(crate) async fn announce(self: &Rc<Self>, record: StreamRecord) -> usize {
        let holders = self.holders(record.key, HOLDER_COUNT);
        let (sender, replies) = async_channel::bounded(HOLDER_COUNT);
        for peer in holders {
            let (directory, sender) = (self.clone(), sender.clone());
            let send = async move {
                let is_kept = directory.send_records(peer, vec![record]).await;
                // The stream may no longer wait for the reply.
                let _ = sender.try_send(is_kept);
            };
            self.peers.executor.spawn(send).detach();
        }
        drop(sender);
        let mut acks = 0;
        let collect = async {
            while let Ok(is_kept) = replies.recv().await {
                acks += usize::from(is_kept);
                if acks >= MIN_ACKS {
                    break;
                }
            }
        };
        let late = async {
            Timer::after(RECORD_TIMEOUT).await;
        };
        collect.or(late).await;
        acks
    }

    /// Has other nodes keep the records of all streams of this node that have not completed.
    pub(crate) fn announce_begun(self: &Rc<Self>) {
        self.announce_records(&self.begun_records());
    }

    /// Returns the records of all streams of this node that have not completed, with the rest of their lifetimes,
    /// by key.
    pub(crate) fn begun_records(&self) -> Vec<StreamRecord> {
        let now = self.peers.shared.now();
        let begun = self.begun.borrow();
        let records = begun.values().map(|stream| {
            let lifetime = stream.expires_at.saturating_sub(now).as_millis();
            StreamRecord {
                lifetime_ms: u32::try_from(lifetime).unwrap_or(u32::MAX),
                ..stream.record
            }
        });
        let mut records: Vec<StreamRecord> = records.collect();
        records.sort_unstable_by_key(|record| record.key);
        records
    }

    /// Has other nodes keep records.
    pub(crate) fn announce_records(self: &Rc<Self>, records: &[StreamRecord]) {
        let mut batches: HashMap<SocketAddr, Vec<StreamRecord>> = HashMap::new();
        for record in records {
            for peer in self.holders(record.key, HOLDER_COUNT) {
                batches.entry(peer).or_default().push(*record);
            }
        }
        for (peer, records) in batches {
            let directory = self.clone();
            let send = async move {
                for batch in records.chunks(MAX_BATCH) {
                    directory.send_records(peer, batch.to_vec()).await;
                }
            };
            self.peers.executor.spawn(send).detach();
        }
    }

    /// Finds the origin of a stream from this node's own lookup and those of the nodes that are to
    /// keep the record.
    pub(crate) async fn find_origin(
        &self,
        key: StreamKey,
        services: &[String],
        own: StreamLookup,
    ) -> StreamVerdict {
        let holders = self.holders(key, HOLDER_COUNT);
        self.ask_nodes(&holders, key, services, own).await
    }

    /// Finds the origin of a stream at the nodes that may have been its holders before nodes joined
    /// or left.
    pub(crate) async fn find_moved_origin(
        &self,
        key: StreamKey,
        services: &[String],
    ) -> StreamVerdict {
        let ranked = self.holders(key, HOLDER_COUNT + FALLBACK_COUNT);
        let further = ranked.get(HOLDER_COUNT..).unwrap_or_default();
        self.ask_nodes(further, key, services, StreamLookup::Unknown)
            .await
    }

    async fn ask_nodes(
        &self,
        nodes: &[SocketAddr],
        key: StreamKey,
        services: &[String],
        own: StreamLookup,
    ) -> StreamVerdict {
        let mut evidence = StreamEvidence::default();
        evidence.add(own);
        let (sender, replies) = async_channel::bounded(nodes.len().max(1));
        // Nodes of older builds answer for the services as well.
        let request = WorkRequest::StreamQuery {
            key,
            services: services.to_vec(),
        };
        for peer in nodes {
            let (peers, request, sender) = (self.peers.clone(), request.clone(), sender.clone());
            let peer = *peer;
            let ask = async move {
                let reply = peers.client.call(peer, &request, QUERY_TIMEOUT).await;
                if let Ok(WorkReply::Stream(answer)) = reply {
                    // The question may have been answered by another node.
                    let _ = sender.try_send(answer);
                }
            };
            self.peers.executor.spawn(ask).detach();
        }
        drop(sender);
        while let Ok(answer) = replies.recv().await {
            evidence.add(answer.lookup);
            if evidence.has_record() {
                break;
            }
        }
        evidence.verdict()
    }

    /// Sends records to a node. Returns whether it keeps them.
    async fn send_records(&self, peer: SocketAddr, records: Vec<StreamRecord>) -> bool {
        let request = WorkRequest::StreamRecords(records);
        match self.peers.client.call(peer, &request, RECORD_TIMEOUT).await {
            Ok(WorkReply::Ack) => true,
            Ok(_) => {
                let until = self.peers.shared.now() + UNSUPPORTED_PERIOD;
                self.unsupported_until.borrow_mut().insert(peer, until);
                false
            }
            Err(error) => {
                log::info!("node at {peer} does not keep a stream record: {error}");
                false
            }
        }
    }

    /// Returns the nodes that are preferred for the record of a stream.
    fn holders(&self, key: StreamKey, count: usize) -> Vec<SocketAddr> {
        let now = self.peers.shared.now();
        let view = self.peers.shared.view.load();
        let unsupported = self.unsupported_until.borrow();
        let members = view.members.iter().filter(|member| {
            let is_unsupported = unsupported.get(&member.work).is_some_and(|at| *at > now);
            !is_unsupported && self.peers.state(member.work).down_until.get() <= now
        });
        let names = members.map(|member| &*member.name);
        let ranked = rank_members(&Duty::Stream(key), names, count);
        let addresses = ranked.into_iter().filter_map(|name| {
            let member = view.members.iter().find(|member| &*member.name == name);
            member.map(|member| member.work)
        });
        addresses.collect()
    }
}
