//! Decides what becomes of a caller's datagram. It depends on the datagram and the keys alone, so
//! that every balancer decides alike.

use crate::wire::{
    connection_id::{self, Route},
    key_ring::KeyRing,
    packet::{self, HeaderForm, MIN_INITIAL_LEN},
};

/// What becomes of a datagram.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// It goes to the agent that owns its flow.
    Forward(Route),
    /// It may open a flow.
    Open,
    /// It is dropped.
    Drop(DropReason),
}

/// Why a datagram is dropped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DropReason {
    /// Its header cannot be read.
    Malformed,
    /// It names no agent and cannot open a flow.
    Unroutable,
    /// Its connection ID belongs to another service.
    WrongService,
}

/// A datagram as the decision sees it, free of any transport's types.
#[derive(Clone, Copy, Debug)]
pub struct Arrival<'a> {
    /// Number of the service whose address received it.
    pub service: u16,
    /// Route token that it carries, valid or not.
    pub token: &'a [u8],
    /// Whether it could be the first of a flow.
    pub may_open: bool,
}

/// Decides on an arrival.
#[must_use]
pub fn decide(ring: &KeyRing, arrival: Arrival<'_>) -> Decision {
    match connection_id::open(ring, arrival.token) {
        Some(route) if route.service == arrival.service => Decision::Forward(route),
        Some(_) => Decision::Drop(DropReason::WrongService),
        None if arrival.may_open => Decision::Open,
        None => Decision::Drop(DropReason::Unroutable),
    }
}

/// Reads a QUIC datagram's header and decides.
///
/// ```
/// use bamboowind::balancer::route::{Decision, DropReason, decide_datagram};
/// use bamboowind::wire::key_ring::{KeyRing, PhaseKeys};
///
/// let ring = KeyRing::new(vec![PhaseKeys::new(1, &[7; 32])], 1).unwrap();
/// let decision = decide_datagram(&ring, 3, &[0x40; 40]);
/// assert_eq!(decision, Decision::Drop(DropReason::Unroutable));
/// ```
#[must_use]
pub fn decide_datagram(ring: &KeyRing, service: u16, datagram: &[u8]) -> Decision {
    match packet::parse_destination(datagram) {
        Some((form, token)) => {
            let may_open = form == HeaderForm::Long && datagram.len() >= MIN_INITIAL_LEN;
            decide(
                ring,
                Arrival {
                    service,
                    token,
                    may_open,
                },
            )
        }
        None => Decision::Drop(DropReason::Malformed),
    }
}
