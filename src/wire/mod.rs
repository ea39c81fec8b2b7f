//! Wire formats and transport: connection IDs, envelopes, frames, keys and sockets.

pub mod connection_id;
pub mod envelope;
pub mod frame;
pub mod gso_batch;
pub mod inbound;
pub mod key_ring;
pub mod packet;
pub mod quic_keys;
pub mod replay;
pub mod transport;
pub mod writable;
