//! Nodes whose platform is restored from a snapshot.

mod common;

use std::time::Duration;

use async_io::Timer;
use common::RequestExtras;
use common::TestSite;

/// Longer than a claim committer uses what it has read before it reads again.
const COMMITTER_REREAD_TIME: Duration = Duration::from_millis(2500);

fn with_id(id: &str) -> RequestExtras<'_> {
    RequestExtras {
        id: Some(id),
        ..RequestExtras::default()
    }
}

/// Guards against a second run of a request id whose claim is missing in the restored snapshot.
#[test]
fn lost_claim() {
    let site = TestSite::start(2);
    site.restore_after(|| {
        let first = async_io::block_on(site.post(0, "reserve", "mark:s hold", with_id("a")));
        assert_eq!((first.code(), first.ran()), (0, "yes"));
    });
    async_io::block_on(async {
        for wait in [Duration::ZERO, COMMITTER_REREAD_TIME] {
            Timer::after(wait).await;
            for node in 0..2 {
                let again = site
                    .post(node, "reserve", "mark:s hold", with_id("a"))
                    .await;
                assert_ne!(again.ran(), "no", "a used id was called not run");
            }
        }
    });
    assert_eq!(site.runs("booking", "mark:s").len(), 1);
    site.stop();
}

/// Guards against limits that no node lends after a restore, which would reject all requests.
#[test]
fn served_on() {
    let site = TestSite::start(2);
    site.restore_after(|| {
        let first =
            async_io::block_on(site.post(0, "chat", "mark:a hello", RequestExtras::default()));
        assert_eq!(first.code(), 0);
        std::thread::sleep(Duration::from_secs(2));
    });
    async_io::block_on(async {
        for _ in 0..40 {
            for node in 0..2 {
                let answer = site
                    .post(node, "chat", "mark:b hello", RequestExtras::default())
                    .await;
                assert_eq!(answer.code(), 0, "{answer:?}");
            }
            Timer::after(Duration::from_millis(300)).await;
        }
    });
    site.stop();
}
