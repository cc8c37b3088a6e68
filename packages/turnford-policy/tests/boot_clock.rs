//! Time in which a machine was suspended counts: what a node knows grows old in it.
//!
//! A clock that stands still meanwhile has revoked keys, targets that left and time limits wait for as
//! long as the machine slept.

use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use turnford_policy::Clock;
use turnford_policy::SuspendDetector;
use turnford_policy::SystemClock;

const MS: Duration = Duration::from_millis(1);

fn sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("a folder") {
        let path = entry.expect("an entry").path();
        let name = path
            .file_name()
            .and_then(|name| name.to_str())
            .unwrap_or("");
        if path.is_dir() {
            // Stand-ins, tests and tools that measure on one machine may use any clock.
            let is_other = [
                "tests",
                "benches",
                "examples",
                "target",
                "turnford-standin",
                "turnford",
            ];
            if !is_other.contains(&name) {
                sources(&path, found);
            }
        } else if name.ends_with(".rs") {
            found.push(path);
        }
    }
}

#[test]
fn no_other_clock() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let mut found = Vec::new();
    for folder in ["../packages", "../platform"] {
        sources(&root.join(folder), &mut found);
    }
    assert!(found.len() > 100, "the sources are where they were");
    let uses = |path: &&PathBuf| fs::read_to_string(path).expect("text").contains("Instant");
    let strays: Vec<&PathBuf> = found.iter().filter(uses).collect();
    assert!(strays.is_empty(), "{strays:#?}");
}

#[test]
fn clock_rises() {
    let clock = SystemClock::new();
    let first = clock.now();
    std::thread::sleep(20 * MS);
    let second = clock.now();
    assert!(second >= first + 20 * MS, "{first:?} {second:?}");
    assert!(
        second < first + Duration::from_secs(10),
        "{first:?} {second:?}"
    );
}

#[test]
fn sleep_seen() {
    // The second clock stands still while the machine is suspended.
    let mut watch = SuspendDetector::new(1000 * MS, 500 * MS);
    assert_eq!(watch.check(1200 * MS, 700 * MS), None);
    // A thread that did not run for long is no sleep.
    assert_eq!(watch.check(4200 * MS, 3700 * MS), None);
    assert_eq!(watch.check(7400 * MS, 3900 * MS), Some(3000 * MS));
    assert_eq!(watch.check(7600 * MS, 4100 * MS), None);
    // Clocks are read one after the other: some milliseconds are none.
    assert_eq!(watch.check(7815 * MS, 4300 * MS), None);
}
