//! The balancer: forwards datagrams between callers and agents and holds no flow.

pub mod control;
pub mod directory;
mod forward;
mod gossip;
pub mod lost;
mod outer_socket;
pub mod retry;
mod returns;
pub mod route;
pub mod run;
pub mod status;

pub use run::{Balancer, BalancerError};
