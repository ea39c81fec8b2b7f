//! `bamboowind status`, `target` and `policy`: clients of the administration API.

use std::path::Path;

use uuid::Uuid;

use crate::{
    admin::{
        ChangeReply, Status,
        client::{AdminClient, ClientError},
    },
    balancer::status::TargetStatus,
    cli::{AdminOptions, AdminRequest, ChangeOptions, PolicyEdit},
    control::policy,
    exit_codes::{Exit, report_error, report_file_errors},
    output::{Table, json},
    proto::policy::{Change, ChangeRequest, Exception, Limits, Policy},
    settings::SettingsError,
};

const OPERATOR_ENV: &str = "USER";
const UNKNOWN_OPERATOR: &str = "unknown";

/// Sends a request to the administration API and prints the response.
pub async fn run(options: &AdminOptions, request: AdminRequest) -> Exit {
    let client = match AdminClient::new(options) {
        Ok(client) => client,
        Err(error) => return report_error(Exit::UsageError, error),
    };
    match request {
        AdminRequest::Status => print_result(options, client.status().await, status_text),
        AdminRequest::TargetList => print_result(options, client.targets().await, |targets| {
            target_table(targets)
        }),
        AdminRequest::TargetDrain { name, cancel } => {
            print_result(options, client.drain(&name, !cancel).await, |target| {
                format!("{} is {}\n", target.name, target.state)
            })
        }
        AdminRequest::PolicyShow => print_result(options, client.policy().await, policy_text),
        AdminRequest::PolicyHistory => {
            let history = client.policy().await.map(|policy| policy.history);
            print_result(options, history, |changes| change_table(changes))
        }
        AdminRequest::PolicyChange {
            edit,
            options: change_options,
        } => change_policy(options, &client, edit, change_options).await,
    }
}

fn print_result<T: serde::Serialize>(
    options: &AdminOptions,
    result: Result<T, ClientError>,
    text: impl Fn(&T) -> String,
) -> Exit {
    match result {
        Ok(value) if options.json => print!("{}", json(&value)),
        Ok(value) => print!("{}", text(&value)),
        Err(error) => return report_error(Exit::Failure, error),
    }
    Exit::Success
}

async fn change_policy(
    options: &AdminOptions,
    client: &AdminClient,
    edit: PolicyEdit,
    change_options: ChangeOptions,
) -> Exit {
    let request = match change_request(edit) {
        Ok(request) => request,
        Err(status) => return status,
    };
    let base_version = match change_options.base_version {
        Some(version) => version,
        None => match client.policy().await {
            Ok(policy) => policy.version,
            Err(error) => return report_error(Exit::Failure, error),
        },
    };
    let request = ChangeRequest {
        change_id: change_options
            .change_id
            .unwrap_or_else(|| Uuid::now_v7().to_string()),
        operator: std::env::var(OPERATOR_ENV).unwrap_or_else(|_| UNKNOWN_OPERATOR.to_owned()),
        base_version,
        ..request
    };
    let reply = match client.change(&request).await {
        Ok(reply) => reply,
        Err(error) => return report_error(Exit::Failure, error),
    };
    if options.json {
        print!("{}", json(&reply));
    } else {
        print_change_reply(&reply, &request.change_id);
    }
    match reply {
        ChangeReply::Accepted { .. } => Exit::Success,
        _ => Exit::Failure,
    }
}

fn print_change_reply(reply: &ChangeReply, change_id: &str) {
    match reply {
        ChangeReply::Accepted { policy } => {
            println!("accepted: the policy is at version {}", policy.version);
        }
        ChangeReply::Conflict {
            current_version,
            changes,
        } => {
            eprintln!(
                "bamboowind: another change came first; the policy is at version {current_version}. Review the changes since the base version and try again:"
            );
            eprint!("{}", change_table(changes));
        }
        ChangeReply::Refused { faults } => {
            for fault in faults {
                eprintln!("bamboowind: refused: {fault}");
            }
        }
        ChangeReply::Unavailable { reason } => {
            eprintln!("bamboowind: the policy was not changed: {reason}; try again later");
        }
        ChangeReply::Unknown { reason } => {
            eprintln!(
                "bamboowind: the outcome of the change is unknown: {reason}; retry with --change-id {change_id}"
            );
        }
    }
}

fn change_request(edit: PolicyEdit) -> Result<ChangeRequest, Exit> {
    let mut request = ChangeRequest::default();
    match edit {
        PolicyEdit::SetDefaults(pairs) => request.set_defaults = Some(parse_limits(&pairs)?),
        PolicyEdit::Replace(path) => request.replace = Some(read_policy(&path)?),
        PolicyEdit::RemoveException { name } => request.remove_exception = Some(name),
        PolicyEdit::PutException {
            name,
            reason,
            service,
            failure_domain,
            host,
            limits: pairs,
        } => {
            let limits = Some(parse_limits(&pairs)?);
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
        report_error(
            Exit::UsageError,
            format!("cannot read {}: {error}; check the path", path.display()),
        )
    })?;
    policy::parse(&text)
        .map_err(|faults| report_file_errors(path, SettingsError::Invalid { errors: faults }))
}

/// Parses `key=value` pairs as the `defaults` of a policy file, with the same validation.
fn parse_limits(pairs: &[String]) -> Result<Limits, Exit> {
    let lines: Vec<String> = pairs
        .iter()
        .map(|pair| pair.replacen('=', ": ", 1))
        .collect();
    let text = format!("defaults: {{{}}}", lines.join(", "));
    match policy::parse(&text) {
        Ok(policy) => Ok(policy.defaults.unwrap_or_default()),
        Err(faults) => Err(report_error(
            Exit::UsageError,
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
    let without_history = Policy {
        history: Vec::new(),
        ..policy.clone()
    };
    serde_yaml_ng::to_string(&without_history).unwrap_or_default()
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
