//! What operators see of a process: logs, counters and histograms.

pub mod counters;
pub mod log;
pub mod metrics;
