//! The agent: ends QUIC beside a target, owns its flows and decides what runs on the target.

pub mod admission;
mod announcer;
mod connection;
mod connection_ids;
mod context;
mod dispatch;
mod endpoint;
mod handover;
mod home;
pub mod load;
pub mod members;
pub mod outcomes;
mod problem;
mod reply;
mod request;
pub mod return_paths;
pub mod run;
mod slots;
mod socket;
mod state;
mod upload;
mod view;

pub use run::{Agent, AgentError};
pub use view::AgentView;
