//! All clocks must include time in which the machine was suspended.
//!
//! With a clock that stops in suspend, revoked keys, removed targets and expired time limits would
//! stay in effect for as long as the machine was suspended.

use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use turnford_policy::Clock;
use turnford_policy::SuspendDetector;
use turnford_policy::SystemClock;

const MS: Duration = Duration::from_millis(1);

fn collect_sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("a readable folder") {
        let path = entry.expect("a readable entry").path();
        let name = path
            .file_name()
            .and_then(|name| name.to_str())
            .unwrap_or("");
        if path.is_dir() {
            // Stand-ins, tests and tools that measure on a single machine may use any clock.
            let exempt_folders = [
                "tests",
                "benches",
                "examples",
                "target",
                "turnford-standin",
                "turnford",
            ];
            if !exempt_folders.contains(&name) {
                collect_sources(&path, found);
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
        collect_sources(&root.join(folder), &mut found);
    }
    assert!(found.len() > 100, "too few source files found");
    let uses = |path: &&PathBuf| fs::read_to_string(path).expect("text").contains("Instant");
    let violations: Vec<&PathBuf> = found.iter().filter(uses).collect();
    assert!(violations.is_empty(), "{violations:#?}");
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
fn suspend_detected() {
    // The second clock stops while the machine is suspended.
    let mut detector = SuspendDetector::new(1000 * MS, 500 * MS);
    assert_eq!(detector.check(1200 * MS, 700 * MS), None);
    // A thread that was not scheduled for a while does not count as suspend.
    assert_eq!(detector.check(4200 * MS, 3700 * MS), None);
    assert_eq!(detector.check(7400 * MS, 3900 * MS), Some(3000 * MS));
    assert_eq!(detector.check(7600 * MS, 4100 * MS), None);
    // The clocks are read one after the other, so a difference of some milliseconds is ignored.
    assert_eq!(detector.check(7815 * MS, 4300 * MS), None);
}
