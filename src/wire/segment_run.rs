//! Gathers datagrams of equal length to one destination, to be sent by one system call.

use std::net::SocketAddr;

use quinn_udp::Transmit;

use super::transport::transmit;

/// Datagrams that can go out together: equal in length, but that the last may be shorter.
#[derive(Debug, Default)]
pub struct SegmentRun {
    destination: Option<SocketAddr>,
    bytes: Vec<u8>,
    segment_len: usize,
    segments: usize,
    is_closed: bool,
}

impl SegmentRun {
    /// Whether a datagram of `len` bytes to `destination` can join the run.
    #[must_use]
    pub fn fits(&self, destination: SocketAddr, len: usize, max_segments: usize) -> bool {
        match self.destination {
            None => true,
            Some(current) => {
                current == destination
                    && !self.is_closed
                    && len <= self.segment_len
                    && self.segments < max_segments
            }
        }
    }

    /// Adds a datagram of `len` bytes, which `write` appends.
    pub fn push(&mut self, destination: SocketAddr, len: usize, write: impl FnOnce(&mut Vec<u8>)) {
        if self.destination.is_none() {
            self.destination = Some(destination);
            self.segment_len = len;
        }
        self.is_closed = len < self.segment_len;
        self.segments += 1;
        write(&mut self.bytes);
    }

    /// Number of datagrams in the run.
    #[must_use]
    pub fn segments(&self) -> usize {
        self.segments
    }

    /// The run as one transmit; `None` when it is empty.
    #[must_use]
    pub fn transmit(&self) -> Option<Transmit<'_>> {
        let destination = self.destination?;
        Some(transmit(destination, &self.bytes, Some(self.segment_len)))
    }

    /// Empties the run and keeps its space.
    pub fn clear(&mut self) {
        self.destination = None;
        self.bytes.clear();
        self.segments = 0;
        self.is_closed = false;
    }
}
