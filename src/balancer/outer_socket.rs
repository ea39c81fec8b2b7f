//! The sockets on the addresses that callers use.

use std::sync::Arc;

use crate::wire::transport::BatchSocket;

/// One service's socket, by number.
#[derive(Clone, Debug)]
pub struct OuterSocket {
    /// Number of the service.
    pub service: u16,
    /// Socket on the address that callers use.
    pub socket: Arc<BatchSocket>,
}
