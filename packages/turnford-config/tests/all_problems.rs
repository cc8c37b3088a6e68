//! All errors in a file are reported at once, each with its location.

use turnford_config::hash_api_key;
use turnford_config::CallKind;
use turnford_config::ClientAccount;
use turnford_config::ConfigObject;
use turnford_config::NodeSettings;
use turnford_config::ObjectKind;
use turnford_config::PipelineTemplate;

const TEMPLATE: &str = r#"
name = "chat"
deadline_ms = 4000

[[stages]]
name = "encode"
service = "post"
kind = "encode"

[[stages]]
name = "hold"
service = "booking"
kind = "call"
quantile = 0.99
"#;

fn errors<T: std::fmt::Debug>(parsed: Result<T, Vec<turnford_config::ConfigError>>) -> Vec<String> {
    let errors = parsed.expect_err("the file has errors");
    errors.iter().map(ToString::to_string).collect()
}

#[test]
fn good_template() {
    let template = PipelineTemplate::parse("chat.toml", TEMPLATE).expect("the file is valid");
    let kinds: Vec<CallKind> = template.stages.iter().map(|stage| stage.kind).collect();
    assert_eq!(kinds, [CallKind::Encode, CallKind::Call]);
    // Calls to plain services aren't repeatable by default.
    let repeatable: Vec<bool> = template
        .stages
        .iter()
        .map(|stage| stage.repeatable)
        .collect();
    assert_eq!(
        (repeatable, template.requires_claim()),
        (vec![true, false], true)
    );
}

#[test]
fn bad_template() {
    let text = r#"
name = "Chat Room"
deadline_ms = 0
colour = "red"

[[stages]]
name = "encode"
service = "post"
kind = "paint"
quantile = 1.5

[[stages]]
name = "encode"
service = 7
kind = "encode"
"#;
    let found = errors(PipelineTemplate::parse("t.toml", text));
    let expected = [
        "t.toml:2: name: found \"Chat Room\"; allowed: 1 to 64 characters of a-z, 0-9, '-' and \
         '.', no '.' first",
        "t.toml:3: deadline_ms: found 0; allowed: a whole number from 1 to 600000",
        "t.toml:4: colour: found an unknown field; allowed: one of the fields deadline_ms, name, \
         stages",
        "t.toml:9: stages[0].kind: found \"paint\"; allowed: one of encode, retrieve, rerank, \
         generate, call",
        "t.toml:10: stages[0].quantile: found 1.5; allowed: a number from 0.5 to 0.999",
        "t.toml:14: stages[1].service: found 7; allowed: a text",
    ];
    assert_eq!(found, expected);
}

#[test]
fn broken_syntax() {
    let found = errors(PipelineTemplate::parse("t.toml", "name = \nx = [1\n"));
    assert!(
        found.iter().all(|line| line.starts_with("t.toml:")),
        "{found:?}"
    );
    assert!(found[0].contains("(syntax)"), "{found:?}");
}

#[test]
fn bad_account() {
    let text = "name = \"one\"\nkey_sha256 = \"secret\"\nclass = 9\nrate = -1\n";
    let found = errors(ClientAccount::parse("a.toml", text));
    let fields: Vec<&str> = found
        .iter()
        .filter_map(|line| line.split(": ").nth(1))
        .collect();
    assert_eq!(fields, ["templates", "key_sha256", "class", "rate"]);
    assert!(
        !found.join("\n").contains("secret"),
        "a key must not be shown"
    );
}

#[test]
fn good_account() {
    let key = hash_api_key("key-one");
    let text = format!(
        "name = \"one\"\nkey_sha256 = \"{key}\"\nclass = 1\n[templates.chat]\nmax_tokens = 9\n"
    );
    let account = ClientAccount::parse("a.toml", &text).expect("the file is valid");
    assert_eq!(
        (account.class, account.templates["chat"].max_tokens),
        (1, 9)
    );
    assert_eq!(account.templates["chat"].deadline, None);
}

#[test]
fn bad_settings() {
    let text = "name = \"n\"\nlisten = \"localhost:1\"\ninner = \"127.0.0.1:2\"\npeers = [\"x\"]\n";
    let found = errors(NodeSettings::parse("n.toml", text));
    let fields: Vec<&str> = found
        .iter()
        .filter_map(|line| line.split(": ").nth(1))
        .collect();
    assert_eq!(
        fields,
        ["hall", "objects", "region", "vms", "listen", "peers[0]"]
    );
}

#[test]
fn stored_keys() {
    let object = ConfigObject::parse("chat.toml", TEMPLATE).expect("the file is valid");
    assert_eq!(object.key(), "config/template/chat");
    assert_eq!(
        ObjectKind::split_key("config/account/a"),
        Some((ObjectKind::Account, "a"))
    );
    assert_eq!(ObjectKind::split_key("config/other/a"), None);
}
