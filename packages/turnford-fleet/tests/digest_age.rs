//! Load digests: the newest wins, old ones expire, and loads are summed over peers.

use std::time::Duration;

use turnford_fleet::hash_target;
use turnford_fleet::DigestTable;
use turnford_fleet::LoadDigest;
use turnford_fleet::Moment;
use turnford_fleet::ServiceLoad;

fn digest(number: u64, incarnation: u64, count: u16) -> LoadDigest {
    let inflight = vec![(hash_target("sprog-1"), count)];
    let load = ServiceLoad {
        service: "sprog".to_owned(),
        backlog_ms: 500,
        mean_ms: 700,
        inflight,
    };
    LoadDigest {
        sequence: number,
        incarnation,
        services: vec![load],
    }
}

fn count_of(table: &DigestTable) -> Option<u32> {
    table
        .service_load("sprog")
        .1
        .get(&hash_target("sprog-1"))
        .copied()
}

#[test]
fn late_digest() {
    let mut table = DigestTable::default();
    table.apply(Moment::ZERO, "one", digest(5, 1, 3));
    table.apply(Moment::ZERO, "one", digest(4, 1, 9));
    assert_eq!(count_of(&table), Some(3));
    // A restarted peer starts counting from one, which must not be taken for a late digest.
    table.apply(Moment::ZERO, "one", digest(1, 2, 7));
    assert_eq!(count_of(&table), Some(7));
}

#[test]
fn summed_peers() {
    let mut table = DigestTable::default();
    table.apply(Moment::ZERO, "one", digest(1, 1, 3));
    table.apply(Moment::ZERO, "two", digest(1, 1, 4));
    let (backlog, _) = table.service_load("sprog");
    assert_eq!((backlog, count_of(&table)), (1.0, Some(7)));
    assert_eq!(table.service_load("post").0, 0.0);
}

#[test]
fn silent_peer() {
    let mut table = DigestTable::default();
    table.apply(Moment::ZERO, "one", digest(1, 1, 3));
    table.expire(Duration::from_secs(3));
    assert!(table.is_empty());
}
