//! Checks datagrams from other processes and counts the ones that are dropped.

use super::{
    envelope::{self, Header},
    key_ring::KeyRing,
    replay::ReplayFilter,
};
use crate::observe::counters::{Counters, Event};

/// Lets authentic datagrams through, each once.
pub struct Inbound {
    replays: ReplayFilter,
    counters: Counters,
}

impl Inbound {
    /// Remembers the sequence numbers of at most `max_senders` senders.
    #[must_use]
    pub fn new(max_senders: usize, counters: Counters) -> Self {
        Self {
            replays: ReplayFilter::new(max_senders),
            counters,
        }
    }

    /// Returns the header and body of a datagram that is authentic and new.
    pub fn admit<'a>(&mut self, ring: &KeyRing, datagram: &'a [u8]) -> Option<(Header, &'a [u8])> {
        let Ok((header, body)) = envelope::open(ring, datagram) else {
            self.counters.count(Event::DroppedNotAuthentic);
            return None;
        };
        if !self.replays.accept(header.sender, header.sequence) {
            self.counters.count(Event::DroppedReplayed);
            return None;
        }
        Some((header, body))
    }
}
