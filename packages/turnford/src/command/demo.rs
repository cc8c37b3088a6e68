//! `turnford demo`: runs both associations and the platform's routes in one process.

use std::net::SocketAddr;
use std::time::Duration;

use http::Method;
use serde_json::Value;
use turnford_http::HttpClient;
use turnford_node::NodeOptions;
use turnford_standin::start_threads;
use turnford_standin::Scenario;
use turnford_standin::SharedExecutor;

use super::routes::show_routes;
use crate::exit::ExitStatus;
use crate::site::LocalSite;
use crate::site::SiteFile;

/// Threads that run the stand-ins.
const THREADS: usize = 2;

/// Nodes of each association.
const NODE_COUNT: usize = 3;

/// Time-out of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Embeds a file in the program, so that the demo runs in any directory.
macro_rules! site_file {
    ($path:literal) => {
        (
            $path,
            include_str!(concat!("../../../../scenarios/", $path)),
        )
    };
}

/// Files and requests of one association.
struct DemoSite {
    scenario: &'static str,
    files: &'static [(&'static str, &'static str)],
    requests: &'static [(&'static str, &'static str, &'static str)],
}

const LEJRNET: DemoSite = DemoSite {
    scenario: include_str!("../../../../scenarios/lejrnet.toml"),
    files: &[
        site_file!("lejrnet/templates/chat.toml"),
        site_file!("lejrnet/templates/draft.toml"),
        site_file!("lejrnet/templates/reserve.toml"),
        site_file!("lejrnet/accounts/bornholm.toml"),
        site_file!("lejrnet/accounts/fyn.toml"),
        site_file!("lejrnet/accounts/moen.toml"),
        site_file!("lejrnet/accounts/skagen.toml"),
        site_file!("lejrnet/accounts/vesterhav.toml"),
    ],
    requests: &[
        (
            "skagen",
            "chat",
            "Is there a pitch by the sea for two tents in July?",
        ),
        (
            "bornholm",
            "draft",
            "Reply to the owner: the season rules allow dogs until May.",
        ),
        (
            "fyn",
            "reserve",
            "Hold pitch 14 from 3 to 9 July for the family Holm.",
        ),
    ],
};

const THUMBNAIL: DemoSite = DemoSite {
    scenario: include_str!("../../../../scenarios/thumbnail.toml"),
    files: &[
        site_file!("thumbnail/templates/overlay.toml"),
        site_file!("thumbnail/templates/package.toml"),
        site_file!("thumbnail/templates/titles.toml"),
        site_file!("thumbnail/accounts/awash.toml"),
        site_file!("thumbnail/accounts/axum.toml"),
        site_file!("thumbnail/accounts/lalibela.toml"),
        site_file!("thumbnail/accounts/sheba.toml"),
        site_file!("thumbnail/accounts/tana.toml"),
    ],
    requests: &[
        (
            "awash",
            "titles",
            "Brief: coffee ceremony in three minutes, warm and calm.",
        ),
        (
            "lalibela",
            "overlay",
            "Caption: the rock churches at dawn. Frames 12 to 40.",
        ),
        (
            "tana",
            "package",
            "Brand kit: blue and gold. Package for the lake series.",
        ),
    ],
};

/// Runs both associations and the routes, and prints a request for each template and route.
pub(super) fn run_demo() -> ExitStatus {
    let executor = start_threads("standin", THREADS);
    let mut failed = false;
    for site in [&LEJRNET, &THUMBNAIL] {
        if let Err(message) = async_io::block_on(show_site(site, &executor)) {
            eprintln!("{message}");
            failed = true;
        }
    }
    if let Err(message) = async_io::block_on(show_routes(&executor)) {
        eprintln!("{message}");
        failed = true;
    }
    if failed {
        return ExitStatus::Failed;
    }
    ExitStatus::Success
}

async fn show_site(site: &DemoSite, executor: &SharedExecutor) -> Result<(), String> {
    let scenario = Scenario::parse(site.scenario)?;
    let files: Vec<SiteFile> = site
        .files
        .iter()
        .map(|(name, text)| SiteFile {
            name: (*name).to_owned(),
            text: (*text).to_owned(),
        })
        .collect();
    let options = NodeOptions::default();
    let running = LocalSite::start(&scenario, &files, NODE_COUNT, &options, executor).await?;
    println!(
        "{}: {NODE_COUNT} nodes, {} targets",
        scenario.name,
        running.standins.entries.len()
    );
    let client = HttpClient::new();
    let addresses = running.addresses();
    for (number, request) in site.requests.iter().enumerate() {
        let address = addresses[number % addresses.len()];
        show_request(&client, address, number, request).await?;
    }
    for node in running.nodes {
        let unfinished = node.drain().await;
        node.stop();
        if unfinished > 0 {
            return Err(format!(
                "{unfinished} requests were cut off by the planned stop"
            ));
        }
    }
    Ok(())
}

async fn show_request(
    client: &HttpClient,
    address: SocketAddr,
    number: usize,
    (account, template, text): &(&str, &str, &str),
) -> Result<(), String> {
    let path = format!("/v1/pipelines/{template}");
    let request = HttpClient::request(Method::POST, address, &path);
    let mut request = request.map_err(|error| error.to_string())?;
    request.insert_header("authorization", format!("Bearer key-{account}"));
    request.insert_header("turnford-request-id", format!("demo-{number}"));
    request.set_body(format!("mark:demo-{number} {text}"));
    let response = client.send(address, request, REQUEST_TIMEOUT).await;
    let response = response.map_err(|error| format!("{template}: {error}"))?;
    let value: Value =
        serde_json::from_slice(&response.body).map_err(|error| format!("{template}: {error}"))?;
    println!("  {account} asks {template}: {text}");
    for stage in value["stages"].as_array().into_iter().flatten() {
        println!(
            "    {:9} at {:11} waited {:6.1} ms, ran {:7.1} ms, {} tokens",
            stage["stage"].as_str().unwrap_or(""),
            stage["target"].as_str().unwrap_or(""),
            stage["wait_ms"].as_f64().unwrap_or(0.0),
            stage["run_ms"].as_f64().unwrap_or(0.0),
            stage["tokens"],
        );
    }
    let output: String = value["output"]
        .as_str()
        .unwrap_or("")
        .chars()
        .take(70)
        .collect();
    println!(
        "    code {} ({}), answer: {output}",
        value["code"], value["name"]
    );
    if response.status != 200 {
        return Err(format!("{template}: {}", value["message"]));
    }
    Ok(())
}
