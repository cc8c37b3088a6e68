//! Guards against answers that promise that a request did not run although a target ran it, and against
//! answers that call it run although no target did.

mod common;

use std::fmt::Write;
use std::time::Duration;

use async_executor::LocalExecutor;
use common::Answer;
use common::RequestExtras;
use common::TestSite;
use futures_lite::future::zip;
use turnford_standin::AnswerEnd;
use turnford_standin::FaultKind;
use turnford_standin::ScriptedAnswer;

/// Statuses by which clients take a request for one that was not run.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

const STATUSES: [u16; 9] = [200, 400, 408, 409, 421, 429, 500, 503, 504];

const ENDS: [AnswerEnd; 3] = [AnswerEnd::Complete, AnswerEnd::Truncated, AnswerEnd::Silent];

/// Shorter than the calls' timeouts elsewhere, so that silent targets are waited for only briefly.
const DEADLINE_MS: u64 = 1000;

const SCENARIO: &str = r#"
name = "test"
seed = 1
region = "dk-vest"
halls = ["hal-a"]
hall_delay_ms = 0.5
report_lag_ms = 100
list_lag_ms = 100
full_rate = 10.0
traffic = []
"#;

/// A stage: its service, whether it may be repeated, and what each of the service's targets answers; its own
/// answers if the list is empty.
type StageRow = (&'static str, bool, Vec<ScriptedAnswer>);

/// A pipeline of stages.
type PipelineRow = Vec<StageRow>;

/// What became of a row's request.
struct RowEnd {
    answer: Answer,
    runs: usize,
    /// Runs of stages that may not be repeated.
    unique_runs: usize,
    calls: u32,
}

fn answer(status: u16, is_refusal: bool, runs: bool) -> ScriptedAnswer {
    ScriptedAnswer {
        status,
        is_refusal,
        runs,
        end: AnswerEnd::Complete,
    }
}

fn refusal() -> ScriptedAnswer {
    answer(503, true, false)
}

fn service_name(row: usize, stage: usize) -> String {
    format!("s{row}x{stage}")
}

/// Starts a site in which each stage has a service of its own, so that the rows do not affect each other.
fn start_site(rows: &[PipelineRow]) -> TestSite {
    let mut scenario = SCENARIO.to_owned();
    let hash = turnford_config::hash_api_key("key-one");
    let mut account = format!(
        "name = \"one\"\nkey_sha256 = \"{hash}\"\nclass = 1\nrate = 1000.0\n\
         concurrency = 500\nmax_input_bytes = 2000\n"
    );
    let mut texts = Vec::new();
    for (row, stages) in rows.iter().enumerate() {
        let mut template = format!("name = \"t{row}\"\ndeadline_ms = 10000\nstages = [\n");
        for (stage, (kind, repeatable, answers)) in stages.iter().enumerate() {
            let service = service_name(row, stage);
            let count = answers.len().max(1);
            writeln!(
                scenario,
                "[[services]]\nname = \"{service}\"\ncount = {count}\nslots = 8\nbase_ms = 2.0\n\
                 hardware = [{{ name = \"plain\", slowness = 1.0, cost = 1.0 }}]"
            )
            .expect("written");
            writeln!(
                template,
                "{{ name = \"n{stage}\", service = \"{service}\", kind = \"{kind}\", \
                 repeatable = {repeatable} }},"
            )
            .expect("written");
        }
        template.push_str("]\n");
        texts.push(template);
        writeln!(account, "[templates.t{row}]").expect("written");
    }
    texts.push(account);
    let site = TestSite::start_with(1, &scenario, texts);
    for (row, stages) in rows.iter().enumerate() {
        for (stage, (_, _, answers)) in stages.iter().enumerate() {
            for (number, answer) in answers.iter().enumerate() {
                let target = format!("{}-{number}", service_name(row, stage));
                site.site.standins.faults.script().set(&target, *answer);
            }
        }
    }
    site
}

/// Sends one request for each row, and returns their ends.
fn play(rows: &[PipelineRow]) -> Vec<RowEnd> {
    let site = start_site(rows);
    let extras = RequestExtras {
        deadline_ms: Some(DEADLINE_MS),
        ..RequestExtras::default()
    };
    let executor = LocalExecutor::new();
    // Together, as silent targets end their requests only at the deadline.
    let requests = rows.iter().enumerate().map(|(row, stages)| {
        let site = &site;
        executor.spawn(async move {
            let text = format!("mark:r{row} text");
            let answer = site.post(0, &format!("t{row}"), &text, extras).await;
            row_end(site, row, stages, answer)
        })
    });
    let requests: Vec<_> = requests.collect();
    let ends = async_io::block_on(executor.run(async {
        let mut ends = Vec::new();
        for request in requests {
            ends.push(request.await);
        }
        ends
    }));
    drop(executor);
    site.stop();
    ends
}

fn row_end(site: &TestSite, row: usize, stages: &PipelineRow, answer: Answer) -> RowEnd {
    let mut end = RowEnd {
        answer,
        runs: 0,
        unique_runs: 0,
        calls: 0,
    };
    let script = site.site.standins.faults.script();
    let entries = site.site.standins.journal.entries();
    for (stage, (_, repeatable, answers)) in stages.iter().enumerate() {
        let service = service_name(row, stage);
        let runs = entries.iter().filter(|entry| entry.service == service);
        let runs = runs.count();
        end.runs += runs;
        end.unique_runs += if *repeatable { 0 } else { runs };
        for number in 0..answers.len() {
            end.calls += script.count(&format!("{service}-{number}"));
        }
    }
    end
}

/// Returns what is wrong with a row's end.
fn fault_of(end: &RowEnd) -> Option<&'static str> {
    let ran = end.answer.ran();
    let code = end.answer.code();
    if ran == "no" && end.runs > 0 {
        return Some("called not run");
    }
    if ran != "no" && PROMISES.contains(&end.answer.status) {
        return Some("refused by its status");
    }
    if ran == "yes" && end.runs == 0 {
        return Some("called run");
    }
    if end.unique_runs > 1 {
        return Some("ran twice");
    }
    let has_word = ["yes", "no", "unknown"].contains(&ran) && code != u64::MAX;
    (!has_word).then_some("no outcome")
}

fn assert_sound(rows: &[PipelineRow]) {
    let ends = play(rows);
    assert_eq!(ends.len(), rows.len());
    let mut faults = Vec::new();
    for (row, end) in rows.iter().zip(&ends) {
        let scripted = row.iter().any(|(_, _, answers)| !answers.is_empty());
        assert!(
            !scripted || end.calls > 0,
            "no call for {row:?}: {:?}",
            end.answer
        );
        if let Some(fault) = fault_of(end) {
            let answer = &end.answer;
            let (code, ran, status) = (answer.code(), answer.ran(), answer.status);
            let (runs, shown) = (end.runs, format!("{code} {ran} {status}"));
            faults.push(format!("{fault}: {shown}, {runs} runs: {row:?}"));
        }
    }
    let (count, total) = (faults.len(), rows.len());
    assert!(
        faults.is_empty(),
        "{count} of {total}:\n{}",
        faults.join("\n")
    );
}

/// Every status of a target, marked as a refusal or not, complete or not, for both kinds of stages. Only the
/// status and mark of the protocol come from targets that did not run the call.
#[test]
fn single_stages() {
    let mut rows = Vec::new();
    for status in STATUSES {
        for is_refusal in [false, true] {
            for end in ENDS {
                for repeatable in [false, true] {
                    let runs = !(is_refusal && status == 503);
                    let answer = ScriptedAnswer {
                        status,
                        is_refusal,
                        runs,
                        end,
                    };
                    rows.push(vec![("call", repeatable, vec![answer])]);
                }
            }
        }
    }
    assert_sound(&rows);
}

/// Statuses of something before the target, which did not run the call.
#[test]
fn foreign_statuses() {
    let rows: Vec<PipelineRow> = STATUSES[1..]
        .iter()
        .flat_map(|status| [false, true].map(|repeatable| (*status, repeatable)))
        .map(|(status, repeatable)| vec![("call", repeatable, vec![answer(status, false, false)])])
        .collect();
    assert_sound(&rows);
}

/// A stage that may have run at one target is refused by the other one.
#[test]
fn refused_retries() {
    let mut rows = Vec::new();
    for status in STATUSES {
        for end in ENDS {
            let first = ScriptedAnswer {
                status,
                is_refusal: false,
                runs: true,
                end,
            };
            // The order of the targets is not fixed.
            rows.push(vec![("call", true, vec![first, refusal()])]);
            rows.push(vec![("call", true, vec![refusal(), first])]);
            rows.push(vec![("call", false, vec![first, refusal()])]);
        }
    }
    assert_sound(&rows);
}

/// A stage ran before a later one is refused.
#[test]
fn later_stages() {
    let mut rows = Vec::new();
    for earlier in [false, true] {
        for later in [false, true] {
            rows.push(vec![
                ("call", earlier, Vec::new()),
                ("call", later, vec![refusal()]),
            ]);
        }
    }
    assert_sound(&rows);
}

/// A stream breaks after its first tokens, and no target takes its rest.
#[test]
fn broken_streams() {
    let service = "[[services]]\nname = \"engine\"\ncount = 2\nslots = 8\nbase_ms = 2.0\n\
                   per_token_ms = 50.0\n\
                   hardware = [{ name = \"plain\", slowness = 1.0, cost = 1.0 }]\n";
    let template = "name = \"tell\"\ndeadline_ms = 10000\n\
                    stages = [{ name = \"tell\", service = \"engine\", kind = \"generate\" }]\n";
    let hash = turnford_config::hash_api_key("key-one");
    let account = format!(
        "name = \"one\"\nkey_sha256 = \"{hash}\"\nclass = 1\nrate = 1000.0\nconcurrency = 500\n\
         max_input_bytes = 2000\n[templates.tell]\nmax_tokens = 40\n"
    );
    let scenario = format!("{SCENARIO}{service}");
    let site = TestSite::start_with(1, &scenario, [template.to_owned(), account]);
    let breaks = async {
        async_io::Timer::after(Duration::from_millis(500)).await;
        for kind in [FaultKind::Leave, FaultKind::Error] {
            site.fault(kind, "engine", Duration::from_secs(60), 1.0);
        }
    };
    let post = site.post(0, "tell", "mark:b text", RequestExtras::default());
    let (answer, ()) = async_io::block_on(zip(post, breaks));
    assert_eq!(site.runs("engine", "mark:b").len(), 1);
    let end = (answer.code(), answer.ran(), answer.status);
    assert_eq!(end, (202, "yes", 502), "{answer:?}");
    site.stop();
}

/// A refusal is promised where it is known, and its request may be sent again.
#[test]
fn known_refusals() {
    let rows: Vec<PipelineRow> = [false, true]
        .map(|repeatable| vec![("call", repeatable, vec![refusal()])])
        .into();
    for end in play(&rows) {
        assert_eq!(
            (end.answer.ran(), end.answer.status, end.runs),
            ("no", 503, 0)
        );
    }
}
