//! Settings of a node that serves routes, and the errors reported for invalid ones.

use std::time::Duration;

use turnford_config::ConfigError;
use turnford_config::ServeSettings;

/// Renders the deployment's settings template the way the platform does.
fn rendered() -> String {
    let template = include_str!("../../../deploy/node.toml");
    let placeholders = [
        ("{{node_name}}", "front-hal-a-1"),
        ("{{zone}}", "hal-a"),
        ("{{region}}", "dk-vest"),
        ("{{listen_addresses.front}}", "10.1.0.41:8625"),
        ("{{listen_addresses.ready}}", "10.1.0.41:8621"),
        ("{{listen_addresses.control}}", "10.1.0.41:8628"),
        ("{{ip_address}}", "10.1.0.41"),
        ("{{internal_port_range.0}}", "7740"),
        ("{{internal_port_range.1}}", "7755"),
        ("{{platform.address}}", "10.200.1.7:8624"),
        (
            "{{seed_nodes|json}}",
            "[\"10.1.0.41:8628\", \"10.2.0.25:8628\"]",
        ),
        ("{{first_start|json}}", "true"),
        ("{{bounds.grace_s}}", "8"),
        ("{{bounds.budget_window_s}}", "10"),
        ("{{bounds.retry_budget_ratio}}", "0.2"),
        ("{{bounds.retry_budget_slack}}", "52"),
    ];
    let mut text = template.to_owned();
    for (placeholder, value) in placeholders {
        text = text.replace(placeholder, value);
    }
    assert!(!text.contains("{{"), "a placeholder is left: {text}");
    text
}

fn errors(text: &str) -> Vec<String> {
    let errors = ServeSettings::parse("node.toml", text).expect_err("errors");
    errors.iter().map(ConfigError::to_string).collect()
}

#[test]
fn deploy_template() {
    let settings = ServeSettings::parse("node.toml", &rendered()).expect("settings");
    assert_eq!(&*settings.name, "front-hal-a-1");
    assert_eq!(settings.work.port(), 7740);
    assert_eq!(settings.peers.len(), 2);
    assert!(settings.is_first_start);
    assert_eq!(settings.stop_grace, Duration::from_secs(8));
    assert_eq!(settings.retries.slack, 52.0);
    assert!(ServeSettings::is_serve_settings(&rendered()));
}

#[test]
fn every_error() {
    let text = rendered()
        .replace("10.1.0.41:8625", "here")
        .replace("ratio = 0.2", "ratio = \"some\"")
        .replace("hall = \"hal-a\"", "hal = \"hal-a\"");
    let errors = errors(&text);
    assert_eq!(errors.len(), 4, "{errors:#?}");
    for (field, error) in ["hall", "hal", "listen", "repeats.ratio"]
        .iter()
        .zip(&errors)
    {
        assert!(error.contains(field), "{field}: {error}");
    }
}

#[test]
fn translated_targets() {
    let table = "\n[target_addresses]\n\"10.1.64.9:8080\" = \"192.0.2.1:9001\"\n";
    let settings = ServeSettings::parse("node.toml", &(rendered() + table)).expect("settings");
    let listed = |text: &str| text.parse().expect("an address");
    let translated = settings.target_address(listed("10.1.64.9:8080"));
    assert_eq!(translated, listed("192.0.2.1:9001"));
    let other = settings.target_address(listed("10.1.64.10:8080"));
    assert_eq!(other, listed("10.1.64.10:8080"));
    let invalid = rendered() + "\n[target_addresses]\nhere = \"there\"\n";
    assert_eq!(errors(&invalid).len(), 2);
}
