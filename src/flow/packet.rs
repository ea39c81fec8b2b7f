//! What forwarding needs to know of a packet, whatever its format on the wire.

use std::{fmt, net::SocketAddrV4};

/// The four addresses and ports that name a flow.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct FlowKey {
    /// The caller's end.
    pub caller: SocketAddrV4,
    /// The address that the caller opened the flow to.
    pub service: SocketAddrV4,
}

impl FlowKey {
    /// Bytes that hash the same in every process and version.
    ///
    /// ```
    /// use bamboowind::flow::packet::FlowKey;
    ///
    /// let flow = FlowKey {
    ///     caller: "100.64.0.7:40001".parse().unwrap(),
    ///     service: "198.18.0.1:443".parse().unwrap(),
    /// };
    /// assert_eq!(flow.to_bytes()[..4], [100, 64, 0, 7]);
    /// ```
    #[must_use]
    pub fn to_bytes(self) -> [u8; 12] {
        let mut bytes = [0; 12];
        bytes[..4].copy_from_slice(&self.caller.ip().octets());
        bytes[4..6].copy_from_slice(&self.caller.port().to_be_bytes());
        bytes[6..10].copy_from_slice(&self.service.ip().octets());
        bytes[10..].copy_from_slice(&self.service.port().to_be_bytes());
        bytes
    }
}

impl fmt::Display for FlowKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}>{}", self.caller, self.service)
    }
}

/// Flags of a packet.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[allow(clippy::struct_excessive_bools)] // Independent flags of the wire format.
pub struct Flags {
    /// Opens a flow.
    pub syn: bool,
    /// Acknowledges.
    pub ack: bool,
    /// The sender sends no more data.
    pub fin: bool,
    /// The sender breaks the flow off.
    pub rst: bool,
    /// A target has handed the packet back because it does not hold the flow.
    pub returned: bool,
}

/// Header of a packet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Segment {
    /// Sender's end of the flow.
    pub source: SocketAddrV4,
    /// Receiver's end of the flow.
    pub destination: SocketAddrV4,
    /// Flags.
    pub flags: Flags,
    /// Position of the first byte; random in a packet that opens a flow.
    pub sequence: u32,
    /// Next position that the sender expects; in a caller's SYN, the number of earlier copies.
    pub acknowledged: u32,
    /// Length of the data, in bytes.
    pub data_len: u16,
}

impl Segment {
    /// The flow of a packet that a caller sent.
    #[must_use]
    pub fn caller_flow(&self) -> FlowKey {
        FlowKey {
            caller: self.source,
            service: self.destination,
        }
    }

    /// The flow of a packet that a target sent.
    #[must_use]
    pub fn target_flow(&self) -> FlowKey {
        FlowKey {
            caller: self.destination,
            service: self.source,
        }
    }

    /// Whether the packet asks to open a flow.
    #[must_use]
    pub fn opens_flow(&self) -> bool {
        self.flags.syn && !self.flags.ack
    }

    /// Whether this is the first SYN of its flow and not a later copy.
    ///
    /// Only the first SYN may be answered with a reset: when a copy arrives, an earlier one may
    /// have opened the flow.
    #[must_use]
    pub fn is_first_syn(&self) -> bool {
        self.opens_flow() && self.acknowledged == 0
    }
}

/// How an agent came to be asked for a flow's packet.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Lookup {
    /// The balancer remembers the flow, or has just placed it.
    #[default]
    Known,
    /// The agent is one of those that keep the owner of this flow.
    Registry,
    /// A keeper of the flow's owner named this agent.
    Registered,
    /// The agent is tried in the flow's order of agents.
    Walk,
}

/// What the processes note in a packet for each other.
///
/// A target that hands a packet back keeps only the first four fields.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Hop {
    /// Agents that were tried before.
    pub tried: u8,
    /// How the agent came to be asked.
    pub lookup: Lookup,
    /// Whether an agent that may hold the flow could not be asked.
    pub is_incomplete: bool,
    /// Tag of the balancer that took the packet from the fabric; 0 for none.
    pub entry_tag: u16,
    /// Tag of the service that the flow was routed to; 0 if not said.
    pub service_tag: u16,
    /// Urgency of the route's requests; 0 is the highest.
    pub priority: u8,
    /// Time in which an answer is wanted, rounded down to tens of milliseconds; 0 if not said.
    pub target_latency_ms: u16,
}

/// A packet format on the wire.
pub trait PacketFormat: Copy + Send + 'static {
    /// An encoded reset.
    type Reset: AsRef<[u8]> + std::fmt::Debug + Send;

    /// Time after which a caller gives up an attempt to open a flow, in milliseconds.
    const ATTEMPT_MS: u64;

    /// Age of the attempt that a SYN belongs to, in milliseconds.
    fn attempt_age_ms(&self, segment: &Segment) -> u64;

    /// Reads the header; `None` if the datagram is none of this format.
    fn decode(&self, datagram: &[u8]) -> Option<Segment>;

    /// Reads what another process noted.
    fn read_hop(&self, datagram: &[u8]) -> Hop;

    /// Identifier of the request whose head the packet's data begins with.
    fn request_id<'a>(&self, datagram: &'a [u8]) -> Option<&'a str>;

    /// Notes `hop` in a packet and clears its mark of having been returned.
    fn write_hop(&self, datagram: &mut [u8], hop: Hop);

    /// A reset from the service's address to the caller.
    fn reset(&self, flow: FlowKey, sequence: u32) -> Self::Reset;
}
