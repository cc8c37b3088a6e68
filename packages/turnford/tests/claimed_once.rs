//! A request with an id runs a non-repeatable stage at most once.

mod common;

use std::time::Duration;

use common::wait_until;
use common::RequestExtras;
use common::TestSite;
use futures_lite::future::zip;
use turnford_standin::FaultKind;

fn with_id(id: &str) -> RequestExtras<'_> {
    RequestExtras {
        id: Some(id),
        ..RequestExtras::default()
    }
}

#[test]
fn same_id() {
    let site = TestSite::start(2);
    let first = async_io::block_on(site.post(0, "reserve", "mark:s hold", with_id("a")));
    assert_eq!((first.code(), first.ran()), (0, "yes"));
    // The end of the claim is written with the next batch; until then the id counts as running.
    let mut codes = Vec::new();
    async_io::block_on(async {
        while codes.last() != Some(&2) {
            assert!(
                codes.len() < 500,
                "the answer is never given again: {codes:?}"
            );
            let again = site.post(0, "reserve", "mark:s hold", with_id("a")).await;
            assert!(again.ran() != "no", "a used id was called not run");
            codes.push(again.code());
            if again.code() == 2 {
                assert_eq!(again.body["output"], first.body["output"]);
            }
        }
        // Another node reads from the claim that the request ran, but has no copy of the answer.
        let other = site.post(1, "reserve", "mark:s hold", with_id("a")).await;
        assert_eq!((other.code(), other.ran()), (132, "yes"));
    });
    assert_eq!(site.runs("booking", "mark:s").len(), 1);
    // Request ids are scoped to the account.
    let path = "/v1/pipelines/reserve";
    let two = site.post_as(1, path, "key-two", "mark:t hold", with_id("a"));
    let two = async_io::block_on(two).expect("the node answers");
    assert_eq!((two.code(), site.runs("booking", "mark:t").len()), (0, 1));
    site.stop();
}

#[test]
fn racing_nodes() {
    let site = TestSite::start(2);
    for round in 0..10 {
        let (mark, id) = (format!("mark:r{round}"), format!("race-{round}"));
        let text = format!("{mark} hold");
        let left = site.post(0, "reserve", &text, with_id(&id));
        let right = site.post(1, "reserve", &text, with_id(&id));
        let (left, right) = async_io::block_on(zip(left, right));
        let done = [&left, &right]
            .iter()
            .filter(|answer| answer.code() == 0)
            .count();
        assert_eq!(done, 1, "{left:?} {right:?}");
        assert_eq!(site.runs("booking", &mark).len(), 1);
    }
    site.stop();
}

#[test]
fn platform_away() {
    let site = TestSite::start(2);
    site.fault(FaultKind::Outage, "platform", Duration::from_secs(600), 1.0);
    let refused = async_io::block_on(site.post(0, "reserve", "mark:away hold", with_id("b")));
    assert_eq!(
        (refused.code(), refused.ran(), refused.status),
        (130, "no", 503)
    );
    assert!(refused.body["retry_after_ms"]
        .as_u64()
        .is_some_and(|duration| duration > 0));
    assert!(
        site.runs("post", "mark:away").is_empty(),
        "a stage ran before the claim"
    );
    // Requests without a claim are still served.
    let chat =
        async_io::block_on(site.post(0, "chat", "mark:chat hello", RequestExtras::default()));
    assert_eq!(chat.code(), 0);
    site.stop();
}

#[test]
fn lost_answers() {
    // Every write takes effect, but all responses are lost; nodes find their claims by reading back.
    let site = TestSite::start(2);
    site.fault(
        FaultKind::LoseAnswers,
        "platform",
        Duration::from_secs(600),
        1.0,
    );
    for round in 0..3 {
        let (mark, id) = (format!("mark:l{round}"), format!("lost-{round}"));
        let text = format!("{mark} hold");
        let left = site.post(0, "reserve", &text, with_id(&id));
        let right = site.post(1, "reserve", &text, with_id(&id));
        let (left, right) = async_io::block_on(zip(left, right));
        let runs = site.runs("booking", &mark).len();
        assert!(runs <= 1, "{left:?} {right:?}");
        let done = [&left, &right]
            .iter()
            .filter(|answer| answer.code() == 0)
            .count();
        assert_eq!(done, runs, "{left:?} {right:?}");
    }
    site.stop();
}

#[test]
fn refused_call() {
    // The target rejects the call before it starts, so the stage didn't run.
    let site = TestSite::start(1);
    site.fault(FaultKind::Leave, "booking", Duration::from_secs(60), 1.0);
    let refused = async_io::block_on(site.post(0, "reserve", "mark:f hold", with_id("c")));
    assert!(matches!(refused.code(), 122 | 123), "{refused:?}");
    assert!(site.runs("booking", "mark:f").is_empty());
    site.stop();
}

#[test]
fn unknown_end() {
    // The target dies while it runs the call: the outcome is unknown, and the id stays used.
    let site = TestSite::start(1);
    // The call takes about two seconds.
    site.fault(FaultKind::Slow, "booking", Duration::from_secs(60), 400.0);
    let killed = async {
        async_io::Timer::after(Duration::from_millis(1000)).await;
        site.fault(FaultKind::Die, "booking", Duration::from_secs(60), 1.0);
    };
    let post = site.post(0, "reserve", "mark:u hold", with_id("d"));
    let (answer, ()) = async_io::block_on(zip(post, killed));
    assert_eq!((answer.code(), answer.ran()), (300, "yes"), "{answer:?}");
    async_io::block_on(async {
        wait_until("the end is noted", || {
            let again = site.post(0, "reserve", "mark:u hold", with_id("d"));
            async_io::block_on(again).code() == 133
        })
        .await;
    });
    assert!(site.runs("booking", "mark:u").len() <= 1);
    site.stop();
}
