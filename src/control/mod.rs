//! Control plane: policy changes and distribution, store access, peer tracking and requests between
//! processes.

pub mod backoff;
pub mod commit;
pub mod consul_store;
pub mod memory_store;
pub mod peers;
pub mod policy;
pub mod policy_sync;
pub mod recovery;
pub mod rpc_client;
pub mod rpc_server;
pub mod shared_policy;
pub mod store;
pub mod store_contact;
pub mod store_era;
pub mod watcher;
