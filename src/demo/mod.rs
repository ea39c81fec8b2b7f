//! Small stand-ins for what surrounds the system: callers, targets, the fabric and the store.
//!
//! The quickstart and the tests use them; a deployment does not.

pub mod caller;
pub mod certificate;
pub mod fabric;
pub mod store_server;
pub mod target;
