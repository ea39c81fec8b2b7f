//! Implementations of the commands of the command line.

pub mod admin;
pub mod check;
pub mod daemon;
