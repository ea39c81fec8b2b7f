//! The agent: runs next to a target, terminates QUIC, owns flows and controls admission to the
//! target.

pub mod admission;
mod announcer;
mod connection;
mod connection_ids;
mod context;
mod dispatch;
mod endpoint;
mod handover;
mod idempotency;
pub mod load;
pub mod members;
pub mod outcomes;
mod problem;
mod request;
mod response;
pub mod return_paths;
pub mod run;
mod slots;
mod socket;
mod state;
mod upload;
mod view;

pub use run::{Agent, AgentError};
pub use view::AgentView;
