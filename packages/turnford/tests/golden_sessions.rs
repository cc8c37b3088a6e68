//! Complete responses as clients see them, compared with snapshots.

mod common;

use std::time::Duration;

use common::RequestExtras;
use common::TestSite;
use serde_json::Value;
use turnford_standin::FaultKind;

/// Replaces values that differ from run to run by placeholders.
fn redact(mut value: Value) -> Value {
    if let Some(body) = value.as_object_mut() {
        if body.contains_key("trace") {
            body.insert("trace".to_owned(), Value::from("[trace]"));
        }
        if body.contains_key("retry_after_ms") {
            body.insert("retry_after_ms".to_owned(), Value::from("[span]"));
        }
        for stage in body
            .get_mut("stages")
            .and_then(Value::as_array_mut)
            .into_iter()
            .flatten()
        {
            stage["target"] = Value::from("[target]");
            stage["wait_ms"] = Value::from("[span]");
            stage["run_ms"] = Value::from("[span]");
        }
    }
    value
}

fn pretty(value: Value) -> String {
    serde_json::to_string_pretty(&redact(value)).unwrap_or_default()
}

#[test]
fn whole_request() {
    let site = TestSite::start(1);
    let answer =
        async_io::block_on(site.post(0, "chat", "mark:w1 hello", RequestExtras::default()));
    insta::assert_snapshot!(pretty(answer.body));
    let events = async_io::block_on(site.stream(0, "chat", "mark:w2 hello"));
    let lines: Vec<String> = events
        .into_iter()
        .map(|event| redact(event).to_string())
        .collect();
    insta::assert_snapshot!(lines.join("\n"));
    site.stop();
}

#[test]
fn clear_refusals() {
    let site = TestSite::start(1);
    let long = "x".repeat(3000);
    let chat = "/v1/pipelines/chat";
    let short = RequestExtras {
        deadline_ms: Some(1),
        ..RequestExtras::default()
    };
    let zero = RequestExtras {
        deadline_ms: Some(0),
        ..RequestExtras::default()
    };
    let cases = [
        (
            "/v1/pipelines/nothing",
            "key-one",
            "hello",
            RequestExtras::default(),
        ),
        (chat, "key-none", "hello", RequestExtras::default()),
        (chat, "key-one", long.as_str(), RequestExtras::default()),
        (chat, "key-one", "hello", zero),
        (chat, "key-one", "hello", short),
        ("/else", "key-one", "hello", RequestExtras::default()),
    ];
    let mut lines = Vec::new();
    for (path, key, text, extras) in cases {
        let answer = async_io::block_on(site.post_as(0, path, key, text, extras));
        let answer = answer.expect("the node answers");
        lines.push(format!("{} {}", answer.status, redact(answer.body)));
    }
    insta::assert_snapshot!(lines.join("\n"));
    assert!(
        site.site.standins.journal.entries().is_empty(),
        "a refused request ran"
    );
    site.stop();
}

#[test]
fn late_answer() {
    // The stage isn't repeatable, so the node waits for its result for a short time after the deadline.
    let site = TestSite::start(1);
    site.fault(FaultKind::Slow, "booking", Duration::from_secs(60), 80.0);
    let extras = RequestExtras {
        deadline_ms: Some(250),
        ..RequestExtras::default()
    };
    let answer = async_io::block_on(site.post(0, "reserve", "mark:late hold", extras));
    insta::assert_snapshot!(pretty(answer.body));
    site.stop();
}

#[test]
fn broken_stream() {
    // Both engines fail in the middle of the stream, so it can't be resumed.
    let site = TestSite::start(1);
    // The stream takes several seconds.
    site.fault(FaultKind::Slow, "sprog", Duration::from_secs(60), 60.0);
    let broken = async {
        async_io::Timer::after(Duration::from_millis(800)).await;
        site.fault(FaultKind::Error, "sprog", Duration::from_secs(60), 1.0);
    };
    let stream = site.stream(0, "chat", "mark:broken hello");
    let (events, ()) = async_io::block_on(futures_lite::future::zip(stream, broken));
    let last = events.last().expect("a stream has a last event");
    assert_eq!(
        (&last["code"], &last["whole"]),
        (&Value::from(202), &Value::from(false))
    );
    // The encoding stage before it did run.
    assert_eq!(last["ran"], "yes");
    site.stop();
}
