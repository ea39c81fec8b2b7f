//! Dispatches the commands of the command line.

use crate::{
    cli::Command,
    commands::{admin, check, daemon},
    exit_codes::{Exit, report_error},
    quickstart,
};

/// Runs a command to completion.
#[must_use]
pub fn run(command: Command) -> Exit {
    match command {
        Command::Check { file } => check::run(&file),
        Command::Balancer { settings } => block_on(daemon::run_balancer(&settings)),
        Command::Agent { settings } => block_on(daemon::run_agent(&settings)),
        Command::Admin {
            admin_options,
            request,
        } => block_on(admin::run(&admin_options, *request)),
        Command::Quickstart { seconds, json } => block_on(quickstart::run(seconds, json)),
    }
}

fn block_on(future: impl Future<Output = Exit>) -> Exit {
    match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime.block_on(future),
        Err(error) => report_error(
            Exit::Failure,
            format!("cannot start the async runtime: {error}"),
        ),
    }
}
