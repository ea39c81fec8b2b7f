//! Configuration and membership: what processes must agree on, and how they learn it.

pub mod backoff;
pub mod commit;
pub mod consul_store;
pub mod inner_client;
pub mod inner_server;
pub mod memory_store;
pub mod peers;
pub mod policy;
pub mod policy_cell;
pub mod policy_sync;
pub mod store;
pub mod store_contact;
pub mod watcher;
