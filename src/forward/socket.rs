//! A UDP socket of the packet path: one buffer, no waiting for room to send.

use std::{
    io,
    net::{SocketAddr, SocketAddrV4},
};

use snafu::{ResultExt, Snafu};
use tokio::net::UdpSocket;

use crate::observe::counters::{Counters, Event};

/// Longest datagram that is taken: a header and 1,200 bytes of data, with room for notices.
pub const MAX_DATAGRAM_LEN: usize = 2_048;
/// Datagrams that are read in a row before other work gets its turn.
pub const MAX_BATCH: usize = 64;

/// Why a socket cannot be used.
#[derive(Debug, Snafu)]
#[snafu(display("cannot listen on {address}: {source}; check that the address is free"))]
pub struct BindError {
    /// The address.
    address: SocketAddrV4,
    /// The underlying error.
    source: io::Error,
}

/// A UDP socket.
#[derive(Debug)]
pub struct PacketSocket {
    socket: UdpSocket,
    counters: Counters,
}

impl PacketSocket {
    /// Binds a socket.
    ///
    /// # Errors
    ///
    /// Returns [`BindError`] when the address cannot be bound.
    pub async fn bind(address: SocketAddrV4, counters: Counters) -> Result<Self, BindError> {
        let socket = UdpSocket::bind(address)
            .await
            .context(BindSnafu { address })?;
        Ok(Self { socket, counters })
    }

    /// Waits until a datagram can be read.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    pub async fn readable(&self) -> io::Result<()> {
        self.socket.readable().await
    }

    /// Reads a datagram if there is one; returns its length and sender.
    pub fn receive(&self, buffer: &mut [u8]) -> Option<(usize, SocketAddrV4)> {
        loop {
            match self.socket.try_recv_from(buffer) {
                Ok((len, SocketAddr::V4(from))) => return Some((len, from)),
                Ok(_) => {}
                // A closed port answers an earlier send; it says nothing about this socket.
                Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {}
                Err(_) => return None,
            }
        }
    }

    /// Sends a datagram; one that finds no room is dropped and counted, as on any network.
    pub fn send(&self, datagram: &[u8], to: SocketAddrV4) {
        let sent = self.socket.try_send_to(datagram, SocketAddr::V4(to));
        if sent.is_err() {
            self.counters.count(Event::SendFailed);
        }
    }
}
