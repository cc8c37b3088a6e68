//! Models that requests need are loaded onto targets.

mod common;

use common::wait_until;
use common::RequestExtras;
use common::TestSite;

/// Returns the number of targets that have a model, according to a node's status.
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
    let first = async_io::block_on(site.post(0, "letter", "mark:m hej", RequestExtras::default()));
    assert_eq!((first.code(), first.ran()), (123, "no"), "{first:?}");
    assert!(first.body["retry_after_ms"].as_u64().is_some());
    // Clients retry until a target has loaded the model.
    async_io::block_on(wait_until("the model is loaded", || {
        let again = site.post(0, "letter", "mark:n hej", RequestExtras::default());
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
