//! `bamboowind balancer` and `bamboowind agent`: run until SIGTERM or SIGINT, and reload the keys
//! and the certificate on SIGHUP.

use std::{path::Path, sync::Arc};

use slog::{Logger, error, info};
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::{
    admin::{AdminServer, BalancerApi, agent_router, balancer_router},
    agent::Agent,
    balancer::Balancer,
    control::consul_store::ConsulStore,
    exit_codes::{Exit, report_error, report_file_errors},
    observe::{log::logger, metrics::Metrics},
    settings::{AgentSettings, BalancerSettings, Role, Settings},
};

/// Runs a balancer until SIGTERM or SIGINT.
pub async fn run_balancer(path: &Path) -> Exit {
    let settings = match Settings::read(path) {
        Ok(settings) => settings,
        Err(error) => return report_file_errors(path, error),
    };
    let Role::Balancer(balancer) = &settings.role else {
        return report_file_errors(
            path,
            "balancer: found nothing; expected the settings of a balancer",
        );
    };
    let log = logger(std::io::stderr(), settings.log_level, &settings.name);
    exit_for(serve_balancer(path, &settings, balancer, &log).await, &log)
}

/// Runs an agent until SIGTERM or SIGINT.
pub async fn run_agent(path: &Path) -> Exit {
    let settings = match Settings::read(path) {
        Ok(settings) => settings,
        Err(error) => return report_file_errors(path, error),
    };
    let Role::Agent(agent) = &settings.role else {
        return report_file_errors(
            path,
            "agent: found nothing; expected the settings of an agent",
        );
    };
    let log = logger(std::io::stderr(), settings.log_level, &settings.name);
    exit_for(serve_agent(path, &settings, agent, &log).await, &log)
}

fn exit_for(result: Result<(), String>, log: &Logger) -> Exit {
    match result {
        Ok(()) => Exit::Success,
        Err(message) => {
            error!(log, "cannot run"; "error" => &message);
            report_error(Exit::Failure, message)
        }
    }
}

async fn serve_balancer(
    path: &Path,
    settings: &Settings,
    balancer_settings: &BalancerSettings,
    log: &Logger,
) -> Result<(), String> {
    let signals = Signals::new()?;
    let balancer = Balancer::start(settings, balancer_settings, log.clone())
        .await
        .map_err(|error| error.to_string())?;
    let metrics = Metrics::new(balancer.counters()).map_err(|error| error.to_string())?;
    let store = balancer_settings.store.as_ref();
    let api = BalancerApi {
        name: Arc::clone(&settings.name),
        failure_domain: Arc::clone(&settings.failure_domain),
        control: balancer.control().clone(),
        policy: balancer.policy().clone(),
        counters: balancer.counters().clone(),
        metrics,
        store: store.map(|store| (ConsulStore::new(store), Arc::clone(&store.policy_key))),
        log: log.clone(),
    };
    let admin = start_admin(settings, balancer_router(api)).await?;
    signals
        .wait(|| reload(path, settings, log, |_| Ok::<(), String>(())))
        .await;
    balancer.stop().await;
    drop(admin);
    Ok(())
}

async fn serve_agent(
    path: &Path,
    settings: &Settings,
    agent_settings: &AgentSettings,
    log: &Logger,
) -> Result<(), String> {
    let signals = Signals::new()?;
    let agent = Agent::start(settings, agent_settings, log.clone())
        .await
        .map_err(|error| error.to_string())?;
    let admin = start_admin(settings, agent_router(agent.view())).await?;
    let apply_tls = |reloaded: &Settings| match &reloaded.role {
        Role::Agent(reloaded) => agent.set_tls(&settings.keys, &reloaded.tls),
        Role::Balancer(_) => Ok(()),
    };
    signals
        .wait(|| reload(path, settings, log, apply_tls))
        .await;
    agent.stop().await;
    drop(admin);
    Ok(())
}

async fn start_admin(
    settings: &Settings,
    router: axum::Router,
) -> Result<Option<AdminServer>, String> {
    let Some(admin) = &settings.admin else {
        return Ok(None);
    };
    let server = AdminServer::start(admin, router).await;
    server.map(Some).map_err(|error| error.to_string())
}

/// Reads the settings file again and applies its keys and certificate.
///
/// All other settings stay as they were at the start. If the file is invalid, nothing changes.
fn reload<E: std::fmt::Display>(
    path: &Path,
    settings: &Settings,
    log: &Logger,
    apply_tls: impl Fn(&Settings) -> Result<(), E>,
) {
    let reloaded = match Settings::read(path) {
        Ok(reloaded) => reloaded,
        Err(error) => {
            error!(log, "settings not reloaded"; "error" => %error);
            return;
        }
    };
    settings.keys.replace(reloaded.keys.load());
    match apply_tls(&reloaded) {
        Ok(()) => info!(log, "keys and certificate reloaded";
            "current_phase" => settings.keys.load().current().phase()),
        Err(error) => error!(log, "certificate not reloaded"; "error" => %error),
    }
}

/// Streams of the signals that a process handles.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    fn new() -> Result<Self, String> {
        let listen = |kind| {
            signal(kind).map_err(|error| format!("cannot install a signal handler: {error}"))
        };
        Ok(Self {
            terminate: listen(SignalKind::terminate())?,
            interrupt: listen(SignalKind::interrupt())?,
            hangup: listen(SignalKind::hangup())?,
        })
    }

    /// Waits for SIGTERM or SIGINT, and calls `reload` for each SIGHUP.
    async fn wait(mut self, reload: impl Fn()) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.hangup.recv() => reload(),
            }
        }
    }
}
