//! `turnford load`.

use std::path::Path;

use turnford_standin::draw_report;
use turnford_standin::run_load;
use turnford_standin::start_threads;
use turnford_standin::LoadReport;
use turnford_standin::LoadSettings;
use turnford_standin::Scenario;
use turnford_standin::SharedExecutor;

use crate::cli::LoadArgs;
use crate::command::node::node_options;
use crate::exit::ExitStatus;
use crate::site::read_site_files;
use crate::site::LocalSite;

/// Threads that run the stand-ins and the load clients.
const THREADS: usize = 3;

/// Runs the load and prints the report; fails if the audit found a violation.
pub(super) fn run_load_command(arguments: &LoadArgs) -> ExitStatus {
    let Some(scenario) = super::read_scenario(&arguments.scenario) else {
        return ExitStatus::Failed;
    };
    let executor = start_threads("load", THREADS);
    let report = match async_io::block_on(load(arguments, &scenario, &executor)) {
        Ok(report) => report,
        Err(message) => {
            eprintln!("{message}");
            return ExitStatus::Unavailable;
        }
    };
    println!("{report}");
    if let Err(message) = write_files(arguments, &report) {
        eprintln!("{message}");
        return ExitStatus::Failed;
    }
    if report.audit.is_clean() {
        return ExitStatus::Success;
    }
    ExitStatus::Failed
}

async fn load(
    arguments: &LoadArgs,
    scenario: &Scenario,
    executor: &SharedExecutor,
) -> Result<LoadReport, String> {
    let Some(control) = arguments.control else {
        let files = read_site_files(&arguments.scenario)?;
        let options = node_options(arguments.policy, arguments.admits);
        let count = arguments.own_nodes;
        let site = LocalSite::start(scenario, &files, count, &options, executor).await?;
        let mut settings = load_settings(arguments, scenario, site.standins.control);
        settings.nodes = site.addresses();
        return run_load(scenario, &settings, executor).await;
    };
    let mut settings = load_settings(arguments, scenario, control);
    settings.nodes = arguments.nodes.clone();
    run_load(scenario, &settings, executor).await
}

fn load_settings(
    arguments: &LoadArgs,
    scenario: &Scenario,
    control: std::net::SocketAddr,
) -> LoadSettings {
    let rate = if arguments.rate > 0.0 {
        arguments.rate
    } else {
        scenario.full_rate
    };
    LoadSettings {
        nodes: Vec::new(),
        control,
        rate,
        duration: arguments.duration,
        deadline: arguments.deadline,
        seed: arguments.seed,
        burst: arguments.burst,
        burst_factor: arguments.burst_factor,
        progress: std::io::IsTerminal::is_terminal(&std::io::stderr()),
    }
}

fn write_files(arguments: &LoadArgs, report: &LoadReport) -> Result<(), String> {
    if let Some(file) = &arguments.json {
        let text = serde_json::to_string_pretty(report).map_err(|error| error.to_string())?;
        write_file(file, &text)?;
    }
    if let Some(file) = &arguments.plot {
        draw_report(report, file)?;
    }
    Ok(())
}

fn write_file(file: &Path, text: &str) -> Result<(), String> {
    std::fs::write(file, text).map_err(|error| format!("{}: {error}", file.display()))
}
