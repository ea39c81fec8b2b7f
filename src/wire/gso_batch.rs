//! Batching of datagrams for generic segmentation offload (GSO).

use std::net::SocketAddr;

use quinn_udp::Transmit;

use super::transport::new_transmit;

/// Datagrams to one destination that can be sent with one system call: all have the same length,
/// except that the last may be shorter.
#[derive(Debug, Default)]
pub struct GsoBatch {
    destination: Option<SocketAddr>,
    bytes: Vec<u8>,
    /// Length of the first datagram, in bytes.
    segment_len: usize,
    segment_count: usize,
    /// Set by a datagram shorter than `segment_len`, which must be the last.
    is_complete: bool,
}

impl GsoBatch {
    /// Returns whether a datagram of `len` bytes can be added if the batch may hold `max_segments`.
    #[must_use]
    pub fn fits(&self, destination: SocketAddr, len: usize, max_segments: usize) -> bool {
        match self.destination {
            None => true,
            Some(current) => {
                current == destination
                    && !self.is_complete
                    && len <= self.segment_len
                    && self.segment_count < max_segments
            }
        }
    }

    /// Adds a datagram of `len` bytes; `write` must append exactly that many.
    pub fn push(&mut self, destination: SocketAddr, len: usize, write: impl FnOnce(&mut Vec<u8>)) {
        if self.destination.is_none() {
            self.destination = Some(destination);
            self.segment_len = len;
        }
        self.is_complete = len < self.segment_len;
        self.segment_count += 1;
        write(&mut self.bytes);
    }

    /// Number of datagrams in the batch.
    #[must_use]
    pub fn segment_count(&self) -> usize {
        self.segment_count
    }

    /// Returns the batch as one transmit, or `None` if it is empty.
    #[must_use]
    pub fn transmit(&self) -> Option<Transmit<'_>> {
        let destination = self.destination?;
        Some(new_transmit(
            destination,
            &self.bytes,
            Some(self.segment_len),
        ))
    }

    /// Removes all datagrams and keeps the allocation.
    pub fn clear(&mut self) {
        self.destination = None;
        self.bytes.clear();
        self.segment_count = 0;
        self.is_complete = false;
    }
}
