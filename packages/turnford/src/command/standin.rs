//! `turnford standin`.

use async_io::Timer;
use turnford_standin::start_threads;
use turnford_standin::StandinFleet;

use crate::cli::StandinArgs;
use crate::exit::ExitStatus;

/// Threads that run the stand-ins.
const THREADS: usize = 2;

/// Runs the stand-ins for the given time, or until the process is terminated.
pub(super) fn run_standin(arguments: &StandinArgs) -> ExitStatus {
    let Some(scenario) = super::read_scenario(&arguments.scenario) else {
        return ExitStatus::Failed;
    };
    let executor = start_threads("standin", THREADS);
    let (objects, control) = (arguments.objects_port, arguments.control_port);
    let fleet = match StandinFleet::start(&scenario, objects, control, &executor) {
        Ok(fleet) => fleet,
        Err(error) => {
            eprintln!("the stand-ins can't start: {error}");
            return ExitStatus::Failed;
        }
    };
    println!("objects {}", fleet.objects);
    println!("control {}", fleet.control);
    for entry in &fleet.entries {
        println!("target {} {}", entry.name, entry.address);
    }
    async_io::block_on(async {
        match arguments.duration {
            Some(duration) => {
                Timer::after(duration).await;
            }
            None => futures_lite::future::pending().await,
        }
    });
    ExitStatus::Success
}
