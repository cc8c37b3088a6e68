//! Guards against refusals of other attempts that count as proof that a call did not run.

mod common;

use common::call;
use common::serve_once;
use turnford_policy::AttemptEvidence;
use turnford_target::TargetClient;
use turnford_target::TargetError;

fn refusal(attempt: Option<&str>) -> String {
    let attempt = attempt.map_or(String::new(), |attempt| {
        format!("\"attempt\":\"{attempt}\",")
    });
    let body = format!("{{{attempt}\"refused\":\"full\"}}");
    let length = body.len();
    format!("HTTP/1.1 503 -\r\ncontent-length: {length}\r\n\r\n{body}")
}

fn errors(response: &str) -> [TargetError; 2] {
    let (call, _) = call();
    let client = TargetClient::new();
    async_io::block_on(async {
        let run = client.run(serve_once(response.to_owned()), &call).await;
        let address = serve_once(response.to_owned());
        let stream = client.stream(address, &call).await;
        [
            run.expect_err("a refusal"),
            stream.map(|_| ()).expect_err("a refusal"),
        ]
    })
}

#[test]
fn own_refusal() {
    let (call, _) = call();
    let own = call.attempt.to_string();
    assert_eq!(errors(&refusal(Some(&own))), [TargetError::Full; 2]);
}

#[test]
fn other_refusal() {
    let (_, other) = call();
    for attempt in [Some(other.to_string()), None] {
        for error in errors(&refusal(attempt.as_deref())) {
            assert_eq!(error.evidence(), AttemptEvidence::Unknown, "{attempt:?}");
        }
    }
}
