//! Command implementations.

mod demo;
mod load;
mod node;
mod object;
mod remote;
mod routes;
mod serve;
mod standin;

use std::path::Path;

use crate::cli::Command;
use crate::exit::ExitStatus;

/// Runs a parsed command.
pub(crate) fn run_command(command: Command) -> ExitStatus {
    match command {
        Command::Help(text) => {
            println!("{text}");
            ExitStatus::Success
        }
        Command::Version => {
            println!("turnford {}", env!("CARGO_PKG_VERSION"));
            ExitStatus::Success
        }
        Command::Node(arguments) => node::run_node(&arguments),
        Command::Serve(config) => serve::run_serve(config),
        Command::Check(files) => object::check_files(&files),
        Command::Apply(arguments) => object::apply_files(&arguments),
        Command::Get(arguments) => object::get_object(&arguments),
        Command::Delete(arguments) => object::delete_object(&arguments),
        Command::History(arguments) => object::show_history(&arguments),
        Command::Status(node) => remote::show_status(node),
        Command::Drain(node) => remote::start_drain(node),
        Command::Demo => demo::run_demo(),
        Command::Standin(arguments) => standin::run_standin(&arguments),
        Command::Load(arguments) => load::run_load_command(&arguments),
    }
}

/// Reads a file; prints the error to standard error and returns `None` if that fails.
fn read_file(path: &Path) -> Option<String> {
    match std::fs::read_to_string(path) {
        Ok(text) => Some(text),
        Err(error) => {
            eprintln!("{}: {error}", path.display());
            None
        }
    }
}

/// Reads a scenario file; prints the error to standard error and returns `None` if that fails.
fn read_scenario(path: &Path) -> Option<turnford_standin::Scenario> {
    let text = read_file(path)?;
    match turnford_standin::Scenario::parse(&text) {
        Ok(scenario) => Some(scenario),
        Err(message) => {
            eprintln!("{}: {message}", path.display());
            None
        }
    }
}
