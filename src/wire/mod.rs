//! What travels between callers, balancers and agents: identifiers, datagrams and frames.

pub mod connection_id;
pub mod envelope;
pub mod frame;
pub mod inbound;
pub mod key_ring;
pub mod packet;
pub mod quic_keys;
pub mod replay;
pub mod segment_run;
pub mod transport;
pub mod writable;
