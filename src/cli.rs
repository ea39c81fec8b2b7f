//! Command line parsing.

use std::{ffi::OsString, path::PathBuf};

/// Environment variable with the URL of the administration API.
pub const ADMIN_URL_ENV: &str = "BAMBOOWIND_ADMIN";
/// Environment variable with the token of the administration API.
pub const ADMIN_TOKEN_ENV: &str = "BAMBOOWIND_TOKEN";

/// Text of `--help`.
pub const HELP: &str = "\
bamboowind: a layer-4 load balancer whose established flows survive a fabric that sprays packets

Try it:
  bamboowind quickstart                      runs a complete system in one process, with demo traffic
  bamboowind quickstart --for 20 --json      stops after 20 seconds and prints the figures as JSON

Run it:
  bamboowind check balancer.yaml             reports every error in a settings or policy file
  bamboowind balancer --settings balancer.yaml
  bamboowind agent --settings agent.yaml

Operate it (a balancer's administration API):
  export BAMBOOWIND_ADMIN=http://10.0.0.1:7100 BAMBOOWIND_TOKEN=...
  bamboowind status                          state of the balancer and its event counters
  bamboowind target list                     lists all targets with their load
  bamboowind target drain catalogo-3         stops new flows and requests to the target
  bamboowind target drain catalogo-3 --cancel    resumes the target
  bamboowind policy show
  bamboowind policy set slots=6 queue_timeout_ms=300
  bamboowind policy set --file policy.yaml   replaces classes, rules, defaults and exceptions
  bamboowind policy except slow-disk --reason 'disk is being replaced' --host catalogo-3 slots=2
  bamboowind policy unexcept slow-disk
  bamboowind policy history

Options of status, target and policy:
  --admin URL         administration API; default: $BAMBOOWIND_ADMIN
  --token-file FILE   file with the token; default: the value of $BAMBOOWIND_TOKEN
  --json              machine-readable output

Options of policy set, except and unexcept:
  --base-version N    reject the change if the policy has changed since version N
  --change-id ID      retry an earlier change whose outcome is unknown

Exit codes: 0 success, 1 rejected or failed, 2 invalid command line, settings or policy.
";

/// Result of parsing the command line.
#[derive(Debug)]
pub enum ParsedArgs {
    /// A command to run.
    Command(Box<Command>),
    /// A text to print to standard output: the help or the version.
    Text(String),
}

/// A command with its arguments.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// Runs a balancer.
    Balancer {
        /// Settings file.
        settings: PathBuf,
    },
    /// Runs an agent.
    Agent {
        /// Settings file.
        settings: PathBuf,
    },
    /// Checks a settings or policy file.
    Check {
        /// The file.
        file: PathBuf,
    },
    /// Runs the demo system.
    Quickstart {
        /// Run time in seconds; `None` runs until interrupted.
        seconds: Option<u64>,
        /// Whether to print the figures as JSON instead of tables.
        json: bool,
    },
    /// Sends a request to an administration API.
    Admin {
        /// How to reach the API and print its response.
        admin_options: AdminOptions,
        /// The request to send.
        request: Box<AdminRequest>,
    },
}

/// Options common to the commands that use an administration API.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct AdminOptions {
    /// URL of the API; `None` reads it from the environment.
    pub url: Option<String>,
    /// File with the token; `None` reads the token from the environment.
    pub token_file: Option<PathBuf>,
    /// Whether to print the response as JSON.
    pub json: bool,
}

/// A request to an administration API.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AdminRequest {
    /// Shows the state of the process and its event counters.
    Status,
    /// Lists the targets.
    TargetList,
    /// Drains or resumes a target.
    TargetDrain {
        /// Name of the target, which is the name of its host.
        name: String,
        /// Resumes the target instead of draining it.
        cancel: bool,
    },
    /// Shows the current policy.
    PolicyShow,
    /// Lists the latest policy changes.
    PolicyHistory,
    /// Changes the policy.
    PolicyChange {
        /// The change to make.
        edit: PolicyEdit,
        /// Base version and identifier of the change.
        options: ChangeOptions,
    },
}

/// Base version and identifier of a policy change.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ChangeOptions {
    /// Version that the change is based on; `None` uses the current version.
    pub base_version: Option<u64>,
    /// Identifier of an earlier attempt to retry; `None` generates a new one.
    pub change_id: Option<String>,
}

/// A change to the policy.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PolicyEdit {
    /// Sets default limits from `key=value` pairs.
    SetDefaults(Vec<String>),
    /// Replaces the policy with the contents of a file.
    Replace(PathBuf),
    /// Adds an exception, or replaces the one of the same name.
    PutException {
        /// Name of the exception.
        name: String,
        /// Why the exception exists.
        reason: String,
        /// Service that the exception is limited to; `None` for all services.
        service: Option<String>,
        /// Failure domain that the exception is limited to; `None` for all.
        failure_domain: Option<String>,
        /// Host that the exception is limited to; `None` for all hosts.
        host: Option<String>,
        /// Limits that the exception sets, as `key=value` pairs.
        limits: Vec<String>,
    },
    /// Removes an exception.
    RemoveException {
        /// Name of the exception.
        name: String,
    },
}

mod flags {
    #![allow(missing_docs, clippy::pedantic)]
    use std::path::PathBuf;

    xflags::xflags! {
        cmd bamboowind {
            cmd balancer {
                required --settings file: PathBuf
            }
            cmd agent {
                required --settings file: PathBuf
            }
            cmd check {
                required file: PathBuf
            }
            cmd quickstart {
                optional --for-seconds seconds: u64
                optional --json
            }
            cmd status {
                optional --admin url: String
                optional --token-file file: PathBuf
                optional --json
            }
            cmd target {
                optional --admin url: String
                optional --token-file file: PathBuf
                optional --json
                cmd list {}
                cmd drain {
                    required name: String
                    optional --cancel
                }
            }
            cmd policy {
                optional --admin url: String
                optional --token-file file: PathBuf
                optional --json
                optional --base-version version: u64
                optional --change-id id: String
                cmd show {}
                cmd history {}
                cmd set {
                    optional --file file: PathBuf
                    repeated limit: String
                }
                cmd except {
                    required name: String
                    optional --reason text: String
                    optional --service name: String
                    optional --failure-domain name: String
                    optional --host name: String
                    repeated limit: String
                }
                cmd unexcept {
                    required name: String
                }
            }
        }
    }
}

/// Parses the command line arguments, without the program name.
///
/// ```
/// use bamboowind::cli::{Command, ParsedArgs, parse};
///
/// let parsed = parse(vec!["check".into(), "agent.yaml".into()]).unwrap();
/// let ParsedArgs::Command(command) = parsed else { panic!() };
/// assert!(matches!(*command, Command::Check { .. }));
/// ```
///
/// # Errors
///
/// Returns a one-line message that describes the first error.
pub fn parse(arguments: Vec<OsString>) -> Result<ParsedArgs, String> {
    if arguments.is_empty() || arguments.iter().any(|argument| argument == "--help") {
        return Ok(ParsedArgs::Text(HELP.to_owned()));
    }
    if arguments.iter().any(|argument| argument == "--version") {
        return Ok(ParsedArgs::Text(format!(
            "bamboowind {}\n",
            env!("CARGO_PKG_VERSION")
        )));
    }
    let arguments = arguments.into_iter().map(rewrite_for_flag).collect();
    let flags = flags::Bamboowind::from_vec(arguments).map_err(|error| error.to_string())?;
    let command = build_command(flags.subcommand)?;
    Ok(ParsedArgs::Command(Box::new(command)))
}

/// Rewrites `--for` to `--for-seconds`.
///
/// `xflags` derives a struct field from each flag, and a field cannot be named after the keyword
/// `for`.
fn rewrite_for_flag(argument: OsString) -> OsString {
    match argument
        .to_str()
        .and_then(|text| text.strip_prefix("--for"))
    {
        Some(rest) if rest.is_empty() || rest.starts_with('=') => {
            format!("--for-seconds{rest}").into()
        }
        _ => argument,
    }
}

fn build_command(flags: flags::BamboowindCmd) -> Result<Command, String> {
    use flags::BamboowindCmd as Cmd;
    Ok(match flags {
        Cmd::Balancer(flags) => Command::Balancer {
            settings: flags.settings,
        },
        Cmd::Agent(flags) => Command::Agent {
            settings: flags.settings,
        },
        Cmd::Check(flags) => Command::Check { file: flags.file },
        Cmd::Quickstart(flags) => Command::Quickstart {
            seconds: flags.for_seconds,
            json: flags.json,
        },
        Cmd::Status(flags) => Command::Admin {
            admin_options: AdminOptions {
                url: flags.admin,
                token_file: flags.token_file,
                json: flags.json,
            },
            request: Box::new(AdminRequest::Status),
        },
        Cmd::Target(flags) => Command::Admin {
            admin_options: AdminOptions {
                url: flags.admin,
                token_file: flags.token_file,
                json: flags.json,
            },
            request: Box::new(match flags.subcommand {
                flags::TargetCmd::List(_) => AdminRequest::TargetList,
                flags::TargetCmd::Drain(drain) => AdminRequest::TargetDrain {
                    name: drain.name,
                    cancel: drain.cancel,
                },
            }),
        },
        Cmd::Policy(flags) => build_policy_command(flags)?,
    })
}

fn build_policy_command(flags: flags::Policy) -> Result<Command, String> {
    let options = ChangeOptions {
        base_version: flags.base_version,
        change_id: flags.change_id,
    };
    let request = match flags.subcommand {
        flags::PolicyCmd::Show(_) => AdminRequest::PolicyShow,
        flags::PolicyCmd::History(_) => AdminRequest::PolicyHistory,
        flags::PolicyCmd::Set(set) => {
            let edit = match (set.file, set.limit.is_empty()) {
                (Some(file), true) => PolicyEdit::Replace(file),
                (None, false) => PolicyEdit::SetDefaults(set.limit),
                _ => return Err("policy set takes key=value pairs or --file, not both".to_owned()),
            };
            AdminRequest::PolicyChange { edit, options }
        }
        flags::PolicyCmd::Except(except) => {
            let reason = except.reason.filter(|reason| !reason.trim().is_empty());
            let edit = PolicyEdit::PutException {
                name: except.name,
                reason: reason.ok_or("an exception needs --reason with the written reason")?,
                service: except.service,
                failure_domain: except.failure_domain,
                host: except.host,
                limits: except.limit,
            };
            AdminRequest::PolicyChange { edit, options }
        }
        flags::PolicyCmd::Unexcept(unexcept) => AdminRequest::PolicyChange {
            edit: PolicyEdit::RemoveException {
                name: unexcept.name,
            },
            options,
        },
    };
    let admin_options = AdminOptions {
        url: flags.admin,
        token_file: flags.token_file,
        json: flags.json,
    };
    Ok(Command::Admin {
        admin_options,
        request: Box::new(request),
    })
}
