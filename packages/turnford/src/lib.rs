//! turnford: a serving system for multi-stage model pipelines.
//!
//! Contains the program's commands, and two parts that the tests use as well: a complete site in one
//! process, and conditional configuration changes.

mod cli;
mod command;
mod exit;
mod help;
mod logging;
mod operator;
mod queue;
mod site;

pub use exit::ExitStatus;
pub use operator::change_object;
pub use operator::read_envelope;
pub use operator::ChangeOutcome;
pub use operator::ChangeRequest;
pub use site::tool_client;
pub use site::LocalSite;
pub use site::SiteFile;

use std::ffi::OsString;

/// Runs the program with the arguments that follow its name.
pub fn run_program(arguments: Vec<OsString>) -> ExitStatus {
    match cli::parse_arguments(arguments) {
        Ok(command) => command::run_command(command),
        Err(usage) => {
            eprintln!("turnford: {usage}");
            ExitStatus::Usage
        }
    }
}
