//! Configuration, leaving targets and planned stops while requests run.

mod common;

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use common::account_text;
use common::wait_until;
use common::Extras;
use common::TestSite;
use futures_lite::future::zip;
use turnford::change_object;
use turnford::read_envelope;
use turnford::tool_client;
use turnford::ChangeOutcome;
use turnford::ChangeRequest;
use turnford_standin::FaultKind;

const KEY: &str = "config/account/one";

/// Time for which calls go wrong: long enough for one on a busy machine.
const FAULT_SPAN: Duration = Duration::from_secs(3);

fn change(text: Option<String>, expected: Option<u64>) -> ChangeRequest<'static> {
    ChangeRequest {
        key: KEY,
        text,
        author: "test",
        expected,
    }
}

/// Waits until every node has at least this configuration version.
async fn wait_version(site: &TestSite, version: u64) {
    for node in 0..site.site.nodes.len() {
        wait_until("the version is in force", || {
            let status = async_io::block_on(site.status(node));
            status["config_version"].as_u64() >= Some(version)
        })
        .await;
    }
}

#[test]
fn everywhere_in_force() {
    let site = TestSite::start(3);
    let objects = tool_client(site.site.standins.objects);
    async_io::block_on(async {
        let lowered = change_object(&objects, change(Some(account_text("one", 0.01)), None)).await;
        let ChangeOutcome::Accepted(version) = lowered else {
            panic!("{lowered}")
        };
        wait_version(&site, version).await;
        // Each node's bucket holds one request at most.
        for node in 0..3 {
            site.post(node, "chat", "mark:a hello", Extras::default())
                .await;
            let limited = site
                .post(node, "chat", "mark:b hello", Extras::default())
                .await;
            assert_eq!((limited.code(), limited.ran()), (110, "no"));
        }
        let deleted = change_object(&objects, change(None, None)).await;
        let ChangeOutcome::Accepted(version) = deleted else {
            panic!("{deleted}")
        };
        wait_version(&site, version).await;
        let unknown = site
            .post(1, "chat", "mark:c hello", Extras::default())
            .await;
        assert_eq!(unknown.code(), 101);
    });
    site.stop();
}

#[test]
fn racing_operators() {
    let site = TestSite::start(1);
    let objects = tool_client(site.site.standins.objects);
    async_io::block_on(async {
        let (version, _) = read_envelope(&objects, KEY)
            .await
            .expect("the account is there");
        let left = change(Some(account_text("one", 11.0)), Some(version));
        let right = change(Some(account_text("one", 22.0)), Some(version));
        let outcomes = zip(
            change_object(&objects, left),
            change_object(&objects, right),
        )
        .await;
        let (accepted, refused) = match outcomes {
            (ChangeOutcome::Accepted(version), other)
            | (other, ChangeOutcome::Accepted(version)) => (version, other),
            other => panic!("{other:?}"),
        };
        assert_eq!(
            refused,
            ChangeOutcome::Conflict {
                expected: version,
                current: accepted
            }
        );
    });
    site.stop();
}

#[test]
fn lost_apply() {
    // The write takes effect, its answer is lost, and the tool finds out by its mark.
    let site = TestSite::start(1);
    let objects = tool_client(site.site.standins.objects);
    async_io::block_on(async {
        site.fault(
            FaultKind::LoseAnswers,
            "platform",
            Duration::from_secs(600),
            1.0,
        );
        let outcome = change_object(&objects, change(Some(account_text("one", 7.0)), None)).await;
        let (version, envelope) = read_envelope(&objects, KEY)
            .await
            .expect("the account is there");
        assert_eq!(outcome, ChangeOutcome::Accepted(version));
        assert_eq!(envelope.text, Some(account_text("one", 7.0)));
    });
    site.stop();
}

#[test]
fn outage_keeps() {
    // An outage begins right after a change was accepted; what is in force does not flip back.
    let site = TestSite::start(2);
    let objects = tool_client(site.site.standins.objects);
    async_io::block_on(async {
        let changed = change_object(&objects, change(Some(account_text("one", 900.0)), None)).await;
        let ChangeOutcome::Accepted(version) = changed else {
            panic!("{changed}")
        };
        wait_version(&site, version).await;
        site.fault(
            FaultKind::Outage,
            "platform",
            Duration::from_millis(1500),
            1.0,
        );
        let mut lowest = u64::MAX;
        for _ in 0..40 {
            for node in 0..2 {
                let status = site.status(node).await;
                lowest = lowest.min(status["config_version"].as_u64().unwrap_or(0));
            }
            async_io::Timer::after(Duration::from_millis(50)).await;
        }
        assert!(
            lowest >= version,
            "version {lowest} came back after {version}"
        );
        let chat = site
            .post(0, "chat", "mark:o hello", Extras::default())
            .await;
        assert_eq!(chat.code(), 0);
    });
    site.stop();
}

#[test]
fn leaving_target() {
    let site = TestSite::start(2);
    site.fault(FaultKind::Leave, "post-0", Duration::from_secs(600), 1.0);
    async_io::block_on(async {
        for node in 0..2 {
            wait_until("the node knows that the target leaves", || {
                let status = async_io::block_on(site.status(node));
                let targets = status["services"]["post"]["targets"].as_array().cloned();
                let targets = targets.unwrap_or_default();
                targets
                    .iter()
                    .any(|target| target["name"] == "post-0" && target["leaving"] == true)
            })
            .await;
        }
        for number in 0..20 {
            let text = format!("mark:v{number} hello");
            let answer = site
                .post(number % 2, "chat", &text, Extras::default())
                .await;
            assert_eq!(answer.code(), 0);
            let runs = site.runs("post", &format!("mark:v{number}"));
            assert!(runs.iter().all(|run| run.target == "post-1"), "{runs:?}");
        }
    });
    site.stop();
}

#[test]
fn planned_stop() {
    // Requests run while the node is asked to stop: each gets its whole answer or a true refusal.
    let site = TestSite::start(1);
    site.fault(FaultKind::Slow, "sprog", Duration::from_secs(600), 10.0);
    let draining = AtomicBool::new(false);
    let callers = async {
        let mut answers = Vec::new();
        for number in 0..6 {
            let late = draining.load(Ordering::SeqCst);
            let text = format!("mark:p{number} hello");
            answers.push((late, site.post(0, "chat", &text, Extras::default()).await));
        }
        answers
    };
    let stop = async {
        async_io::Timer::after(Duration::from_millis(400)).await;
        draining.store(true, Ordering::SeqCst);
        site.site.nodes[0].drain().await
    };
    let (answers, cut) = async_io::block_on(zip(callers, stop));
    assert_eq!(cut, 0, "requests were cut");
    for (late, answer) in &answers {
        let refused = (answer.code(), answer.ran()) == (140, "no");
        assert!(answer.code() == 0 || refused, "{answer:?}");
        assert!(!late || refused, "a request began after the stop did");
    }
    assert!(answers.iter().any(|(_, answer)| answer.code() == 140));
    site.stop();
}

#[test]
fn swapped_answers() {
    // Answers with another attempt's id reach nobody.
    let site = TestSite::start(1);
    for (kind, mark) in [
        (FaultKind::Swap, "mark:swap"),
        (FaultKind::Truncate, "mark:cut"),
    ] {
        site.fault(kind, "booking", FAULT_SPAN, 1.0);
        let text = format!("{mark} hold");
        let answer = async_io::block_on(site.post(0, "reserve", &text, Extras::default()));
        assert_eq!(
            (answer.code(), answer.ran()),
            (300, "yes"),
            "{kind:?}: {answer:?}"
        );
        assert_eq!(answer.body.get("output"), None);
        assert_eq!(
            site.runs("booking", mark).len(),
            1,
            "a call that may have run was repeated"
        );
        std::thread::sleep(FAULT_SPAN);
    }
    // The connections are sound afterwards.
    let text = "mark:y hold";
    let answer = async_io::block_on(site.post(0, "reserve", text, Extras::default()));
    assert_eq!(answer.code(), 0, "{answer:?}");
    site.stop();
}

#[test]
fn caller_gone() {
    // A caller that goes away cancels its work at the target.
    let site = TestSite::start(1);
    site.fault(FaultKind::Slow, "sprog", Duration::from_secs(600), 200.0);
    let post = async {
        site.post(0, "chat", "mark:gone hello", Extras::default())
            .await;
    };
    let leave = async {
        wait_until("the first stage ran", || {
            !site.runs("post", "mark:gone").is_empty()
        })
        .await;
        async_io::Timer::after(Duration::from_millis(100)).await;
    };
    async_io::block_on(futures_lite::future::or(post, leave));
    async_io::block_on(wait_until("the engine was told", || {
        let runs = site.runs("sprog", "mark:gone");
        runs.first().is_some_and(|run| !run.whole)
    }));
    site.stop();
}
