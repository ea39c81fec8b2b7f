//! Authenticated datagrams between bamboowind processes.
//!
//! Layout, with lengths in bytes: version 1, kind 1, key phase 1, reserved 1, body length 2,
//! service 2, sender 8, sequence 8, tag 16, body. The tag covers the whole body of a control
//! message, but only the first 40 bytes of a body that carries a packet. These contain the caller's
//! address and the connection ID; QUIC authenticates the rest of the packet end to end.

use std::net::{IpAddr, Ipv6Addr, SocketAddr};

use super::key_ring::{KeyRing, PhaseKeys};

/// Length of the header including the tag, in bytes.
pub const HEADER_LEN: usize = 40;
/// Length of the caller's address at the start of a packet-carrying body, in bytes.
pub const ADDRESS_LEN: usize = 18;
/// Number of bytes that an envelope adds to a packet.
pub const PACKET_OVERHEAD: usize = HEADER_LEN + ADDRESS_LEN;
/// Maximum length of a body, in bytes.
pub const MAX_BODY_LEN: usize = 65_000;

const VERSION: u8 = 1;
/// Offset of the tag, which is also the length of the authenticated header.
const TAG_OFFSET: usize = 24;
const TAG_LEN: usize = 16;
/// Length of the authenticated part of a packet-carrying body; fills one BLAKE3 block together with
/// the header.
const AUTHENTICATED_PREFIX_LEN: usize = 40;

/// Type of a body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyKind {
    /// A packet from a caller to an agent.
    Forward,
    /// A packet from an agent to a caller.
    Reply,
    /// A control message.
    Control,
}

impl BodyKind {
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

/// Reason why an envelope is rejected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OpenError {
    /// The length of the datagram does not match its header.
    Length,
    /// The version or the kind is unknown, or the reserved byte is not zero.
    Format,
    /// The key ring does not contain the key phase.
    Phase,
    /// The tag does not match.
    Tag,
}

/// Header of an envelope.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Header {
    /// Type of the body.
    pub kind: BodyKind,
    /// Number of the service; zero for control messages.
    pub service: u16,
    /// Random ID of the sending socket.
    pub sender: u64,
    /// Sequence number, which increases with every datagram of the sender.
    pub sequence: u64,
}

/// Appends to `out` an envelope whose body is the concatenation of `parts`.
///
/// ```
/// use bamboowind::wire::envelope::{Header, BodyKind, open, seal_into};
/// use bamboowind::wire::key_ring::{KeyRing, PhaseKeys};
///
/// let ring = KeyRing::new(vec![PhaseKeys::new(1, &[7; 32])], 1).unwrap();
/// let header = Header { kind: BodyKind::Control, service: 0, sender: 5, sequence: 1 };
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

/// Verifies an envelope and returns its header and body.
///
/// # Errors
///
/// Returns the reason why the datagram must be dropped.
pub fn open<'a>(ring: &KeyRing, datagram: &'a [u8]) -> Result<(Header, &'a [u8]), OpenError> {
    let header_bytes: &[u8; HEADER_LEN] = datagram.first_chunk().ok_or(OpenError::Length)?;
    let body = &datagram[HEADER_LEN..];
    if usize::from(u16::from_be_bytes([header_bytes[4], header_bytes[5]])) != body.len() {
        return Err(OpenError::Length);
    }
    if header_bytes[0] != VERSION || header_bytes[3] != 0 {
        return Err(OpenError::Format);
    }
    let kind = BodyKind::from_code(header_bytes[1]).ok_or(OpenError::Format)?;
    let keys = ring.get(header_bytes[2]).ok_or(OpenError::Phase)?;
    if !tag(keys, kind, datagram).constant_time_eq(&header_bytes[TAG_OFFSET..]) {
        return Err(OpenError::Tag);
    }
    let header = Header {
        kind,
        service: u16::from_be_bytes([header_bytes[6], header_bytes[7]]),
        sender: read_u64(&header_bytes[8..16]),
        sequence: read_u64(&header_bytes[16..24]),
    };
    Ok((header, body))
}

/// Encodes an address as an IPv6 or IPv4-mapped address of 16 bytes and a port of 2 bytes.
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

/// Splits a packet-carrying body into the caller's address and the packet. Returns `None` if the
/// body is too short.
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

/// Computes the tag of the header and the authenticated part of the body.
fn tag(keys: &PhaseKeys, kind: BodyKind, datagram: &[u8]) -> Tag {
    let header = &datagram[..TAG_OFFSET];
    let body = &datagram[HEADER_LEN..];
    let authenticated = match kind {
        BodyKind::Control => body,
        BodyKind::Forward | BodyKind::Reply => &body[..body.len().min(AUTHENTICATED_PREFIX_LEN)],
    };
    if authenticated.len() <= AUTHENTICATED_PREFIX_LEN {
        return short_tag(keys, header, authenticated);
    }
    let mut hasher = blake3::Hasher::new_keyed(keys.envelope_key());
    hasher.update(header).update(authenticated);
    Tag::new(hasher.finalize().as_bytes())
}

/// Computes the same tag for at most 64 bytes of input, which BLAKE3 hashes in one compression.
fn short_tag(keys: &PhaseKeys, header: &[u8], authenticated: &[u8]) -> Tag {
    let mut input = [0; TAG_OFFSET + AUTHENTICATED_PREFIX_LEN];
    input[..TAG_OFFSET].copy_from_slice(header);
    input[TAG_OFFSET..TAG_OFFSET + authenticated.len()].copy_from_slice(authenticated);
    let input = &input[..TAG_OFFSET + authenticated.len()];
    Tag::new(blake3::keyed_hash(keys.envelope_key(), input).as_bytes())
}

/// Authentication tag, compared in constant time.
struct Tag([u8; TAG_LEN]);

impl Tag {
    /// Truncates a hash to the length of a tag.
    fn new(hash: &[u8]) -> Self {
        let mut tag = [0; TAG_LEN];
        tag.copy_from_slice(&hash[..TAG_LEN]);
        Self(tag)
    }

    fn constant_time_eq(&self, received: &[u8]) -> bool {
        let pairs = self.0.iter().zip(received);
        let difference = pairs.fold(0, |sum, (one, other)| sum | (one ^ other));
        std::hint::black_box(difference) == 0
    }
}
