//! `bamboowind quickstart`: the whole system in one process.

use crate::exit_codes::Exit;

/// Runs the demonstration.
pub async fn run(_seconds: Option<u64>, _json: bool) -> Exit {
    Exit::Failed
}
