//! Exit codes of the program, and error output. The codes are stable between versions.

use std::{path::Path, process::ExitCode};

/// Result of the program, converted to its exit code.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Exit {
    /// The command succeeded (exit code 0).
    Success,
    /// The command failed or was rejected (exit code 1).
    Failure,
    /// The command line, a settings file or a policy file is invalid (exit code 2).
    UsageError,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        match exit {
            Exit::Success => Self::SUCCESS,
            Exit::Failure => Self::FAILURE,
            Exit::UsageError => Self::from(2),
        }
    }
}

/// Prints an error message to standard error and returns `exit`.
pub(crate) fn report_error(exit: Exit, message: impl std::fmt::Display) -> Exit {
    eprintln!("bamboowind: {message}");
    exit
}

/// Prints each line of `errors` to standard error, prefixed with the path of the invalid file.
pub(crate) fn report_file_errors(path: &Path, errors: impl std::fmt::Display) -> Exit {
    for line in errors.to_string().lines() {
        eprintln!("{}: {line}", path.display());
    }
    Exit::UsageError
}
