//! Measures the latency that a node adds to each stage, and the throughput of one node.
//!
//! `cargo run --release -p turnford --example overhead` alternates between direct calls of a stand-in
//! and calls through a node in one run; the stand-in itself takes 2 ms per call.

use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use http::Method;
use serde_json::json;
use turnford::LocalSite;
use turnford::SiteFile;
use turnford_http::HttpClient;
use turnford_node::NodeOptions;
use turnford_standin::start_threads;
use turnford_standin::Scenario;

const STAGES: usize = 4;
const PAIRS: usize = 2_000;
const TIMEOUT: Duration = Duration::from_secs(10);
const CALLERS: usize = 64;
const CLAIMERS: usize = 400;
const DURATION: Duration = Duration::from_secs(5);

fn scenario(base_ms: f64) -> Scenario {
    let services = ["a", "b", "c", "d"].map(|name| {
        format!(
            "[[services]]\nname = \"{name}\"\ncount = 4\nslots = 64\nbase_ms = {base_ms}\n\
             hardware = [{{ name = \"plain\", slowness = 1.0, cost = 1.0 }}]\n"
        )
    });
    let text = format!(
        "name = \"bench\"\nseed = 1\nregion = \"r\"\nhalls = [\"h\"]\nhall_delay_ms = 0.0\n\
         report_lag_ms = 100\nlist_lag_ms = 100\nfull_rate = 1.0\ntraffic = []\n{}",
        services.concat()
    );
    Scenario::parse(&text).expect("the scenario is valid")
}

fn files() -> Vec<SiteFile> {
    let stages = ["a", "b", "c", "d"].map(|name| {
        format!("[[stages]]\nname = \"{name}\"\nservice = \"{name}\"\nkind = \"encode\"\n")
    });
    let template = format!("name = \"four\"\ndeadline_ms = 10000\n{}", stages.concat());
    let hash = turnford_config::hash_api_key("key");
    let account = format!(
        "name = \"one\"\nkey_sha256 = \"{hash}\"\nclass = 0\nrate = 1000000\n\
         concurrency = 100000\n[templates.four]\n[templates.once]\n"
    );
    let once = "name = \"once\"\ndeadline_ms = 10000\n[[stages]]\nname = \"d\"\nservice = \"d\"\n\
                kind = \"call\"\nrepeatable = false\n"
        .to_owned();
    [template, once, account]
        .into_iter()
        .map(|text| SiteFile {
            name: "bench".to_owned(),
            text,
        })
        .collect()
}

/// Posts to a pipeline and returns the time until the complete response.
async fn post(
    client: &HttpClient,
    node: SocketAddr,
    template: &str,
    id: Option<String>,
) -> Duration {
    let path = format!("/v1/pipelines/{template}");
    let request = HttpClient::request(Method::POST, node, &path);
    let mut request = request.expect("the address makes a URL");
    request.insert_header("authorization", "Bearer key");
    if let Some(id) = id {
        request.insert_header("turnford-request-id", id);
    }
    request.set_body("mark:bench hello");
    let started_at = Instant::now();
    let answer = client
        .send(node, request, TIMEOUT)
        .await
        .expect("the node answers");
    assert_eq!(
        answer.status,
        200,
        "{}",
        String::from_utf8_lossy(&answer.body)
    );
    started_at.elapsed()
}

async fn send_through_node(client: &HttpClient, node: SocketAddr) -> Duration {
    post(client, node, "four", None).await
}

async fn send_direct(client: &HttpClient, targets: &[SocketAddr]) -> Duration {
    let started_at = Instant::now();
    for target in targets {
        let request = HttpClient::request(Method::POST, *target, "/run");
        let mut request = request.expect("the address makes a URL");
        let body = json!({ "attempt": "1-1-0-0", "input": "mark:bench hello", "max_tokens": 0,
            "resume_from": 0, "stream": false });
        request.set_body(body.to_string());
        let answer = client
            .send(*target, request, TIMEOUT)
            .await
            .expect("the target answers");
        assert_eq!(answer.status, 200);
    }
    started_at.elapsed()
}

fn quantile(sorted: &[f64], part: f64) -> f64 {
    sorted[((sorted.len() - 1) as f64 * part) as usize]
}

/// Alternates direct call chains and requests through the node; prints the difference per stage.
async fn measure_added(site: &LocalSite, load: &str) {
    let client = HttpClient::new();
    let node = site.addresses()[0];
    let first_of = |name: &str| {
        let entry = site
            .standins
            .entries
            .iter()
            .find(|entry| entry.service == name);
        entry.expect("each service has targets").address
    };
    let targets: Vec<SocketAddr> = ["a", "b", "c", "d"]
        .iter()
        .map(|name| first_of(name))
        .collect();
    let (mut direct_ms, mut node_ms) = (Vec::new(), Vec::new());
    for _ in 0..PAIRS {
        direct_ms.push(send_direct(&client, &targets).await.as_secs_f64() * 1000.0 / STAGES as f64);
        node_ms.push(send_through_node(&client, node).await.as_secs_f64() * 1000.0 / STAGES as f64);
    }
    direct_ms.sort_by(f64::total_cmp);
    node_ms.sort_by(f64::total_cmp);
    for part in [0.5, 0.99] {
        let (left, right) = (quantile(&direct_ms, part), quantile(&node_ms, part));
        println!(
            "{load}: a stage at {part}: direct {left:.3} ms, through the node {right:.3} ms, \
             added {:.3} ms",
            right - left
        );
    }
}

/// Loads the node with a closed loop of callers; returns the rate in requests per second.
async fn measure_rate(site: &LocalSite, callers: usize, duration: Duration) -> f64 {
    let executor = start_threads("callers", 2);
    let client = Arc::new(HttpClient::new());
    let count = Arc::new(AtomicU64::new(0));
    let node = site.addresses()[0];
    let started_at = Instant::now();
    let tasks: Vec<_> = (0..callers)
        .map(|_| {
            let (client, count) = (client.clone(), count.clone());
            executor.spawn(async move {
                while started_at.elapsed() < duration {
                    send_through_node(&client, node).await;
                    count.fetch_add(1, Ordering::Relaxed);
                }
            })
        })
        .collect();
    for task in tasks {
        task.await;
    }
    count.load(Ordering::Relaxed) as f64 / started_at.elapsed().as_secs_f64()
}

/// Returns the number of writes that the node has made to the platform.
async fn read_write_count(client: &HttpClient, node: SocketAddr) -> f64 {
    let request = HttpClient::request(Method::GET, node, "/metrics").expect("a URL");
    let answer = client
        .send(node, request, TIMEOUT)
        .await
        .expect("the node answers");
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let line = text
        .lines()
        .find(|line| line.starts_with("turnford_platform_writes "));
    let value = line
        .and_then(|line| line.rsplit(' ').next())
        .and_then(|value| value.parse().ok());
    value.expect("the metric is there")
}

/// Sends a request with a non-repeatable stage, with or without a request id.
async fn call_once(client: &HttpClient, node: SocketAddr, id: Option<String>) -> Duration {
    post(client, node, "once", id).await
}

/// Measures the latency that a claim adds, and the rates of claimed requests and platform writes.
async fn measure_claims(site: &LocalSite) {
    let client = Arc::new(HttpClient::new());
    let node = site.addresses()[0];
    let (mut with, mut without) = (Vec::new(), Vec::new());
    for number in 0..200 {
        let id = Some(format!("one-{number}"));
        with.push(call_once(&client, node, id).await.as_secs_f64() * 1000.0);
        without.push(call_once(&client, node, None).await.as_secs_f64() * 1000.0);
    }
    with.sort_by(f64::total_cmp);
    without.sort_by(f64::total_cmp);
    println!(
        "a claim adds {:.1} ms at 0.5 and {:.1} ms at 0.99, alone",
        quantile(&with, 0.5) - quantile(&without, 0.5),
        quantile(&with, 0.99) - quantile(&without, 0.99)
    );
    let executor = start_threads("claimers", 2);
    let count = Arc::new(AtomicU64::new(0));
    let before = read_write_count(&client, node).await;
    let started_at = Instant::now();
    let tasks: Vec<_> = (0..CLAIMERS)
        .map(|caller| {
            let (client, count) = (client.clone(), count.clone());
            executor.spawn(async move {
                let mut number = 0;
                while started_at.elapsed() < DURATION {
                    number += 1;
                    call_once(&client, node, Some(format!("{caller}-{number}"))).await;
                    count.fetch_add(1, Ordering::Relaxed);
                }
            })
        })
        .collect();
    for task in tasks {
        task.await;
    }
    let seconds = started_at.elapsed().as_secs_f64();
    let written = read_write_count(&client, node).await - before;
    println!(
        "{CLAIMERS} callers: {:.0} claimed requests/s with {:.1} writes/s",
        count.load(Ordering::Relaxed) as f64 / seconds,
        written / seconds
    );
}

fn main() {
    let executor = start_threads("standin", 3);
    let options = NodeOptions::default();
    async_io::block_on(async {
        let site = LocalSite::start(&scenario(2.0), &files(), 1, &options, &executor).await;
        let site = site.expect("the site starts");
        send_through_node(&HttpClient::new(), site.addresses()[0]).await;
        measure_added(&site, "alone").await;
        let fast = LocalSite::start(&scenario(0.0), &files(), 1, &options, &executor).await;
        let fast = fast.expect("the site starts");
        measure_claims(&fast).await;
        let rate = measure_rate(&fast, CALLERS, DURATION).await;
        println!(
            "one node, two traffic threads, {CALLERS} callers: {rate:.0} requests/s of 4 stages"
        );
    });
}
