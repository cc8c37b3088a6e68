//! Targets that fail, refuse or are slow get less work, and recover.

use std::sync::Arc;
use std::time::Duration;

use turnford_policy::LoadSample;
use turnford_policy::TargetSpec;
use turnford_policy::TargetTable;

const MS: Duration = Duration::from_millis(1);

fn target(id: &str) -> TargetSpec {
    TargetSpec {
        id: Arc::from(id),
        process_start: 0,
        service: Arc::from("booking"),
        address: "127.0.0.1:1".parse().expect("an address"),
        hall: Arc::from("a"),
        slots: 6,
        orders: 0,
        leaving: false,
        version: None,
    }
}

fn table() -> TargetTable {
    let mut table = TargetTable::default();
    table.set_targets([target("b1"), target("b2")].iter());
    table
}

fn chosen(table: &TargetTable, now: Duration) -> String {
    let choice = table.choose(now, &[], |_, load| load);
    choice.expect("a choice").id.to_string()
}

#[test]
fn least_loaded() {
    let mut table = table();
    table.record_start("b1");
    assert_eq!(chosen(&table, MS), "b2");
    table.record_start("b2");
    table.record_start("b2");
    assert_eq!(chosen(&table, MS), "b1");
    table.record_end("b2");
    table.record_end("b2");
    assert_eq!(chosen(&table, MS), "b2");
}

#[test]
fn reported_load() {
    // Calls of other nodes at a target count less with time.
    let mut table = table();
    let sample = LoadSample {
        running: 5,
        waiting: 3,
        slots: 6,
    };
    table.record_load(MS, "b1", sample);
    table.record_start("b2");
    assert_eq!(chosen(&table, 2 * MS), "b2");
    assert_eq!(chosen(&table, 3000 * MS), "b1");
}

#[test]
fn pause_doubles() {
    let mut table = table();
    table.record_refusal(Duration::ZERO, "b1");
    assert!(table.is_paused(200 * MS, "b1"));
    assert!(!table.is_paused(300 * MS, "b1"));
    table.record_refusal(300 * MS, "b1");
    assert!(table.is_paused(700 * MS, "b1"));
    table.record_success(300 * MS, "b1");
    assert!(!table.is_paused(700 * MS, "b1"));
}

#[test]
fn failing_spared() {
    let mut table = table();
    for _ in 0..4 {
        table.record_failure("b1");
    }
    for _ in 0..5 {
        table.record_start("b2");
    }
    assert_eq!(
        chosen(&table, MS),
        "b2",
        "an idle failing target gets no work"
    );
}

#[test]
fn last_resort() {
    let mut table = table();
    table.record_refusal(Duration::ZERO, "b1");
    table.record_refusal(Duration::ZERO, "b2");
    assert!(table.choose(MS, &[], |_, load| load).is_some());
}

#[test]
fn skips_leaving() {
    let mut table = table();
    let leaving = TargetSpec {
        leaving: true,
        ..target("b1")
    };
    table.set_targets([leaving, target("b2")].iter());
    assert_eq!(chosen(&table, MS), "b2");
    let tried = [Arc::from("b2")];
    assert!(table.choose(MS, &tried, |_, load| load).is_none());
}

/// Returns the number of calls that each of sixteen equal targets gets in 14 s from twelve callers
/// over four nodes, with calls of 130 ms.
fn equal_shares() -> Vec<usize> {
    let targets: Vec<TargetSpec> = (0..16)
        .map(|number| target(&format!("b{number:02}")))
        .collect();
    let mut tables = vec![TargetTable::default(); 4];
    for table in &mut tables {
        table.set_targets(targets.iter());
    }
    let mut shares = vec![0; targets.len()];
    let mut running: Vec<Option<(usize, usize, Duration)>> = vec![None; 12];
    for step in 0..2800_u32 {
        let now = MS * 5 * step;
        for (caller, call) in running.iter_mut().enumerate() {
            match *call {
                Some((node, chosen, until)) if until <= now => {
                    tables[node].record_end(&targets[chosen].id);
                    *call = None;
                }
                Some(_) => {}
                None => {
                    let node = (caller + step as usize) % tables.len();
                    let cost = |target: &TargetSpec, load: f64| load / f64::from(target.slots);
                    let choice = tables[node].choose(now, &[], cost).expect("a choice");
                    tables[node].record_start(&choice.id);
                    let chosen = targets.iter().position(|target| target.id == choice.id);
                    let chosen = chosen.expect("a target of the list");
                    shares[chosen] += 1;
                    *call = Some((node, chosen, now + 130 * MS));
                }
            }
        }
    }
    shares
}

#[test]
fn equal_targets() {
    // Guards against an uneven load: when each node took the first id among targets of equal cost,
    // all nodes chose alike. The four busiest targets got many times the calls of the others, and
    // some got none.
    let shares = equal_shares();
    let mean = shares.iter().sum::<usize>() / shares.len();
    let most = shares.iter().max().copied().unwrap_or(0);
    let least = shares.iter().min().copied().unwrap_or(0);
    assert!(most <= 2 * mean && least >= mean / 2, "{shares:?}");
}
