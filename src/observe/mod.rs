//! Logs, event counters and metrics of a process.

pub mod counters;
pub mod log;
pub mod metrics;
