//! Whole sessions as callers see them.

mod common;

use std::time::Duration;

use common::Extras;
use common::TestSite;
use serde_json::Value;
use turnford_standin::FaultKind;

/// Replaces what differs from run to run by its kind.
fn steady(mut value: Value) -> Value {
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
    serde_json::to_string_pretty(&steady(value)).unwrap_or_default()
}

#[test]
fn whole_request() {
    let site = TestSite::start(1);
    let answer = async_io::block_on(site.post(0, "chat", "mark:w1 hello", Extras::default()));
    insta::assert_snapshot!(pretty(answer.body));
    let events = async_io::block_on(site.stream(0, "chat", "mark:w2 hello"));
    let lines: Vec<String> = events
        .into_iter()
        .map(|event| steady(event).to_string())
        .collect();
    insta::assert_snapshot!(lines.join("\n"));
    site.stop();
}

#[test]
fn clear_refusals() {
    let site = TestSite::start(1);
    let long = "x".repeat(3000);
    let chat = "/v1/pipelines/chat";
    let short = Extras {
        deadline_ms: Some(1),
        ..Extras::default()
    };
    let zero = Extras {
        deadline_ms: Some(0),
        ..Extras::default()
    };
    let cases = [
        (
            "/v1/pipelines/nothing",
            "key-one",
            "hello",
            Extras::default(),
        ),
        (chat, "key-none", "hello", Extras::default()),
        (chat, "key-one", long.as_str(), Extras::default()),
        (chat, "key-one", "hello", zero),
        (chat, "key-one", "hello", short),
        ("/else", "key-one", "hello", Extras::default()),
    ];
    let mut lines = Vec::new();
    for (path, key, text, extras) in cases {
        let answer = async_io::block_on(site.post_as(0, path, key, text, extras));
        let answer = answer.expect("the node answers");
        lines.push(format!("{} {}", answer.status, steady(answer.body)));
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
    // The payment hold may not be repeated, so its end is waited for a little beyond the deadline.
    let site = TestSite::start(1);
    site.fault(FaultKind::Slow, "booking", Duration::from_secs(60), 80.0);
    let extras = Extras {
        deadline_ms: Some(250),
        ..Extras::default()
    };
    let answer = async_io::block_on(site.post(0, "reserve", "mark:late hold", extras));
    insta::assert_snapshot!(pretty(answer.body));
    site.stop();
}

#[test]
fn broken_stream() {
    // Both engines break off in the middle, so there is nowhere to resume.
    let site = TestSite::start(1);
    // The stream takes some seconds.
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
    // The encoding before it ran for sure.
    assert_eq!(last["ran"], "yes");
    site.stop();
}
