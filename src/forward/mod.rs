//! Forwarding of flows without a token, between callers, agents and targets.
//!
//! [`balancer`] and [`agent`] hold the forwarding logic. They do no I/O and take the current time
//! as an argument. [`balancer_driver`] and [`agent_driver`] run them on sockets.

pub mod absence;
pub mod agent;
pub mod agent_driver;
pub mod agent_flows;
pub mod agent_lookup;
pub mod agent_syn;
pub mod balancer;
pub mod balancer_driver;
pub mod decision;
pub mod driver_io;
pub mod notices;
pub mod peering;
pub mod registrar;
pub mod rotation;
pub mod route_fetch;
pub mod settings;
pub mod slot_requests;
pub mod socket;
pub mod syn_queue;
pub mod target;
