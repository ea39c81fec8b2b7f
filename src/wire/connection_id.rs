//! QUIC connection IDs that encode the agent that owns the flow.
//!
//! A connection ID is a phase byte and one encrypted AES block. The block contains the address of
//! the agent, the number of the service, the epoch of the agent, a nonce and a check value.

use std::net::{Ipv4Addr, SocketAddrV4};

use super::key_ring::{BLOCK_LEN, KeyRing};

/// Length of a connection ID, in bytes.
pub const CONNECTION_ID_LEN: usize = 1 + BLOCK_LEN;
/// Number of low bits of the nonce that are stored in a connection ID.
pub const NONCE_BITS: u32 = 24;

/// Converts milliseconds to epoch units of 1024 ms.
const EPOCH_SHIFT: u32 = 10;
/// Plaintext at the end of the block that reveals IDs encrypted under another key.
const CHECK_VALUE: [u8; 2] = [0xb7, 0x2d];

/// Routing information in a connection ID.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Route {
    /// Inner address of the agent that owns the flow.
    pub agent: SocketAddrV4,
    /// Number of the service.
    pub service: u16,
    /// Epoch of the agent process that issued the ID.
    pub epoch: Epoch,
}

/// Start time of a process in units of 1024 ms since the Unix epoch, modulo 2²⁴.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Epoch(u32);

impl Epoch {
    /// Converts a start time in milliseconds since the Unix epoch.
    #[must_use]
    pub fn from_ms(epoch_ms: u64) -> Self {
        let units = (epoch_ms >> EPOCH_SHIFT) & 0x00ff_ffff;
        Self(u32::try_from(units).unwrap_or_default())
    }
}

/// Encrypts a route and the low bits of `nonce` with the ring's current keys.
///
/// ```
/// use bamboowind::wire::connection_id::{Epoch, Route, open, seal};
/// use bamboowind::wire::key_ring::{KeyRing, PhaseKeys};
///
/// let ring = KeyRing::new(vec![PhaseKeys::new(1, &[7; 32])], 1).unwrap();
/// let route = Route {
///     agent: "10.0.0.7:7000".parse().unwrap(),
///     service: 3,
///     epoch: Epoch::from_ms(1_764_800_000_000),
/// };
/// assert_eq!(open(&ring, &seal(&ring, &route, 99)), Some(route));
/// ```
#[must_use]
pub fn seal(ring: &KeyRing, route: &Route, nonce: u32) -> [u8; CONNECTION_ID_LEN] {
    let keys = ring.current();
    let mut block = [0; BLOCK_LEN];
    block[0..4].copy_from_slice(&route.agent.ip().octets());
    block[4..6].copy_from_slice(&route.agent.port().to_be_bytes());
    block[6..8].copy_from_slice(&route.service.to_be_bytes());
    block[8..11].copy_from_slice(&route.epoch.0.to_be_bytes()[1..]);
    block[11..14].copy_from_slice(&nonce.to_be_bytes()[1..]);
    block[14..16].copy_from_slice(&CHECK_VALUE);
    keys.encrypt_block(&mut block);
    let mut id = [0; CONNECTION_ID_LEN];
    id[0] = keys.phase();
    id[1..].copy_from_slice(&block);
    id
}

/// Decrypts a connection ID. Returns `None` if its length, phase or check value is wrong.
#[must_use]
pub fn open(ring: &KeyRing, id: &[u8]) -> Option<Route> {
    let (&phase, sealed) = id.split_first()?;
    let mut block: [u8; BLOCK_LEN] = sealed.try_into().ok()?;
    ring.get(phase)?.decrypt_block(&mut block);
    if block[14..16] != CHECK_VALUE {
        return None;
    }
    let ip = Ipv4Addr::new(block[0], block[1], block[2], block[3]);
    Some(Route {
        agent: SocketAddrV4::new(ip, u16::from_be_bytes([block[4], block[5]])),
        service: u16::from_be_bytes([block[6], block[7]]),
        epoch: Epoch(u32::from_be_bytes([0, block[8], block[9], block[10]])),
    })
}
