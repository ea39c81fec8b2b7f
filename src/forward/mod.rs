//! Forwarding of flows without a token, between callers, agents and targets.
//!
//! [`agent`] and [`balancer`] hold one role each; the other modules are shared by both. The
//! forwarding logic does no I/O and takes the current time as an argument; drivers run it on sockets.

pub mod absence;
pub mod agent;
pub mod balancer;
pub mod decision;
pub mod driver_io;
pub mod evacuation;
pub mod history;
pub mod notices;
pub mod peering;
pub mod registrar;
pub mod route_fetch;
pub mod settings;
pub mod socket;
