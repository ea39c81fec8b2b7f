//! `bamboowind check`: reports every error in a settings or policy file.

use std::path::Path;

use crate::{
    control::policy,
    exit_codes::{Exit, report_error, report_file_errors},
    settings::{Settings, SettingsError},
};

/// Top-level keys that occur in policy files only; any of them marks a file as a policy.
const POLICY_KEYS: [&str; 5] = [
    "defaults",
    "classes",
    "rules",
    "exceptions",
    "caller_groups",
];

/// Validates a settings or policy file and prints the result.
#[must_use]
pub fn run(path: &Path) -> Exit {
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(error) => {
            let message = format!("cannot read {}: {error}; check the path", path.display());
            return report_error(Exit::UsageError, message);
        }
    };
    if is_policy_file(&text) {
        return match policy::parse(&text) {
            Ok(_) => report_valid(path, "policy"),
            Err(faults) => report_file_errors(path, SettingsError::Invalid { errors: faults }),
        };
    }
    match Settings::parse(&text, path.parent().unwrap_or(Path::new("."))) {
        Ok(_) => report_valid(path, "settings"),
        Err(error) => report_file_errors(path, error),
    }
}

fn is_policy_file(text: &str) -> bool {
    let document: serde_yaml_ng::Value = serde_yaml_ng::from_str(text).unwrap_or_default();
    POLICY_KEYS.iter().any(|key| document.get(key).is_some())
}

fn report_valid(path: &Path, kind: &str) -> Exit {
    println!("{}: the {kind} can be used", path.display());
    Exit::Success
}
