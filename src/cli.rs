//! The command line.

use std::{ffi::OsString, path::PathBuf};

/// Environment variable with the URL of an administration API.
pub const ADMIN_VARIABLE: &str = "BAMBOOWIND_ADMIN";
/// Environment variable with the token of the administration API.
pub const TOKEN_VARIABLE: &str = "BAMBOOWIND_TOKEN";

/// Text of `--help`.
pub const HELP: &str = "\
bamboowind: a layer-4 load balancer whose established flows survive a fabric that sprays packets

Try it:
  bamboowind quickstart                      the whole system in one process, with demo traffic
  bamboowind quickstart --for 20 --json      the same for 20 seconds, figures as JSON

Run it:
  bamboowind check balancer.yaml             prints every fault of a settings or policy file
  bamboowind balancer --settings balancer.yaml
  bamboowind agent --settings agent.yaml

Operate it (a balancer's administration API):
  export BAMBOOWIND_ADMIN=http://10.0.0.1:7100 BAMBOOWIND_TOKEN=...
  bamboowind status                          what the balancer has seen
  bamboowind target list                     all targets with their load
  bamboowind target drain catalogo-3         no new work for this target
  bamboowind target drain catalogo-3 --cancel
  bamboowind policy show
  bamboowind policy set slots=6 queue_timeout_ms=300
  bamboowind policy set --file policy.yaml   replaces classes, rules, defaults and exceptions
  bamboowind policy except slow-disk --reason 'disk is being replaced' --host catalogo-3 slots=2
  bamboowind policy unexcept slow-disk
  bamboowind policy history

Options of status, target and policy:
  --admin URL         administration API; default: $BAMBOOWIND_ADMIN
  --token-file FILE   file with the token; default: the value of $BAMBOOWIND_TOKEN
  --json              output for programs

Options of policy set, except and unexcept:
  --base-version N    refuse if the policy has changed since version N
  --change-id ID      repeat an earlier change whose outcome was unknown

Exit codes: 0 done, 1 refused or failed, 2 wrong use, settings or policy.
";

/// What the command line asks for.
#[derive(Debug)]
pub enum Parsed {
    /// A command to run.
    Command(Box<Command>),
    /// A text to print.
    Text(String),
}

/// A command.
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
    /// Runs the demonstration.
    Quickstart {
        /// How long it runs, in seconds; until it is stopped when absent.
        seconds: Option<u64>,
        /// Whether the figures are printed as JSON.
        json: bool,
    },
    /// Talks to an administration API.
    Admin {
        /// How to reach it.
        access: Access,
        /// What to ask.
        request: Box<AdminRequest>,
    },
}

/// How an administration API is reached and its answer shown.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Access {
    /// URL of the API.
    pub url: Option<String>,
    /// File with the token.
    pub token_file: Option<PathBuf>,
    /// Whether the answer is printed as JSON.
    pub json: bool,
}

/// A request to an administration API.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AdminRequest {
    /// Shows what the balancer has seen.
    Status,
    /// Lists the targets.
    TargetList,
    /// Drains a target or resumes it.
    TargetDrain {
        /// Name of the host.
        name: String,
        /// Whether an earlier drain is cancelled.
        cancel: bool,
    },
    /// Shows the policy.
    PolicyShow,
    /// Shows the latest changes of the policy.
    PolicyHistory,
    /// Changes the policy.
    PolicyChange {
        /// What to change.
        edit: Edit,
        /// Version and identifier, when the operator gives them.
        options: ChangeOptions,
    },
}

/// Version and identifier of a change.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ChangeOptions {
    /// Version that the operator has seen.
    pub base_version: Option<u64>,
    /// Identifier of an earlier try.
    pub change_id: Option<String>,
}

/// A change of the policy.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Edit {
    /// Sets default limits, given as `key=value`.
    Set(Vec<String>),
    /// Replaces the policy by a file.
    Replace(PathBuf),
    /// Adds an exception.
    Except {
        /// Name of the exception.
        name: String,
        /// Why it exists.
        reason: String,
        /// Service that it is for.
        service: Option<String>,
        /// Failure domain that it is for.
        failure_domain: Option<String>,
        /// Host that it is for.
        host: Option<String>,
        /// Limits, given as `key=value`.
        limits: Vec<String>,
    },
    /// Removes an exception.
    Unexcept {
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

/// Reads the command line.
///
/// ```
/// use bamboowind::cli::{Command, Parsed, parse};
///
/// let parsed = parse(vec!["check".into(), "agent.yaml".into()]).unwrap();
/// let Parsed::Command(command) = parsed else { panic!() };
/// assert!(matches!(*command, Command::Check { .. }));
/// ```
///
/// # Errors
///
/// Returns one line that says what is wrong.
pub fn parse(arguments: Vec<OsString>) -> Result<Parsed, String> {
    if arguments.is_empty() || arguments.iter().any(|argument| argument == "--help") {
        return Ok(Parsed::Text(HELP.to_owned()));
    }
    if arguments.iter().any(|argument| argument == "--version") {
        return Ok(Parsed::Text(format!(
            "bamboowind {}\n",
            env!("CARGO_PKG_VERSION")
        )));
    }
    let arguments = arguments.into_iter().map(rename_for).collect();
    let flags = flags::Bamboowind::from_vec(arguments).map_err(|error| error.to_string())?;
    let command = command(flags.subcommand)?;
    Ok(Parsed::Command(Box::new(command)))
}

/// The flag parser names a field after each flag, and `for` cannot name one.
fn rename_for(argument: OsString) -> OsString {
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

fn command(flags: flags::BamboowindCmd) -> Result<Command, String> {
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
            access: Access {
                url: flags.admin,
                token_file: flags.token_file,
                json: flags.json,
            },
            request: Box::new(AdminRequest::Status),
        },
        Cmd::Target(flags) => Command::Admin {
            access: Access {
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
        Cmd::Policy(flags) => policy_command(flags)?,
    })
}

fn policy_command(flags: flags::Policy) -> Result<Command, String> {
    let options = ChangeOptions {
        base_version: flags.base_version,
        change_id: flags.change_id,
    };
    let request = match flags.subcommand {
        flags::PolicyCmd::Show(_) => AdminRequest::PolicyShow,
        flags::PolicyCmd::History(_) => AdminRequest::PolicyHistory,
        flags::PolicyCmd::Set(set) => {
            let edit = match (set.file, set.limit.is_empty()) {
                (Some(file), true) => Edit::Replace(file),
                (None, false) => Edit::Set(set.limit),
                _ => return Err("policy set takes key=value pairs or --file, not both".to_owned()),
            };
            AdminRequest::PolicyChange { edit, options }
        }
        flags::PolicyCmd::Except(except) => {
            let reason = except.reason.filter(|reason| !reason.trim().is_empty());
            let edit = Edit::Except {
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
            edit: Edit::Unexcept {
                name: unexcept.name,
            },
            options,
        },
    };
    let access = Access {
        url: flags.admin,
        token_file: flags.token_file,
        json: flags.json,
    };
    Ok(Command::Admin {
        access,
        request: Box::new(request),
    })
}
