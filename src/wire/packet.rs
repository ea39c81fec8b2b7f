//! Version-independent fields of QUIC packet headers (RFC 8999).

use super::connection_id::CONNECTION_ID_LEN;

/// Minimum length of a datagram with a client Initial packet, in bytes (RFC 9000, section 14.1).
pub const MIN_INITIAL_LEN: usize = 1200;

/// Bit of the first byte that is set in long headers.
const LONG_HEADER_BIT: u8 = 0x80;
const LONG_DCID_LEN_OFFSET: usize = 5;
const LONG_DCID_OFFSET: usize = 6;

/// Form of a packet header.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HeaderForm {
    /// Long header, used during the handshake.
    Long,
    /// Short header, used after the handshake.
    Short,
}

/// Returns the header form and the destination connection ID of the first packet in a datagram, or
/// `None` if the datagram is too short.
///
/// ```
/// use bamboowind::wire::packet::{HeaderForm, parse_destination};
///
/// let mut short = vec![0x40];
/// short.extend([9; 17]);
/// assert_eq!(parse_destination(&short), Some((HeaderForm::Short, &[9; 17][..])));
/// assert_eq!(parse_destination(&[0x40, 1, 2]), None);
/// ```
#[must_use]
pub fn parse_destination(datagram: &[u8]) -> Option<(HeaderForm, &[u8])> {
    let first = *datagram.first()?;
    if first & LONG_HEADER_BIT == 0 {
        let id = datagram.get(1..=CONNECTION_ID_LEN)?;
        return Some((HeaderForm::Short, id));
    }
    let len = usize::from(*datagram.get(LONG_DCID_LEN_OFFSET)?);
    let id = datagram.get(LONG_DCID_OFFSET..LONG_DCID_OFFSET + len)?;
    Some((HeaderForm::Long, id))
}
