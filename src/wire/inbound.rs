//! Authentication and replay protection for datagrams from other processes.

use super::{
    envelope::{self, Header},
    key_ring::KeyRing,
    replay::ReplayFilter,
};
use crate::observe::counters::{Counters, Event};

/// Accepts each authentic datagram once and counts the rejected ones.
pub struct InboundFilter {
    replay_filter: ReplayFilter,
    counters: Counters,
}

impl InboundFilter {
    /// Creates a filter that tracks the sequence numbers of at most `max_senders` senders.
    #[must_use]
    pub fn new(max_senders: usize, counters: Counters) -> Self {
        Self {
            replay_filter: ReplayFilter::new(max_senders),
            counters,
        }
    }

    /// Returns the header and body of a datagram if it is authentic and has not been received
    /// before.
    pub fn accept<'a>(&mut self, ring: &KeyRing, datagram: &'a [u8]) -> Option<(Header, &'a [u8])> {
        let Ok((header, body)) = envelope::open(ring, datagram) else {
            self.counters.count(Event::DroppedNotAuthentic);
            return None;
        };
        if !self.replay_filter.accept(header.sender, header.sequence) {
            self.counters.count(Event::DroppedReplayed);
            return None;
        }
        Some((header, body))
    }
}
