//! turnford: a serving system for multi-stage model pipelines.

mod cli;
mod command;
mod exit;
mod logging;
mod operator;
mod site;

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<std::ffi::OsString> = std::env::args_os().skip(1).collect();
    match cli::parse_arguments(arguments) {
        Ok(command) => command::run_command(command).into(),
        Err(usage) => {
            eprintln!("turnford: {usage}");
            exit::ExitStatus::Usage.into()
        }
    }
}
