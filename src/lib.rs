//! bamboowind: a layer-4 load balancer whose established flows survive a fabric that sprays
//! packets over stateless balancers.
//!
//! Callers speak QUIC. A **balancer** forwards datagrams and holds no flow; the connection ID of
//! every packet names the **agent** that owns the flow, one beside each target.

pub mod admin;
pub mod agent;
pub mod balancer;
pub mod cli;
pub mod clock;
pub mod commands;
pub mod control;
pub mod demo;
pub mod exit_codes;
pub mod flow;
pub mod forward;
pub mod membership;
pub mod observe;
pub mod output;
pub mod placement;
pub mod proto;
pub mod quickstart;
pub mod run;
pub mod settings;
pub mod wire;
