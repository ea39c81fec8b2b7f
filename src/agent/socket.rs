//! UDP socket abstraction for the QUIC library: packets are received from balancers and sent
//! through balancers in sealed envelopes.

use std::{
    fmt,
    io::{self, IoSliceMut},
    net::SocketAddr,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll, ready},
};

use prost::Message;
use quinn::{
    AsyncUdpSocket, UdpPoller,
    udp::{RecvMeta, Transmit},
};
use tokio::sync::mpsc;

use super::{return_paths::ReturnPaths, state::Shared};
use crate::{
    balancer::route::{Decision, decide_datagram},
    observe::counters::Event,
    proto::control as proto,
    wire::{
        envelope::{self, BodyKind, Header, PACKET_OVERHEAD},
        inbound::InboundFilter,
        key_ring::KeyRing,
        transport::{InnerSocket, ReceiveBuffers, new_transmit},
        writable::WritablePoller,
    },
};

/// Maximum number of senders whose sequence numbers are tracked for replay protection.
const MAX_REPLAY_SENDERS: usize = 4_096;
/// Maximum number of callers whose return path is stored.
const MAX_RETURN_PATHS: usize = 16_384;

/// A control message and the inner address of its sender.
pub(crate) type ReceivedControl = (SocketAddr, proto::control::Body);

/// Socket of the QUIC endpoint. Also queues the control messages received on the inner socket.
pub(crate) struct AgentSocket {
    inner: InnerSocket,
    shared: Arc<Shared>,
    control: mpsc::Sender<ReceivedControl>,
    receiving: Mutex<ReceiveState>,
    return_paths: Mutex<ReturnPaths>,
}

/// Received datagrams and the position up to which they have been processed.
struct ReceiveState {
    buffers: ReceiveBuffers,
    inbound: InboundFilter,
    /// Index of the current GRO batch in `buffers`.
    batch_index: usize,
    /// Offset of the next datagram in the current GRO batch, in bytes.
    offset: usize,
}

impl AgentSocket {
    pub fn new(
        inner: InnerSocket,
        shared: Arc<Shared>,
        control: mpsc::Sender<ReceivedControl>,
    ) -> Self {
        let counters = shared.counters.clone();
        Self {
            inner,
            shared,
            control,
            receiving: Mutex::new(ReceiveState {
                buffers: ReceiveBuffers::new(),
                inbound: InboundFilter::new(MAX_REPLAY_SENDERS, counters),
                batch_index: 0,
                offset: 0,
            }),
            return_paths: Mutex::new(ReturnPaths::new(MAX_RETURN_PATHS)),
        }
    }

    fn return_paths(&self) -> MutexGuard<'_, ReturnPaths> {
        self.return_paths
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Processes received datagrams until none is left or all `bufs` are filled. Returns the number
    /// of filled buffers.
    fn deliver(
        &self,
        receiving: &mut ReceiveState,
        bufs: &mut [IoSliceMut<'_>],
        meta: &mut [RecvMeta],
    ) -> usize {
        let ring = self.inner.sealer().keys().load();
        let mut delivered = 0;
        while delivered < bufs.len() && receiving.batch_index < receiving.buffers.len() {
            let batch = receiving.buffers.batch(receiving.batch_index);
            let rest = &batch.bytes[receiving.offset..];
            let datagram = &rest[..batch.stride.min(rest.len())];
            let source = batch.source;
            if let Some((header, body)) = receiving.inbound.accept(&ring, datagram) {
                let buf = (&mut *bufs[delivered], &mut meta[delivered]);
                delivered += usize::from(self.process_datagram(&ring, source, header, body, buf));
            }
            receiving.offset += datagram.len();
            if receiving.offset >= batch.bytes.len() {
                receiving.batch_index += 1;
                receiving.offset = 0;
            }
        }
        delivered
    }

    /// Processes an authenticated datagram; returns whether it filled `buf`.
    fn process_datagram(
        &self,
        ring: &KeyRing,
        source: SocketAddr,
        header: Header,
        body: &[u8],
        (buf, meta): (&mut [u8], &mut RecvMeta),
    ) -> bool {
        match header.kind {
            BodyKind::Control => {
                self.queue_control(source, body);
                return false;
            }
            BodyKind::Reply => {
                self.shared.counters.count(Event::DroppedMalformed);
                return false;
            }
            BodyKind::Forward => {}
        }
        let Some((caller, packet)) = envelope::split_packet(body) else {
            self.shared.counters.count(Event::DroppedMalformed);
            return false;
        };
        if !self.is_for_this_agent(ring, header.service, packet) {
            self.shared.counters.count(Event::DroppedWrongService);
            return false;
        }
        if packet.len() > buf.len() {
            self.shared.counters.count(Event::DroppedOversized);
            return false;
        }
        self.return_paths()
            .record(caller, source, self.shared.clock.now_ms());
        buf[..packet.len()].copy_from_slice(packet);
        *meta = RecvMeta {
            addr: caller,
            len: packet.len(),
            stride: packet.len(),
            ecn: None,
            dst_ip: None,
        };
        true
    }

    /// Whether a packet carries a connection ID of this agent and its service.
    fn is_for_this_agent(&self, ring: &KeyRing, service: u16, packet: &[u8]) -> bool {
        let identity = &self.shared.identity;
        if service != identity.service_number {
            return false;
        }
        match decide_datagram(ring, service, packet) {
            Decision::Forward(route) => route.agent == identity.route.agent,
            Decision::Open | Decision::Drop(_) => false,
        }
    }

    /// Decodes a control message and queues it.
    fn queue_control(&self, source: SocketAddr, body: &[u8]) {
        let decoded = proto::Control::decode(body)
            .ok()
            .and_then(|control| control.body);
        match decoded {
            // Control messages are repeated, so one may be dropped when the queue is full.
            Some(body) => drop(self.control.try_send((source, body))),
            None => self.shared.counters.count(Event::DroppedMalformed),
        }
    }

    /// The balancer through which a reply is sent: the one that last forwarded a packet of the
    /// caller if it is alive, or else another live one.
    fn balancer_for(&self, caller: SocketAddr) -> Option<SocketAddr> {
        let last = self.return_paths().balancer(caller);
        let now_ms = self.shared.clock.now_ms();
        let peers = self.shared.peers();
        if last.is_some_and(|balancer| peers.is_live(balancer, now_ms)) {
            return last;
        }
        let live = peers.live(now_ms);
        let index = usize::from(caller.port()) % live.len().max(1);
        live.get(index).copied().or(last)
    }
}

impl AsyncUdpSocket for AgentSocket {
    fn create_io_poller(self: Arc<Self>) -> Pin<Box<dyn UdpPoller>> {
        let socket = Arc::clone(self.inner.socket());
        Box::pin(WritablePoller::new(move || {
            let socket = Arc::clone(&socket);
            async move { socket.writable().await }
        }))
    }

    fn try_send(&self, packets: &Transmit<'_>) -> io::Result<()> {
        let Some(balancer) = self.balancer_for(packets.destination) else {
            // No balancer is known. The packets are dropped; QUIC retransmits their content.
            return Ok(());
        };
        let ring = self.inner.sealer().keys().load();
        let address = envelope::encode_address(packets.destination);
        let segment_len = packets.segment_size.unwrap_or(packets.contents.len());
        let count = packets.contents.len().div_ceil(segment_len.max(1));
        let mut sealed = Vec::with_capacity(packets.contents.len() + count * PACKET_OVERHEAD);
        for packet in packets.contents.chunks(segment_len.max(1)) {
            let service = self.shared.identity.service_number;
            let header = self.inner.sealer().next_header(BodyKind::Reply, service);
            envelope::seal_into(ring.current(), &header, &[&address, packet], &mut sealed);
        }
        let sealed_len = segment_len + PACKET_OVERHEAD;
        self.inner
            .socket()
            .try_send(&new_transmit(balancer, &sealed, Some(sealed_len)))
    }

    fn poll_recv(
        &self,
        context: &mut Context<'_>,
        bufs: &mut [IoSliceMut<'_>],
        meta: &mut [RecvMeta],
    ) -> Poll<io::Result<usize>> {
        let mut receiving = self
            .receiving
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        loop {
            let delivered = self.deliver(&mut receiving, bufs, meta);
            if delivered > 0 {
                return Poll::Ready(Ok(delivered));
            }
            let received = self
                .inner
                .socket()
                .poll_receive(context, &mut receiving.buffers);
            ready!(received)?;
            receiving.batch_index = 0;
            receiving.offset = 0;
        }
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        self.inner.socket().local_addr()
    }

    fn max_transmit_segments(&self) -> usize {
        self.inner.socket().max_segments(MAX_SEALED_PACKET_LEN)
    }

    fn may_fragment(&self) -> bool {
        false
    }
}

/// Maximum length of a sealed packet in a segmented send, in bytes.
const MAX_SEALED_PACKET_LEN: usize = 1_500;

impl fmt::Debug for AgentSocket {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("AgentSocket")
    }
}
