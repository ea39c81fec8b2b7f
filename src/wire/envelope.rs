//! Authenticated datagrams between bamboowind processes.
//!
//! Layout, in bytes: version 1, kind 1, phase 1, reserved 1, body length 2, service 2, sender 8,
//! sequence 8, tag 16, body. A control body is authenticated whole. Of a body that carries a
//! packet the first 40 bytes are, which hold the caller's address and the connection ID; QUIC
//! authenticates the rest from end to end.

use std::net::{IpAddr, Ipv6Addr, SocketAddr};

use super::key_ring::{KeyRing, PhaseKeys};

/// Length of the header with its tag, in bytes.
pub const HEADER_LEN: usize = 40;
/// Length of a caller's address at the start of a body, in bytes.
pub const ADDRESS_LEN: usize = 18;
/// What an envelope adds to a packet, in bytes.
pub const PACKET_OVERHEAD: usize = HEADER_LEN + ADDRESS_LEN;
/// Largest body, in bytes.
pub const MAX_BODY_LEN: usize = 65_000;

const VERSION: u8 = 1;
const TAG_OFFSET: usize = 24;
const TAG_LEN: usize = 16;
const AUTHENTICATED_PREFIX: usize = 40;

/// What a body holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// A packet from a caller, on its way to an agent.
    Forward,
    /// A packet from an agent, on its way to a caller.
    Reply,
    /// A control message.
    Control,
}

impl Kind {
    fn code(self) -> u8 {
        match self {
            Self::Forward => 1,
            Self::Reply => 2,
            Self::Control => 3,
        }
    }

    fn from_code(code: u8) -> Option<Self> {
        match code {
            1 => Some(Self::Forward),
            2 => Some(Self::Reply),
            3 => Some(Self::Control),
            _ => None,
        }
    }
}

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// The datagram is shorter than its header says, or longer.
    Length,
    /// The version or the kind is not known.
    Format,
    /// The key phase is not accepted.
    Phase,
    /// The tag does not match.
    Tag,
}

/// The header of an authenticated datagram.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Header {
    /// What the body holds.
    pub kind: Kind,
    /// Number of the service; zero for control messages.
    pub service: u16,
    /// Random identifier of the sending socket.
    pub sender: u64,
    /// Rises with every datagram of one sender.
    pub sequence: u64,
}

/// Appends a sealed datagram whose body is `parts`, one after the other.
///
/// ```
/// use bamboowind::wire::envelope::{Header, Kind, open, seal_into};
/// use bamboowind::wire::key_ring::{KeyRing, PhaseKeys};
///
/// let ring = KeyRing::new(vec![PhaseKeys::new(1, &[7; 32])], 1).unwrap();
/// let header = Header { kind: Kind::Control, service: 0, sender: 5, sequence: 1 };
/// let mut datagram = Vec::new();
/// seal_into(ring.current(), &header, &[b"state"], &mut datagram);
/// assert_eq!(open(&ring, &datagram), Ok((header, &b"state"[..])));
/// ```
pub fn seal_into(keys: &PhaseKeys, header: &Header, parts: &[&[u8]], out: &mut Vec<u8>) {
    let start = out.len();
    let body_len: usize = parts.iter().map(|part| part.len()).sum();
    out.extend([VERSION, header.kind.code(), keys.phase(), 0]);
    out.extend(u16::try_from(body_len).unwrap_or(u16::MAX).to_be_bytes());
    out.extend(header.service.to_be_bytes());
    out.extend(header.sender.to_be_bytes());
    out.extend(header.sequence.to_be_bytes());
    out.extend([0; TAG_LEN]);
    for part in parts {
        out.extend_from_slice(part);
    }
    let tag = tag(keys, header.kind, &out[start..]);
    out[start + TAG_OFFSET..start + HEADER_LEN].copy_from_slice(&tag.0);
}

/// Checks a datagram and returns its header and body.
///
/// # Errors
///
/// Returns the reason for which the datagram must be dropped.
pub fn open<'a>(ring: &KeyRing, datagram: &'a [u8]) -> Result<(Header, &'a [u8]), Fault> {
    let fixed: &[u8; HEADER_LEN] = datagram.first_chunk().ok_or(Fault::Length)?;
    let body = &datagram[HEADER_LEN..];
    if usize::from(u16::from_be_bytes([fixed[4], fixed[5]])) != body.len() {
        return Err(Fault::Length);
    }
    if fixed[0] != VERSION || fixed[3] != 0 {
        return Err(Fault::Format);
    }
    let kind = Kind::from_code(fixed[1]).ok_or(Fault::Format)?;
    let keys = ring.get(fixed[2]).ok_or(Fault::Phase)?;
    if !tag(keys, kind, datagram).is_equal(&fixed[TAG_OFFSET..]) {
        return Err(Fault::Tag);
    }
    let header = Header {
        kind,
        service: u16::from_be_bytes([fixed[6], fixed[7]]),
        sender: read_u64(&fixed[8..16]),
        sequence: read_u64(&fixed[16..24]),
    };
    Ok((header, body))
}

/// Encodes an address as 16 bytes of (mapped) IPv6 and 2 bytes of port.
#[must_use]
pub fn encode_address(address: SocketAddr) -> [u8; ADDRESS_LEN] {
    let ip = match address.ip() {
        IpAddr::V4(ip) => ip.to_ipv6_mapped(),
        IpAddr::V6(ip) => ip,
    };
    let mut bytes = [0; ADDRESS_LEN];
    bytes[..16].copy_from_slice(&ip.octets());
    bytes[16..].copy_from_slice(&address.port().to_be_bytes());
    bytes
}

/// Splits a packet-carrying body into the caller's address and the packet.
#[must_use]
pub fn split_packet(body: &[u8]) -> Option<(SocketAddr, &[u8])> {
    let (bytes, packet) = body.split_first_chunk::<ADDRESS_LEN>()?;
    let mut octets = [0; 16];
    octets.copy_from_slice(&bytes[..16]);
    let ip = Ipv6Addr::from(octets).to_canonical();
    let port = u16::from_be_bytes([bytes[16], bytes[17]]);
    Some((SocketAddr::new(ip, port), packet))
}

fn read_u64(bytes: &[u8]) -> u64 {
    bytes
        .iter()
        .fold(0, |value, &byte| value << 8 | u64::from(byte))
}

/// Hash of the header and of the part of the body that is authenticated.
fn tag(keys: &PhaseKeys, kind: Kind, datagram: &[u8]) -> Tag {
    let header = &datagram[..TAG_OFFSET];
    let body = &datagram[HEADER_LEN..];
    let covered = match kind {
        Kind::Control => body,
        Kind::Forward | Kind::Reply => &body[..body.len().min(AUTHENTICATED_PREFIX)],
    };
    if covered.len() <= AUTHENTICATED_PREFIX {
        return short_tag(keys, header, covered);
    }
    let mut hasher = blake3::Hasher::new_keyed(keys.envelope_key());
    hasher.update(header).update(covered);
    Tag::new(hasher.finalize().as_bytes())
}

/// The same for a short body, in one compression.
fn short_tag(keys: &PhaseKeys, header: &[u8], covered: &[u8]) -> Tag {
    let mut input = [0; TAG_OFFSET + AUTHENTICATED_PREFIX];
    input[..TAG_OFFSET].copy_from_slice(header);
    input[TAG_OFFSET..TAG_OFFSET + covered.len()].copy_from_slice(covered);
    let input = &input[..TAG_OFFSET + covered.len()];
    Tag::new(blake3::keyed_hash(keys.envelope_key(), input).as_bytes())
}

/// A tag whose comparison takes the same time whatever differs.
struct Tag([u8; TAG_LEN]);

impl Tag {
    /// Takes the first bytes of a hash.
    fn new(hash: &[u8]) -> Self {
        let mut tag = [0; TAG_LEN];
        tag.copy_from_slice(&hash[..TAG_LEN]);
        Self(tag)
    }

    fn is_equal(&self, received: &[u8]) -> bool {
        let pairs = self.0.iter().zip(received);
        let difference = pairs.fold(0, |sum, (one, other)| sum | (one ^ other));
        std::hint::black_box(difference) == 0
    }
}
