//! `bamboowind status`, `target` and `policy`: talk to a balancer's administration API.

use std::path::Path;

use uuid::Uuid;

use crate::{
    admin::{
        ChangeReply, Status,
        client::{AdminClient, ClientError},
    },
    balancer::status::TargetStatus,
    cli::{Access, AdminRequest, ChangeOptions, Edit},
    control::policy,
    exit_codes::{Exit, fail, fail_faults},
    output::{Table, json},
    proto::policy::{Change, ChangeRequest, Exception, Limits, Policy},
    settings::SettingsError,
};

const OPERATOR_VARIABLE: &str = "USER";
const UNKNOWN_OPERATOR: &str = "unknown";

/// Carries out a request and prints its answer.
pub async fn run(access: &Access, request: AdminRequest) -> Exit {
    let client = match AdminClient::new(access) {
        Ok(client) => client,
        Err(error) => return fail(Exit::WrongUse, error),
    };
    match request {
        AdminRequest::Status => print(access, client.status().await, status_text),
        AdminRequest::TargetList => print(access, client.targets().await, |targets| {
            target_table(targets)
        }),
        AdminRequest::TargetDrain { name, cancel } => {
            print(access, client.drain(&name, !cancel).await, |target| {
                format!("{} is {}\n", target.name, target.state)
            })
        }
        AdminRequest::PolicyShow => print(access, client.policy().await, policy_text),
        AdminRequest::PolicyHistory => {
            let history = client.policy().await.map(|policy| policy.history);
            print(access, history, |changes| change_table(changes))
        }
        AdminRequest::PolicyChange { edit, options } => {
            change(access, &client, edit, options).await
        }
    }
}

fn print<T: serde::Serialize>(
    access: &Access,
    answer: Result<T, ClientError>,
    text: impl Fn(&T) -> String,
) -> Exit {
    match answer {
        Ok(value) if access.json => print!("{}", json(&value)),
        Ok(value) => print!("{}", text(&value)),
        Err(error) => return fail(Exit::Failed, error),
    }
    Exit::Done
}

async fn change(access: &Access, client: &AdminClient, edit: Edit, options: ChangeOptions) -> Exit {
    let request = match change_request(edit) {
        Ok(request) => request,
        Err(wrong_use) => return wrong_use,
    };
    let base_version = match options.base_version {
        Some(version) => version,
        None => match client.policy().await {
            Ok(policy) => policy.version,
            Err(error) => return fail(Exit::Failed, error),
        },
    };
    let request = ChangeRequest {
        change_id: options
            .change_id
            .unwrap_or_else(|| Uuid::now_v7().to_string()),
        operator: std::env::var(OPERATOR_VARIABLE).unwrap_or_else(|_| UNKNOWN_OPERATOR.to_owned()),
        base_version,
        ..request
    };
    let reply = match client.change(&request).await {
        Ok(reply) => reply,
        Err(error) => return fail(Exit::Failed, error),
    };
    if access.json {
        print!("{}", json(&reply));
    } else {
        print_change(&reply, &request.change_id);
    }
    match reply {
        ChangeReply::Accepted { .. } => Exit::Done,
        _ => Exit::Failed,
    }
}

fn print_change(reply: &ChangeReply, change_id: &str) {
    match reply {
        ChangeReply::Accepted { policy } => {
            println!("accepted: the policy is at version {}", policy.version);
        }
        ChangeReply::Conflict {
            current_version,
            changes,
        } => {
            eprintln!(
                "bamboowind: another change came first; the policy is at version {current_version}. Look at it and try again:"
            );
            eprint!("{}", change_table(changes));
        }
        ChangeReply::Refused { faults } => {
            for fault in faults {
                eprintln!("bamboowind: refused: {fault}");
            }
        }
        ChangeReply::Unavailable { reason } => {
            eprintln!("bamboowind: not changed, {reason}; try again later");
        }
        ChangeReply::Unknown { reason } => {
            eprintln!(
                "bamboowind: the outcome is not known, {reason}; repeat with --change-id {change_id}"
            );
        }
    }
}

fn change_request(edit: Edit) -> Result<ChangeRequest, Exit> {
    let mut request = ChangeRequest::default();
    match edit {
        Edit::Set(pairs) => request.set_defaults = Some(limits(&pairs)?),
        Edit::Replace(path) => request.replace = Some(read_policy(&path)?),
        Edit::Unexcept { name } => request.remove_exception = Some(name),
        Edit::Except {
            name,
            reason,
            service,
            failure_domain,
            host,
            limits: pairs,
        } => {
            let limits = Some(limits(&pairs)?);
            request.put_exception = Some(Exception {
                name,
                reason,
                service,
                failure_domain,
                host,
                limits,
            });
        }
    }
    Ok(request)
}

fn read_policy(path: &Path) -> Result<Policy, Exit> {
    let text = std::fs::read_to_string(path).map_err(|error| {
        fail(
            Exit::WrongUse,
            format!("cannot read {}: {error}", path.display()),
        )
    })?;
    policy::parse(&text)
        .map_err(|faults| fail_faults(path, SettingsError::Invalid { errors: faults }))
}

/// Reads `key=value` pairs by the rules of a policy file.
fn limits(pairs: &[String]) -> Result<Limits, Exit> {
    let lines: Vec<String> = pairs
        .iter()
        .map(|pair| pair.replacen('=', ": ", 1))
        .collect();
    let text = format!("defaults: {{{}}}", lines.join(", "));
    match policy::parse(&text) {
        Ok(policy) => Ok(policy.defaults.unwrap_or_default()),
        Err(faults) => Err(fail(
            Exit::WrongUse,
            SettingsError::Invalid { errors: faults },
        )),
    }
}

fn status_text(status: &Status) -> String {
    let mut table = Table::new(&["event", "count"]);
    for event in &status.events {
        table.push([event.event.clone(), event.count.to_string()]);
    }
    format!(
        "{} in {}, policy version {}, {} other balancers, {} targets\n\n{}",
        status.name,
        status.failure_domain,
        status.policy_version,
        status.balancers.len(),
        status.targets.len(),
        table.render(),
    )
}

fn target_table(targets: &[TargetStatus]) -> String {
    let heading = [
        "target",
        "service",
        "failure domain",
        "state",
        "running",
        "queued",
        "connections",
        "latency ms",
        "policy",
        "age ms",
    ];
    let mut table = Table::new(&heading);
    for target in targets {
        table.push([
            target.name.clone(),
            target.service.clone(),
            target.failure_domain.clone(),
            target.state.clone(),
            format!("{}/{}", target.running, target.slots),
            target.queued.to_string(),
            target.connections.to_string(),
            (target.latency_us / 1_000).to_string(),
            target.policy_version.to_string(),
            target.age_ms.to_string(),
        ]);
    }
    table.render()
}

fn policy_text(policy: &Policy) -> String {
    let shown = Policy {
        history: Vec::new(),
        ..policy.clone()
    };
    serde_yaml_ng::to_string(&shown).unwrap_or_default()
}

fn change_table(changes: &[Change]) -> String {
    let mut table = Table::new(&["version", "operator", "change", "change id"]);
    for change in changes {
        table.push([
            change.version.to_string(),
            change.operator.clone(),
            change.summary.clone(),
            change.change_id.clone(),
        ]);
    }
    table.render()
}
