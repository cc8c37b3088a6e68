//! Configuration versions never decrease, whatever order changes arrive in.

mod common;

use std::collections::BTreeMap;

use proptest::prelude::*;
use turnford_fleet::ConfigChange;
use turnford_fleet::ConfigEnvelope;
use turnford_fleet::ConfigView;
use turnford_fleet::EnvelopeChange;
use turnford_fleet::Version;

/// Returns a sequence of changes to three objects, every fourth of which is a deletion.
fn history(length: usize) -> Vec<ConfigChange> {
    let change = |index: usize| ConfigChange {
        key: format!("config/account/a{}", index % 3),
        version: index as Version + 1,
        text: (index % 4 != 3).then(|| format!("text {index}")),
    };
    (0..length).map(change).collect()
}

proptest! {
    #![proptest_config(common::proptest_config(2000))]

    #[test]
    fn never_reverts(order in prop::collection::vec(0_usize..30, 1..200)) {
        let history = history(30);
        let mut view = ConfigView::default();
        let mut seen: BTreeMap<String, Version> = BTreeMap::new();
        for index in order {
            let change = history[index].clone();
            let before = seen.get(&change.key).copied().unwrap_or(0);
            let is_applied = view.apply(change.clone());
            prop_assert_eq!(is_applied, change.version > before);
            if is_applied {
                seen.insert(change.key, change.version);
            }
            for (key, version, _) in view.live() {
                prop_assert_eq!(Some(&version), seen.get(key));
            }
        }
    }

    #[test]
    fn pulled_gaps(dropped in prop::collection::btree_set(0_usize..30, 0..20), page in 1_usize..10) {
        let history = history(30);
        let mut source = ConfigView::default();
        let mut copy = ConfigView::default();
        for (index, change) in history.into_iter().enumerate() {
            source.apply(change.clone());
            if !dropped.contains(&index) {
                copy.apply(change);
            }
        }
        source.advance_complete_to(30);
        let mut after = copy.complete_to();
        loop {
            let changes = source.changes_after(after, page);
            let Some(last) = changes.last().map(|change| change.version) else { break };
            after = last;
            for change in changes {
                copy.apply(change);
            }
        }
        prop_assert_eq!(copy.checksum(), source.checksum());
    }
}

#[test]
fn deleted_object() {
    let mut view = ConfigView::default();
    let change = |version, text: Option<&str>| ConfigChange {
        key: "config/account/one".to_owned(),
        version,
        text: text.map(str::to_owned),
    };
    assert!(view.apply(change(5, Some("old"))));
    assert!(view.apply(change(9, None)));
    assert!(
        !view.apply(change(5, Some("old"))),
        "a deleted text came back"
    );
    assert_eq!(view.live().count(), 0);
    assert!(view.apply(change(12, Some("new"))));
    assert_eq!(view.live().count(), 1);
}

#[test]
fn hidden_mark() {
    let change = |mark: &str| EnvelopeChange {
        write_id: mark.to_owned(),
        author: "one".to_owned(),
        action: "apply".to_owned(),
        at: 0,
        replaced: 0,
    };
    let mut envelope = ConfigEnvelope::default().changed(Some("a".to_owned()), change("mine"));
    for number in 0..19 {
        envelope = envelope.changed(Some("b".to_owned()), change(&format!("other-{number}")));
    }
    let stored = ConfigEnvelope::decode(&envelope.encode()).expect("the envelope is readable");
    assert!(stored.has_write("mine") && stored.is_truncated());
    assert!(!stored.changed(None, change("last")).has_write("mine"));
}
