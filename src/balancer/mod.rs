//! The QUIC balancer: forwards datagrams between callers and agents and keeps no per-flow state.

pub mod control;
pub mod dead_agents;
pub mod directory;
mod forward;
mod gossip;
mod inner_receiver;
pub mod responder;
pub mod route;
pub mod run;
mod service_socket;
pub mod status;

pub use run::{Balancer, BalancerError};
