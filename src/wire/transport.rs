//! UDP sockets with batched I/O, and sending of sealed datagrams.

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
    envelope::{self, BodyKind, Header},
    key_ring::SharedKeyRing,
};

/// Maximum number of buffers filled by one receive call.
const BATCH_LEN: usize = quinn_udp::BATCH_SIZE;
/// Length of one receive buffer, in bytes; holds the largest UDP datagram or GRO batch.
const RECEIVE_BUFFER_LEN: usize = 64 << 10;
/// Requested size of the kernel socket buffers, in bytes.
const SOCKET_BUFFER_LEN: usize = 4 << 20;
/// Maximum payload of one segmented send, in bytes.
const MAX_GSO_PAYLOAD_LEN: usize = 60_000;

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
    /// Returns the operating system's error if the address cannot be bound.
    pub fn bind(address: SocketAddr) -> io::Result<Self> {
        Self::from_std(std::net::UdpSocket::bind(address)?)
    }

    /// Wraps a bound socket.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if the socket cannot be configured.
    pub fn from_std(socket: std::net::UdpSocket) -> io::Result<Self> {
        socket.set_nonblocking(true)?;
        let state = UdpSocketState::new((&socket).into())?;
        // The kernel may cap the size; a smaller buffer only drops datagrams earlier.
        let _ = state.set_recv_buffer_size((&socket).into(), SOCKET_BUFFER_LEN);
        let _ = state.set_send_buffer_size((&socket).into(), SOCKET_BUFFER_LEN);
        Ok(Self {
            io: UdpSocket::from_std(socket)?,
            state,
        })
    }

    /// Returns the local address of the socket.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.io.local_addr()
    }

    /// Waits until at least one datagram has been received into `buffers`.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    pub async fn receive(&self, buffers: &mut ReceiveBuffers) -> io::Result<()> {
        std::future::poll_fn(|context| self.poll_receive(context, buffers)).await
    }

    /// Receives into `buffers`, or registers the task to be woken when datagrams arrive.
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
                // Reports an ICMP port-unreachable reply to an earlier send; it does not concern
                // this receive.
                Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {}
                result => return Poll::Ready(result),
            }
        }
    }

    /// Sends without waiting.
    ///
    /// # Errors
    ///
    /// Returns `WouldBlock` if the send buffer is full.
    pub fn try_send(&self, transmit: &Transmit<'_>) -> io::Result<()> {
        self.io.try_io(Interest::WRITABLE, || {
            self.state.send((&self.io).into(), transmit)
        })
    }

    /// Sends, waiting while the send buffer is full.
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

    /// Waits until the send buffer has room.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    pub async fn writable(&self) -> io::Result<()> {
        self.io.writable().await
    }

    /// Returns the maximum number of segments of `segment_len` bytes in one send.
    #[must_use]
    pub fn max_segments(&self, segment_len: usize) -> usize {
        let max_by_len = MAX_GSO_PAYLOAD_LEN / segment_len.max(1);
        self.state.max_gso_segments().min(max_by_len).max(1)
    }
}

/// Buffers for one batched receive.
pub struct ReceiveBuffers {
    /// `BATCH_LEN` buffers of `RECEIVE_BUFFER_LEN` bytes each.
    storage: Vec<u8>,
    // Sender and lengths of the data in each buffer.
    meta: [RecvMeta; BATCH_LEN],
    /// Number of buffers filled by the last receive.
    batch_count: usize,
}

impl Default for ReceiveBuffers {
    fn default() -> Self {
        Self::new()
    }
}

impl std::fmt::Debug for ReceiveBuffers {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "ReceiveBuffers({} batches)", self.batch_count)
    }
}

/// Datagrams of one sender, coalesced by generic receive offload (GRO): all have the same length,
/// except that the last may be shorter.
#[derive(Clone, Copy, Debug)]
pub struct GroBatch<'a> {
    /// Address of the sender.
    pub source: SocketAddr,
    /// Length of each datagram except the last, in bytes.
    pub stride: usize,
    /// The concatenated datagrams.
    pub bytes: &'a [u8],
}

impl<'a> GroBatch<'a> {
    /// Iterates over the datagrams.
    pub fn datagrams(self) -> impl Iterator<Item = &'a [u8]> {
        self.bytes.chunks(self.stride.max(1))
    }
}

impl ReceiveBuffers {
    /// Allocates the buffers, which have a fixed size.
    #[must_use]
    pub fn new() -> Self {
        Self {
            storage: vec![0; BATCH_LEN * RECEIVE_BUFFER_LEN],
            meta: [RecvMeta::default(); BATCH_LEN],
            batch_count: 0,
        }
    }

    fn receive(&mut self, io: &UdpSocket, state: &UdpSocketState) -> io::Result<()> {
        self.batch_count = 0;
        let mut buffers: [IoSliceMut<'_>; BATCH_LEN] = split_buffers(&mut self.storage);
        self.batch_count = state.recv(io.into(), &mut buffers, &mut self.meta)?;
        Ok(())
    }

    /// Number of received GRO batches.
    #[must_use]
    pub fn len(&self) -> usize {
        self.batch_count
    }

    /// Returns whether nothing has been received.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.batch_count == 0
    }

    /// Returns the GRO batch at `index`, which must be less than [`ReceiveBuffers::len`].
    #[must_use]
    pub fn batch(&self, index: usize) -> GroBatch<'_> {
        let meta = &self.meta[index];
        let start = index * RECEIVE_BUFFER_LEN;
        GroBatch {
            source: meta.addr,
            stride: meta.stride,
            bytes: &self.storage[start..start + meta.len],
        }
    }

    /// Iterates over the received GRO batches.
    pub fn batches(&self) -> impl Iterator<Item = GroBatch<'_>> {
        (0..self.batch_count).map(|index| self.batch(index))
    }
}

fn split_buffers(storage: &mut [u8]) -> [IoSliceMut<'_>; BATCH_LEN] {
    let mut chunks = storage.chunks_exact_mut(RECEIVE_BUFFER_LEN);
    std::array::from_fn(|_| IoSliceMut::new(chunks.next().unwrap_or_default()))
}

/// Creates a transmit of `contents`, split into datagrams of `segment_size` bytes if that is given
/// and smaller.
#[must_use]
pub fn new_transmit(
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

/// Sender ID, sequence counter and keys for the envelopes sent by a socket.
#[derive(Debug)]
pub struct Sealer {
    keys: SharedKeyRing,
    sender: u64,
    sequence: AtomicU64,
}

impl Sealer {
    /// Creates a sealer with a random sender ID.
    #[must_use]
    pub fn new(keys: SharedKeyRing) -> Self {
        Self {
            keys,
            sender: rand::random(),
            sequence: AtomicU64::new(1),
        }
    }

    /// Returns the shared key ring.
    #[must_use]
    pub fn keys(&self) -> &SharedKeyRing {
        &self.keys
    }

    /// Creates a header with the next sequence number.
    pub fn next_header(&self, kind: BodyKind, service: u16) -> Header {
        Header {
            kind,
            service,
            sender: self.sender,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed),
        }
    }
}

/// The socket for traffic between processes, with its sealer. Clones share both.
#[derive(Clone, Debug)]
pub struct InnerSocket {
    socket: Arc<BatchSocket>,
    sealer: Arc<Sealer>,
}

impl InnerSocket {
    /// Creates a sealing socket from `socket` and `keys`.
    #[must_use]
    pub fn new(socket: Arc<BatchSocket>, keys: SharedKeyRing) -> Self {
        Self {
            socket,
            sealer: Arc::new(Sealer::new(keys)),
        }
    }

    /// Returns the underlying socket.
    #[must_use]
    pub fn socket(&self) -> &Arc<BatchSocket> {
        &self.socket
    }

    /// Returns the sealer.
    #[must_use]
    pub fn sealer(&self) -> &Arc<Sealer> {
        &self.sealer
    }

    /// Sends a control message. The message is lost if the send buffer is full or the peer is
    /// unreachable.
    pub fn send_control(
        &self,
        destination: SocketAddr,
        body: crate::proto::control::control::Body,
    ) {
        use prost::Message;
        let message = crate::proto::control::Control { body: Some(body) };
        let payload = message.encode_to_vec();
        let header = self.sealer.next_header(BodyKind::Control, 0);
        let ring = self.sealer.keys.load();
        let mut datagram = Vec::with_capacity(envelope::HEADER_LEN + payload.len());
        envelope::seal_into(ring.current(), &header, &[&payload], &mut datagram);
        // Senders repeat control messages, so a failed send needs no handling.
        let _ = self
            .socket
            .try_send(&new_transmit(destination, &datagram, None));
    }
}
