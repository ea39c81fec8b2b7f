//! Demo callers and targets, and fakes of the network fabric and the store.
//!
//! The quickstart and the tests use them. Production deployments do not.

pub mod caller;
pub mod certificate;
pub mod fabric;
pub mod store_server;
pub mod target;
