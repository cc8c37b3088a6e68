//! Configuration changes, leaving targets and planned stops while requests run.

mod common;

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use common::account_text;
use common::wait_until;
use common::RequestExtras;
use common::TestSite;
use futures_lite::future::zip;
use turnford::change_object;
use turnford::read_envelope;
use turnford::tool_client;
use turnford::ChangeOutcome;
use turnford::ChangeRequest;
use turnford_standin::FaultKind;

const KEY: &str = "config/account/one";

/// Duration of an injected fault; long enough for one call on a busy machine.
const FAULT_DURATION: Duration = Duration::from_secs(3);

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
        // Each node's token bucket holds at most one request.
        for node in 0..3 {
            site.post(node, "chat", "mark:a hello", RequestExtras::default())
                .await;
            let limited = site
                .post(node, "chat", "mark:b hello", RequestExtras::default())
                .await;
            assert_eq!((limited.code(), limited.ran()), (110, "no"));
        }
        let deleted = change_object(&objects, change(None, None)).await;
        let ChangeOutcome::Accepted(version) = deleted else {
            panic!("{deleted}")
        };
        wait_version(&site, version).await;
        let unknown = site
            .post(1, "chat", "mark:c hello", RequestExtras::default())
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
    // The write takes effect but its response is lost; the tool finds its write id by reading back.
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
    // An outage right after an accepted change must not revert the configuration in force.
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
            .post(0, "chat", "mark:o hello", RequestExtras::default())
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
                .post(number % 2, "chat", &text, RequestExtras::default())
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
    // Each request during a planned stop gets its complete answer or a refusal that says "not run".
    let site = TestSite::start(1);
    site.fault(FaultKind::Slow, "sprog", Duration::from_secs(600), 10.0);
    let draining = AtomicBool::new(false);
    let callers = async {
        let mut answers = Vec::new();
        for number in 0..6 {
            let late = draining.load(Ordering::SeqCst);
            let text = format!("mark:p{number} hello");
            answers.push((
                late,
                site.post(0, "chat", &text, RequestExtras::default()).await,
            ));
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
    // Truncated answers and answers with another attempt's id must not reach the client.
    let site = TestSite::start(1);
    for (kind, mark) in [
        (FaultKind::Swap, "mark:swap"),
        (FaultKind::Truncate, "mark:cut"),
    ] {
        site.fault(kind, "booking", FAULT_DURATION, 1.0);
        let text = format!("{mark} hold");
        let answer = async_io::block_on(site.post(0, "reserve", &text, RequestExtras::default()));
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
        std::thread::sleep(FAULT_DURATION);
    }
    // The connections are usable afterwards.
    let text = "mark:y hold";
    let answer = async_io::block_on(site.post(0, "reserve", text, RequestExtras::default()));
    assert_eq!(answer.code(), 0, "{answer:?}");
    site.stop();
}

#[test]
fn caller_gone() {
    // If the client disconnects, its call at the target is cancelled.
    let site = TestSite::start(1);
    site.fault(FaultKind::Slow, "sprog", Duration::from_secs(600), 200.0);
    let post = async {
        site.post(0, "chat", "mark:gone hello", RequestExtras::default())
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
    async_io::block_on(wait_until("the engine was notified", || {
        let runs = site.runs("sprog", "mark:gone");
        runs.first().is_some_and(|run| !run.whole)
    }));
    site.stop();
}
