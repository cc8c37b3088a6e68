//! turnford: a serving system for multi-stage model pipelines.
//!
//! The program's commands, and what they share with the tests: a whole site in one process and the
//! operators' changes of configuration.

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

/// Runs the program with the arguments after its name.
pub fn run_program(arguments: Vec<OsString>) -> ExitStatus {
    match cli::parse_arguments(arguments) {
        Ok(command) => command::run_command(command),
        Err(usage) => {
            eprintln!("turnford: {usage}");
            ExitStatus::Usage
        }
    }
}
