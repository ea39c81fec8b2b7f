//! Sockets bound to the service addresses, which callers send to.

use std::sync::Arc;

use crate::wire::transport::BatchSocket;

/// Socket of one service.
#[derive(Clone, Debug)]
pub struct ServiceSocket {
    /// Number of the service.
    pub service: u16,
    /// Socket bound to the service address.
    pub socket: Arc<BatchSocket>,
}
