//! Packets of unknown flows that the target has been sent.

use crate::flow::packet::FlowKey;

/// A copy of a packet of an unknown flow that was sent to the target. The search continues with the
/// copy if the target resets the flow instead of returning the packet or, while the state of the
/// target is unknown, does not return it in time.
#[derive(Clone, Debug)]
pub struct ProbePacket {
    pub(super) flow: FlowKey,
    pub(super) datagram: Vec<u8>,
    /// Time at which the packet was sent to the target.
    pub(super) at_ms: u64,
}
