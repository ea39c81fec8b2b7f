//! Runs a command of the command line.

use crate::{
    cli::Command,
    commands::{admin, check, daemon},
    exit_codes::{Exit, fail},
    quickstart,
};

/// Runs a command to its end.
#[must_use]
pub fn run(command: Command) -> Exit {
    match command {
        Command::Check { file } => check::run(&file),
        Command::Balancer { settings } => block_on(daemon::run_balancer(&settings)),
        Command::Agent { settings } => block_on(daemon::run_agent(&settings)),
        Command::Admin { access, request } => block_on(admin::run(&access, *request)),
        Command::Quickstart { seconds, json } => block_on(quickstart::run(seconds, json)),
    }
}

fn block_on(future: impl Future<Output = Exit>) -> Exit {
    match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime.block_on(future),
        Err(error) => fail(Exit::Failed, format!("cannot start the runtime: {error}")),
    }
}
