//! The version-independent part of a QUIC packet's header (RFC 8999).

use super::connection_id::CONNECTION_ID_LEN;

/// Smallest datagram that may open a connection, in bytes (RFC 9000 §14.1).
pub const MIN_INITIAL_LEN: usize = 1200;

const LONG_HEADER_BIT: u8 = 0x80;
const LONG_ID_LEN_OFFSET: usize = 5;
const LONG_ID_OFFSET: usize = 6;

/// Form of a packet's header.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Form {
    /// A long header, used while a connection is set up.
    Long,
    /// A short header, used by established connections.
    Short,
}

/// Returns the form of the first packet in a datagram and its destination connection ID.
///
/// ```
/// use bamboowind::wire::packet::{Form, destination};
///
/// let mut short = vec![0x40];
/// short.extend([9; 17]);
/// assert_eq!(destination(&short), Some((Form::Short, &[9; 17][..])));
/// assert_eq!(destination(&[0x40, 1, 2]), None);
/// ```
#[must_use]
pub fn destination(datagram: &[u8]) -> Option<(Form, &[u8])> {
    let first = *datagram.first()?;
    if first & LONG_HEADER_BIT == 0 {
        let id = datagram.get(1..=CONNECTION_ID_LEN)?;
        return Some((Form::Short, id));
    }
    let len = usize::from(*datagram.get(LONG_ID_LEN_OFFSET)?);
    let id = datagram.get(LONG_ID_OFFSET..LONG_ID_OFFSET + len)?;
    Some((Form::Long, id))
}
