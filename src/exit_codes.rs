//! Exit codes of the program; they do not change between versions.

use std::{path::Path, process::ExitCode};

/// How the program ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Exit {
    /// What was asked for is done.
    Done,
    /// What was asked for was refused or failed.
    Failed,
    /// The command line, the settings or the policy are wrong.
    WrongUse,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        match exit {
            Exit::Done => Self::SUCCESS,
            Exit::Failed => Self::FAILURE,
            Exit::WrongUse => Self::from(2),
        }
    }
}

/// Prints an error as the program's last words.
pub(crate) fn fail(exit: Exit, message: impl std::fmt::Display) -> Exit {
    eprintln!("bamboowind: {message}");
    exit
}

/// Prints the faults of a file, a line each.
pub(crate) fn fail_faults(path: &Path, lines: impl std::fmt::Display) -> Exit {
    for line in lines.to_string().lines() {
        eprintln!("{}: {line}", path.display());
    }
    Exit::WrongUse
}
