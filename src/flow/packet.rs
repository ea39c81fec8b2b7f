//! Packet headers and metadata, independent of the wire format.

use std::{fmt, net::SocketAddrV4};

/// Addresses and ports that identify a flow.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct FlowKey {
    /// Address and port of the caller.
    pub caller: SocketAddrV4,
    /// Address and port that the caller opened the flow to.
    pub service: SocketAddrV4,
}

impl FlowKey {
    /// Encodes the key as bytes whose hash is the same in every process and version.
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

/// Header flags of a packet.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[allow(clippy::struct_excessive_bools)] // These are independent header bits.
pub struct Flags {
    /// The packet opens a flow (SYN).
    pub syn: bool,
    /// The acknowledgment number is valid (ACK).
    pub ack: bool,
    /// The sender has no more data to send (FIN).
    pub fin: bool,
    /// The sender aborts the flow (RST).
    pub rst: bool,
    /// A target has returned the packet because it does not have the flow.
    pub returned: bool,
}

/// Header of a packet, with fields as in TCP.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Segment {
    /// Address and port of the sender.
    pub source: SocketAddrV4,
    /// Address and port of the receiver.
    pub destination: SocketAddrV4,
    /// Header flags.
    pub flags: Flags,
    /// Sequence number of the first data byte; in a SYN, the sender's random initial sequence
    /// number.
    pub sequence: u32,
    /// Acknowledgment number: the next sequence number that the sender expects. In a SYN from a
    /// caller, the number of earlier transmissions of this SYN.
    pub acknowledged: u32,
    /// Length of the data after the header, in bytes.
    pub data_len: u16,
}

impl Segment {
    /// Flow of a packet sent by a caller.
    #[must_use]
    pub fn caller_flow(&self) -> FlowKey {
        FlowKey {
            caller: self.source,
            service: self.destination,
        }
    }

    /// Flow of a packet sent by a target.
    #[must_use]
    pub fn target_flow(&self) -> FlowKey {
        FlowKey {
            caller: self.destination,
            service: self.source,
        }
    }

    /// Whether the packet is a SYN that requests a new flow.
    #[must_use]
    pub fn opens_flow(&self) -> bool {
        self.flags.syn && !self.flags.ack
    }

    /// Whether the packet is the first SYN of its flow rather than a retransmission.
    ///
    /// Only the first SYN may be answered with a reset: when a retransmission arrives, an earlier
    /// SYN may already have opened the flow.
    #[must_use]
    pub fn is_first_syn(&self) -> bool {
        self.opens_flow() && self.acknowledged == 0
    }
}

/// Stage of the lookup by which a packet was sent to an agent.
///
/// The registry agents of a flow are the first ones in its rendezvous order; they store the flow's
/// owner, that is, the agent whose target has the flow.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Lookup {
    /// The agent is the owner according to the balancer's flow table, or the flow is new.
    #[default]
    Known,
    /// The agent is a registry agent of the flow.
    Registry,
    /// The agent is the owner according to a registry agent: it has registered the flow itself.
    Registered,
    /// The agent is next in the search through the flow's rendezvous order.
    Search,
    /// The agent was sent the flow's SYN, according to a registry agent that redirected the SYN.
    Redirected,
}

/// Number of bits of [`HopMetadata::view_digest`].
pub const VIEW_DIGEST_BITS: u32 = 24;
/// Number of values of [`HopMetadata::view_generation`].
pub const VIEW_GENERATIONS: u8 = 16;

/// Metadata that balancers and agents write into a packet for the next hop.
///
/// A target that returns a packet preserves only the first five fields. In a search the digest takes
/// the place of the last three fields, which are 0 then.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct HopMetadata {
    /// Number of agents that the packet was sent to before; in a search, number of agents that come
    /// earlier in the rendezvous order and were asked. Larger numbers are stored as 255.
    pub tried: u8,
    /// Lookup stage by which the packet was sent to the agent.
    pub lookup: Lookup,
    /// Whether the search had to skip an agent that may have the flow.
    pub is_incomplete: bool,
    /// Generation of the agent's directory, modulo [`VIEW_GENERATIONS`], when the agent sent the
    /// packet to its target.
    pub view_generation: u8,
    /// Tag of the balancer that received the packet from the fabric; 0 if there is none.
    pub entry_tag: u16,
    /// In a search, digest of the agents that the sender knows, which has [`VIEW_DIGEST_BITS`] bits;
    /// 0 otherwise.
    pub view_digest: u32,
    /// Tag of the service that the SYN was routed to; 0 if not specified.
    pub service_tag: u16,
    /// Priority of the route's requests; 0 is the highest.
    pub priority: u8,
    /// Target latency of a response in milliseconds, rounded down to a multiple of 10; 0 if not
    /// specified.
    pub target_latency_ms: u16,
}

/// Wire format of packets.
pub trait PacketFormat: Copy + Send + 'static {
    /// An encoded reset.
    type Reset: AsRef<[u8]> + std::fmt::Debug + Send;

    /// Time after which a caller abandons an attempt to open a flow, in milliseconds.
    const OPEN_TIMEOUT_MS: u64;

    /// Time between the first transmission of a SYN and this one, in milliseconds.
    fn attempt_age_ms(&self, segment: &Segment) -> u64;

    /// Decodes the header; returns `None` if the datagram does not have this format.
    fn decode(&self, datagram: &[u8]) -> Option<Segment>;

    /// Reads the metadata that another process wrote into a packet.
    fn read_hop_metadata(&self, datagram: &[u8]) -> HopMetadata;

    /// Identifier of the request whose header starts the packet's data; `None` if there is none.
    fn request_id<'a>(&self, datagram: &'a [u8]) -> Option<&'a str>;

    /// Writes `metadata` into a packet and clears its `returned` flag.
    fn write_hop_metadata(&self, datagram: &mut [u8], metadata: HopMetadata);

    /// Encodes a reset with the given sequence number from the service address to the caller.
    fn reset(&self, flow: FlowKey, sequence: u32) -> Self::Reset;
}
