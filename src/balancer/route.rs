//! Stateless routing decision for a datagram from a caller.
//!
//! The decision depends only on the datagram and the keys, so that all balancers make the same one.

use crate::wire::{
    connection_id::{self, Route},
    key_ring::KeyRing,
    packet::{self, HeaderForm, MIN_INITIAL_LEN},
};

/// Routing decision for a datagram.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Forward it to the agent that owns its flow.
    Forward(Route),
    /// Treat it as the possible first packet of a flow.
    Open,
    /// Drop it.
    Drop(DropReason),
}

/// Reason for dropping a datagram.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DropReason {
    /// Its header cannot be parsed.
    Malformed,
    /// Its connection ID names no agent, and it cannot open a flow.
    Unroutable,
    /// Its connection ID belongs to another service.
    WrongService,
}

/// Input of the routing decision, independent of the transport protocol.
#[derive(Clone, Copy, Debug)]
pub struct RoutingInput<'a> {
    /// Number of the service whose address received the datagram.
    pub service: u16,
    /// Route token of the datagram, not yet verified; for QUIC, its destination connection ID.
    pub token: &'a [u8],
    /// Whether the datagram can be the first packet of a flow.
    pub may_open_flow: bool,
}

/// Makes the routing decision for a datagram.
#[must_use]
pub fn decide(ring: &KeyRing, input: RoutingInput<'_>) -> Decision {
    match connection_id::open(ring, input.token) {
        Some(route) if route.service == input.service => Decision::Forward(route),
        Some(_) => Decision::Drop(DropReason::WrongService),
        None if input.may_open_flow => Decision::Open,
        None => Decision::Drop(DropReason::Unroutable),
    }
}

/// Parses the header of a QUIC datagram and makes the routing decision.
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
            let may_open_flow = form == HeaderForm::Long && datagram.len() >= MIN_INITIAL_LEN;
            decide(
                ring,
                RoutingInput {
                    service,
                    token,
                    may_open_flow,
                },
            )
        }
        None => Decision::Drop(DropReason::Malformed),
    }
}
