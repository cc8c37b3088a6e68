//! Components of the load tool: scenarios, conditional writes of the store, fault times and plots.

use std::time::Duration;

use turnford_standin::draw_report;
use turnford_standin::AccountReport;
use turnford_standin::AuditCounts;
use turnford_standin::FaultKind;
use turnford_standin::FaultTable;
use turnford_standin::LoadReport;
use turnford_standin::ObjectStore;
use turnford_standin::Scenario;
use turnford_standin::StoreError;

#[test]
fn drawn_plot() {
    let report = LoadReport {
        scenario: "test".to_owned(),
        rate: 10.0,
        seconds: 3.0,
        seed: 1,
        total: AccountReport::default(),
        accounts: Default::default(),
        audit: AuditCounts::default(),
        by_second: vec![(8, 10), (9, 10), (10, 10)],
    };
    let name = format!("turnford-plot-{}.svg", std::process::id());
    let file = std::env::temp_dir().join(name);
    draw_report(&report, &file).expect("the plot is drawn");
    let text = std::fs::read_to_string(&file).expect("the plot is written");
    std::fs::remove_file(&file).expect("the plot is removed");
    assert!(
        text.contains("<polyline") && text.trim_end().ends_with("</svg>"),
        "{text}"
    );
}

#[test]
fn guarded_writes() {
    let mut store = ObjectStore::default();
    let first = store
        .put("a", Some(0), b"one".to_vec())
        .expect("the object is new");
    assert_eq!(
        store.put("a", Some(0), b"two".to_vec()),
        Err(StoreError::Conflict(first))
    );
    let second = store
        .put("a", Some(first), b"two".to_vec())
        .expect("the version fits");
    let deleted = store.delete("a", Some(second)).expect("the version fits");
    let again = store
        .put("a", Some(0), b"three".to_vec())
        .expect("the object is new");
    assert!(
        first < second && second < deleted && deleted < again,
        "versions rise over deletes"
    );
    let changes = store.changes("a", second).expect("the changes are kept");
    assert_eq!(
        (changes.objects.len(), changes.objects[0].version),
        (1, again)
    );
}

#[test]
fn timed_faults() {
    let faults = FaultTable::new(Vec::new());
    faults.add_now(FaultKind::Slow, "post", Duration::from_secs(60), 3.0);
    assert_eq!(
        faults.active(FaultKind::Slow, &["post-1", "post"]),
        Some(3.0)
    );
    assert_eq!(faults.active(FaultKind::Slow, &["kort"]), None);
    assert_eq!(faults.active(FaultKind::Die, &["post"]), None);
}

#[test]
fn bad_scenario() {
    let unknown = Scenario::parse("name = \"x\"\ncolour = 1\n").expect_err("an unknown field");
    assert!(unknown.contains("line"), "{unknown}");
}
