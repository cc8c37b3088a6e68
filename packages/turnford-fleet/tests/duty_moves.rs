//! Duty assignment and rumor propagation.

use std::collections::BTreeMap;

use turnford_fleet::rank_members;
use turnford_fleet::Duty;
use turnford_fleet::Rumor;
use turnford_fleet::RumorTable;
use turnford_fleet::RUMOR_FANOUT;

fn names(count: usize) -> Vec<String> {
    (0..count).map(|number| format!("node-{number}")).collect()
}

fn holder(range: u16, names: &[String]) -> String {
    let names = names.iter().map(String::as_str);
    rank_members(&Duty::Claims(range), names, 1)[0].to_owned()
}

#[test]
fn few_moves() {
    // When a node leaves, only its own duties move.
    let all = names(10);
    let left: Vec<String> = all
        .iter()
        .filter(|name| *name != "node-3")
        .cloned()
        .collect();
    for range in 0..200 {
        let before = holder(range, &all);
        if before != "node-3" {
            assert_eq!(holder(range, &left), before);
        }
    }
}

#[test]
fn even_spread() {
    let all = names(8);
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    for range in 0..800 {
        *counts.entry(holder(range, &all)).or_default() += 1;
    }
    assert!(
        counts.values().all(|count| (60..=145).contains(count)),
        "{counts:?}"
    );
}

#[test]
fn known_rumor() {
    let rumor = |event| Rumor::Leaving {
        service: "post".to_owned(),
        target: "post-1".to_owned(),
        event,
    };
    let mut table = RumorTable::default();
    assert_eq!(table.take_new(vec![rumor(1), rumor(1), rumor(2)]).len(), 2);
    assert!(table.take_new(vec![rumor(2)]).is_empty());
}

#[test]
fn wide_spread() {
    // In a fleet of 880 nodes, a rumor reaches at least 90 % of them within 14 rounds.
    use rand::rngs::SmallRng;
    use rand::Rng;
    use rand::SeedableRng;

    const COUNT: usize = 880;
    let mut rng = SmallRng::seed_from_u64(1);
    let mut is_reached = vec![false; COUNT];
    let mut fresh = vec![0];
    is_reached[0] = true;
    let mut rounds = 0;
    while !fresh.is_empty() {
        rounds += 1;
        let mut next = Vec::new();
        for _ in 0..fresh.len() * RUMOR_FANOUT {
            let peer = rng.random_range(0..COUNT);
            if !std::mem::replace(&mut is_reached[peer], true) {
                next.push(peer);
            }
        }
        fresh = next;
    }
    let reached = is_reached.iter().filter(|is_reached| **is_reached).count();
    assert!(
        reached >= COUNT * 90 / 100 && rounds <= 14,
        "{reached} in {rounds} rounds"
    );
}
