//! A few nodes per hall watch the store for the others.

use turnford_fleet::choose_watchers;

fn names(count: usize) -> Vec<String> {
    (0..count).map(|number| format!("node-{number}")).collect()
}

fn chosen(hall: &str, names: &[String]) -> Vec<String> {
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let chosen = choose_watchers(hall, &names);
    chosen.into_iter().map(str::to_owned).collect()
}

#[test]
fn few_watch() {
    for (nodes, watchers) in [(1, 1), (2, 2), (17, 2), (33, 3), (126, 8)] {
        assert_eq!(chosen("hal-a", &names(nodes)).len(), watchers, "of {nodes}");
    }
}

#[test]
fn duties_stay() {
    // When a node leaves, only its own duty moves.
    let all = names(17);
    let before = chosen("hal-a", &all);
    for leaver in &all {
        let left: Vec<String> = all.iter().filter(|name| *name != leaver).cloned().collect();
        let after = chosen("hal-a", &left);
        let kept = before.iter().filter(|name| after.contains(name)).count();
        let lost = usize::from(before.contains(leaver));
        assert_eq!(kept, before.len() - lost, "{leaver} left");
    }
}
