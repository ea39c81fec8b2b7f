//! The commands of the program.

pub mod admin;
pub mod check;
pub mod daemon;
