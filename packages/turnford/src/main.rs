//! The `turnford` program.

use std::process::ExitCode;

fn main() -> ExitCode {
    turnford::run_program(std::env::args_os().skip(1).collect()).into()
}
