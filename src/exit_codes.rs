//! Exit codes of the program; they do not change between versions.

use std::process::ExitCode;

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
