//! Models are loaded where requests ask for them.

mod common;

use common::wait_until;
use common::Extras;
use common::TestSite;

/// Returns the targets of the service that have a model, as a node sees them.
fn holders(site: &TestSite, model: &str) -> usize {
    let status = async_io::block_on(site.status(0));
    let targets = status["services"]["skriver"]["targets"]
        .as_array()
        .cloned()
        .unwrap_or_default();
    let has = |target: &&serde_json::Value| {
        let models = target["models"].as_array().cloned().unwrap_or_default();
        models.iter().any(|present| present == model)
    };
    targets.iter().filter(has).count()
}

#[test]
fn missing_model() {
    let site = TestSite::start(2);
    let first = async_io::block_on(site.post(0, "letter", "mark:m hej", Extras::default()));
    assert_eq!((first.code(), first.ran()), (123, "no"), "{first:?}");
    assert!(first.body["retry_after_ms"].as_u64().is_some());
    // The callers come back, and a target gets the model.
    async_io::block_on(wait_until("the model is loaded", || {
        let again = site.post(0, "letter", "mark:n hej", Extras::default());
        async_io::block_on(again).code() == 0
    }));
    assert!(holders(&site, "norsk") >= 1);
    assert_eq!(
        holders(&site, "dansk"),
        4,
        "the other model was dropped without need"
    );
    site.stop();
}
