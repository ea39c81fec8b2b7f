//! UDP sockets with batched system calls, and the sender of sealed datagrams.

use std::{
    io::{self, IoSliceMut},
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll, ready},
};

use quinn_udp::{RecvMeta, Transmit, UdpSocketState};
use tokio::{io::Interest, net::UdpSocket};

use super::{
    envelope::{self, Header, Kind},
    key_ring::SharedKeyRing,
};

const BATCH_LEN: usize = quinn_udp::BATCH_SIZE;
const SLOT_LEN: usize = 64 << 10;
const SOCKET_BUFFER_LEN: usize = 4 << 20;
/// Largest payload of one send call with segments, in bytes.
const MAX_SEGMENTED_LEN: usize = 60_000;

/// A UDP socket that sends and receives in batches.
#[derive(Debug)]
pub struct BatchSocket {
    io: UdpSocket,
    state: UdpSocketState,
}

impl BatchSocket {
    /// Binds a socket to `address`.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error when the address cannot be bound.
    pub fn bind(address: SocketAddr) -> io::Result<Self> {
        Self::from_std(std::net::UdpSocket::bind(address)?)
    }

    /// Takes over a bound socket.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error when the socket cannot be set up.
    pub fn from_std(socket: std::net::UdpSocket) -> io::Result<Self> {
        socket.set_nonblocking(true)?;
        let state = UdpSocketState::new((&socket).into())?;
        // The kernel caps the size; a smaller buffer only drops sooner.
        let _ = state.set_recv_buffer_size((&socket).into(), SOCKET_BUFFER_LEN);
        let _ = state.set_send_buffer_size((&socket).into(), SOCKET_BUFFER_LEN);
        Ok(Self {
            io: UdpSocket::from_std(socket)?,
            state,
        })
    }

    /// The address that the socket is bound to.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.io.local_addr()
    }

    /// Waits until at least one datagram is in `buffers`.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    pub async fn receive(&self, buffers: &mut ReceiveBuffers) -> io::Result<()> {
        std::future::poll_fn(|context| self.poll_receive(context, buffers)).await
    }

    /// Receives a batch into `buffers` or registers to be woken.
    pub fn poll_receive(
        &self,
        context: &mut Context<'_>,
        buffers: &mut ReceiveBuffers,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.io.poll_recv_ready(context))?;
            let received = self.io.try_io(Interest::READABLE, || {
                buffers.receive(&self.io, &self.state)
            });
            match received {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                // A target port that was closed answers an earlier send; it says nothing here.
                Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {}
                result => return Poll::Ready(result),
            }
        }
    }

    /// Sends without waiting.
    ///
    /// # Errors
    ///
    /// Returns `WouldBlock` when the socket's buffer is full.
    pub fn try_send(&self, transmit: &Transmit<'_>) -> io::Result<()> {
        self.io.try_io(Interest::WRITABLE, || {
            self.state.send((&self.io).into(), transmit)
        })
    }

    /// Sends and waits for room in the socket's buffer.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    pub async fn send(&self, transmit: &Transmit<'_>) -> io::Result<()> {
        loop {
            match self.try_send(transmit) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.io.writable().await?;
                }
                result => return result,
            }
        }
    }

    /// Waits until the socket's buffer has room.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    pub async fn writable(&self) -> io::Result<()> {
        self.io.writable().await
    }

    /// How many segments of `segment_len` bytes one send call may carry.
    #[must_use]
    pub fn max_segments(&self, segment_len: usize) -> usize {
        let fitting = MAX_SEGMENTED_LEN / segment_len.max(1);
        self.state.max_gso_segments().min(fitting).max(1)
    }
}

/// Space for one batch of received datagrams.
pub struct ReceiveBuffers {
    storage: Vec<u8>,
    meta: [RecvMeta; BATCH_LEN],
    filled: usize,
}

impl Default for ReceiveBuffers {
    fn default() -> Self {
        Self::new()
    }
}

impl std::fmt::Debug for ReceiveBuffers {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "ReceiveBuffers({} filled)", self.filled)
    }
}

/// Datagrams of equal length from one address, the last perhaps shorter.
#[derive(Clone, Copy, Debug)]
pub struct Train<'a> {
    /// Address of the sender.
    pub source: SocketAddr,
    /// Length of each datagram but the last, in bytes.
    pub stride: usize,
    /// The datagrams, one after the other.
    pub bytes: &'a [u8],
}

impl<'a> Train<'a> {
    /// The datagrams one by one.
    pub fn datagrams(self) -> impl Iterator<Item = &'a [u8]> {
        self.bytes.chunks(self.stride.max(1))
    }
}

impl ReceiveBuffers {
    /// Allocates the space once; it does not grow.
    #[must_use]
    pub fn new() -> Self {
        Self {
            storage: vec![0; BATCH_LEN * SLOT_LEN],
            meta: [RecvMeta::default(); BATCH_LEN],
            filled: 0,
        }
    }

    fn receive(&mut self, io: &UdpSocket, state: &UdpSocketState) -> io::Result<()> {
        self.filled = 0;
        let mut slots: [IoSliceMut<'_>; BATCH_LEN] = split_slots(&mut self.storage);
        self.filled = state.recv(io.into(), &mut slots, &mut self.meta)?;
        Ok(())
    }

    /// Number of trains in the batch.
    #[must_use]
    pub fn len(&self) -> usize {
        self.filled
    }

    /// Whether the batch is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.filled == 0
    }

    /// The train at `index`, which is below [`ReceiveBuffers::len`].
    #[must_use]
    pub fn train(&self, index: usize) -> Train<'_> {
        let meta = &self.meta[index];
        let start = index * SLOT_LEN;
        Train {
            source: meta.addr,
            stride: meta.stride,
            bytes: &self.storage[start..start + meta.len],
        }
    }

    /// The trains of the batch.
    pub fn trains(&self) -> impl Iterator<Item = Train<'_>> {
        (0..self.filled).map(|index| self.train(index))
    }
}

fn split_slots(storage: &mut [u8]) -> [IoSliceMut<'_>; BATCH_LEN] {
    let mut chunks = storage.chunks_exact_mut(SLOT_LEN);
    std::array::from_fn(|_| IoSliceMut::new(chunks.next().unwrap_or_default()))
}

/// Builds a transmit for `contents`, cut into segments when `segment_size` is given.
#[must_use]
pub fn transmit(
    destination: SocketAddr,
    contents: &[u8],
    segment_size: Option<usize>,
) -> Transmit<'_> {
    Transmit {
        destination,
        ecn: None,
        contents,
        segment_size: segment_size.filter(|&size| size < contents.len()),
        src_ip: None,
    }
}

/// Identity of one sending socket and its count of datagrams.
#[derive(Debug)]
pub struct Sealer {
    keys: SharedKeyRing,
    sender: u64,
    sequence: AtomicU64,
}

impl Sealer {
    /// Makes a sealer with a random sender identifier.
    #[must_use]
    pub fn new(keys: SharedKeyRing) -> Self {
        Self {
            keys,
            sender: rand::random(),
            sequence: AtomicU64::new(1),
        }
    }

    /// The keys that are used.
    #[must_use]
    pub fn keys(&self) -> &SharedKeyRing {
        &self.keys
    }

    /// A header with the next sequence number.
    pub fn next_header(&self, kind: Kind, service: u16) -> Header {
        Header {
            kind,
            service,
            sender: self.sender,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed),
        }
    }
}

/// The inner socket of a process with its sealer, shared by everything that sends.
#[derive(Clone, Debug)]
pub struct InnerLink {
    socket: Arc<BatchSocket>,
    sealer: Arc<Sealer>,
}

impl InnerLink {
    /// Shares `socket` and seals with `keys`.
    #[must_use]
    pub fn new(socket: Arc<BatchSocket>, keys: SharedKeyRing) -> Self {
        Self {
            socket,
            sealer: Arc::new(Sealer::new(keys)),
        }
    }

    /// The socket.
    #[must_use]
    pub fn socket(&self) -> &Arc<BatchSocket> {
        &self.socket
    }

    /// The sealer.
    #[must_use]
    pub fn sealer(&self) -> &Arc<Sealer> {
        &self.sealer
    }

    /// Sends one control message; a full buffer or an unreachable peer loses it.
    pub fn send_control(
        &self,
        destination: SocketAddr,
        body: crate::proto::control::control::Body,
    ) {
        use prost::Message;
        let message = crate::proto::control::Control { body: Some(body) };
        let payload = message.encode_to_vec();
        let header = self.sealer.next_header(Kind::Control, 0);
        let ring = self.sealer.keys.load();
        let mut datagram = Vec::with_capacity(envelope::HEADER_LEN + payload.len());
        envelope::seal_into(ring.current(), &header, &[&payload], &mut datagram);
        // Control messages are repeated, so a lost one needs no handling.
        let _ = self
            .socket
            .try_send(&transmit(destination, &datagram, None));
    }
}
