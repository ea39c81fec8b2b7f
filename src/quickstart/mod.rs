//! `bamboowind quickstart`: the whole system in one process, with demo callers and targets for
//! both deployments of the brief at their real sizes.

mod deployment;
mod figures;
mod load;
mod plan;

use std::time::Duration;

use tokio::{signal, time};

use crate::{
    exit_codes::{Exit, report_error},
    output,
};
use deployment::Deployment;
use figures::Report;

const REFRESH_INTERVAL_MS: u64 = 1_000;
/// Time for callers to end their last requests.
const SETTLE_MS: u64 = 2_000;
const CLEAR_SCREEN: &str = "\x1b[2J\x1b[H";

/// Runs the demonstration until its time is over or it is interrupted.
pub async fn run(seconds: Option<u64>, json: bool) -> Exit {
    let deployments = match start().await {
        Ok(deployments) => deployments,
        Err(message) => return report_error(Exit::Failure, message),
    };
    let loads: Vec<_> = deployments.iter().map(load::start).collect();
    let plans: Vec<_> = deployments
        .iter()
        .map(|deployment| tokio::spawn(plan::run(deployment.clone())))
        .collect();
    tokio::select! {
        () = show(&deployments), if !json => {}
        () = end_after(seconds) => {}
        _ = signal::ctrl_c() => {}
    }
    for plan in plans {
        plan.abort();
    }
    for load in loads {
        load.stop(Duration::from_millis(SETTLE_MS)).await;
    }
    finish(&report(&deployments), json)
}

async fn start() -> Result<Vec<Deployment>, String> {
    let mut deployments = Vec::new();
    for site in deployment::sites() {
        deployments.push(Deployment::start(site).await?);
    }
    for deployment in &deployments {
        deployment.ready().await?;
    }
    Ok(deployments)
}

async fn show(deployments: &[Deployment]) {
    loop {
        time::sleep(Duration::from_millis(REFRESH_INTERVAL_MS)).await;
        print!("{CLEAR_SCREEN}{}", report(deployments).render());
    }
}

fn report(deployments: &[Deployment]) -> Report {
    Report::new(deployments.iter().flat_map(Deployment::figures).collect())
}

async fn end_after(seconds: Option<u64>) {
    match seconds {
        Some(seconds) => time::sleep(Duration::from_secs(seconds)).await,
        None => std::future::pending().await,
    }
}

fn finish(report: &Report, json: bool) -> Exit {
    if json {
        print!("{}", output::json(report));
    } else {
        print!("{CLEAR_SCREEN}{}", report.render());
    }
    if report.is_sound() {
        return Exit::Success;
    }
    let message = "a flow was broken, or a request was lost or doubled; see the figures";
    report_error(Exit::Failure, message)
}
