//! The balancer: forwards callers' packets to the agents.
//!
//! [`core`] holds its state and handles packets. It does no I/O. [`driver`] runs it on sockets.

pub mod core;
pub mod driver;
pub mod rotation;
