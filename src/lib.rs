//! bamboowind: a layer-4 load balancer for network fabrics that spray the packets of a flow over
//! several balancers.
//!
//! Callers speak QUIC. A **balancer** forwards datagrams and keeps no state per flow, so any
//! balancer can forward any packet and established flows survive the loss of a balancer. The
//! connection ID of every packet identifies the **agent** that owns the flow. One agent runs next
//! to each target.
//!
//! The modules [`forward`], [`flow`], [`membership`] and [`placement`] serve flows whose packets
//! carry no connection ID. A few agents, the registry agents, store the owner of each such flow.

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
