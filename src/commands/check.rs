//! `bamboowind check`: prints every fault of a settings or policy file.

use std::path::Path;

use crate::{
    control::policy,
    exit_codes::{Exit, fail, fail_faults},
    settings::{Settings, SettingsError},
};

/// Keys at the top of a policy that settings do not have.
const POLICY_KEYS: [&str; 5] = [
    "defaults",
    "classes",
    "rules",
    "exceptions",
    "caller_groups",
];

/// Checks a file and says whether it can be used.
#[must_use]
pub fn run(path: &Path) -> Exit {
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(error) => {
            let message = format!("cannot read {}: {error}; check the path", path.display());
            return fail(Exit::WrongUse, message);
        }
    };
    if is_policy(&text) {
        return match policy::parse(&text) {
            Ok(_) => accepted(path, "policy"),
            Err(faults) => fail_faults(path, SettingsError::Invalid { errors: faults }),
        };
    }
    match Settings::parse(&text, path.parent().unwrap_or(Path::new("."))) {
        Ok(_) => accepted(path, "settings"),
        Err(error) => fail_faults(path, error),
    }
}

fn is_policy(text: &str) -> bool {
    let document: serde_yaml_ng::Value = serde_yaml_ng::from_str(text).unwrap_or_default();
    POLICY_KEYS.iter().any(|key| document.get(key).is_some())
}

fn accepted(path: &Path, what: &str) -> Exit {
    println!("{}: the {what} can be used", path.display());
    Exit::Done
}
