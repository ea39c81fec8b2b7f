//! `bamboowind quickstart`: a complete system in one process, with demo callers and targets.
//!
//! It runs two deployments, which have the sizes of the two production deployments.

mod deployment;
mod figures;
mod load;
mod operator;

use std::time::Duration;

use tokio::{signal, time};

use crate::{
    exit_codes::{Exit, report_error},
    output,
};
use deployment::Deployment;
use figures::Report;

const REFRESH_INTERVAL_MS: u64 = 1_000;
/// Time for callers to finish their last requests after the load is stopped.
const LOAD_STOP_TIMEOUT_MS: u64 = 2_000;
const CLEAR_SCREEN: &str = "\x1b[2J\x1b[H";

/// Runs the demo until its time is over or it is interrupted, then prints the figures.
///
/// `seconds` is the run time; `None` runs until interrupted. The exit status is a failure if the
/// figures show an error.
pub async fn run(seconds: Option<u64>, json: bool) -> Exit {
    let deployments = match start_deployments().await {
        Ok(deployments) => deployments,
        Err(message) => return report_error(Exit::Failure, message),
    };
    let load_generators: Vec<_> = deployments.iter().map(load::start).collect();
    let operators: Vec<_> = deployments
        .iter()
        .map(|deployment| tokio::spawn(operator::run(deployment.clone())))
        .collect();
    tokio::select! {
        () = refresh_display(&deployments), if !json => {}
        () = wait_until_over(seconds) => {}
        _ = signal::ctrl_c() => {}
    }
    for operator in operators {
        operator.abort();
    }
    for generator in load_generators {
        generator
            .stop(Duration::from_millis(LOAD_STOP_TIMEOUT_MS))
            .await;
    }
    print_report(&report(&deployments), json)
}

async fn start_deployments() -> Result<Vec<Deployment>, String> {
    let mut deployments = Vec::new();
    for spec in deployment::deployment_specs() {
        deployments.push(Deployment::start(spec).await?);
    }
    for deployment in &deployments {
        deployment.wait_until_ready().await?;
    }
    Ok(deployments)
}

async fn refresh_display(deployments: &[Deployment]) {
    loop {
        time::sleep(Duration::from_millis(REFRESH_INTERVAL_MS)).await;
        print!("{CLEAR_SCREEN}{}", report(deployments).render());
    }
}

fn report(deployments: &[Deployment]) -> Report {
    Report::new(deployments.iter().flat_map(Deployment::figures).collect())
}

async fn wait_until_over(seconds: Option<u64>) {
    match seconds {
        Some(seconds) => time::sleep(Duration::from_secs(seconds)).await,
        None => std::future::pending().await,
    }
}

fn print_report(report: &Report, json: bool) -> Exit {
    if json {
        print!("{}", output::json(report));
    } else {
        print!("{CLEAR_SCREEN}{}", report.render());
    }
    if report.passes_checks() {
        return Exit::Success;
    }
    let message = "the demo found broken flows, wrong responses, or lost or repeated requests; see the figures";
    report_error(Exit::Failure, message)
}
