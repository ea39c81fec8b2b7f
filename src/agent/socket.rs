//! The socket that the QUIC library sees: packets arrive in envelopes from balancers and leave
//! the same way.

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

/// Senders whose sequence numbers are remembered.
const MAX_SENDERS: usize = 4_096;
/// Callers whose return path is remembered.
const MAX_RETURN_PATHS: usize = 16_384;

/// A control message with the inner address of its sender.
pub(crate) type Received = (SocketAddr, proto::control::Body);

/// The agent's end of the datagrams between balancers and agents.
pub(crate) struct AgentSocket {
    inner: InnerSocket,
    shared: Arc<Shared>,
    control: mpsc::Sender<Received>,
    receiving: Mutex<Receiving>,
    paths: Mutex<ReturnPaths>,
}

/// The batch that is being handed to the QUIC library.
struct Receiving {
    buffers: ReceiveBuffers,
    inbound: InboundFilter,
    train: usize,
    offset: usize,
}

impl AgentSocket {
    pub fn new(inner: InnerSocket, shared: Arc<Shared>, control: mpsc::Sender<Received>) -> Self {
        let counters = shared.counters.clone();
        Self {
            inner,
            shared,
            control,
            receiving: Mutex::new(Receiving {
                buffers: ReceiveBuffers::new(),
                inbound: InboundFilter::new(MAX_SENDERS, counters),
                train: 0,
                offset: 0,
            }),
            paths: Mutex::new(ReturnPaths::new(MAX_RETURN_PATHS)),
        }
    }

    fn paths(&self) -> MutexGuard<'_, ReturnPaths> {
        self.paths.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Hands over datagrams of the batch until it is used up or `slots` are full.
    fn deliver(
        &self,
        receiving: &mut Receiving,
        slots: &mut [IoSliceMut<'_>],
        meta: &mut [RecvMeta],
    ) -> usize {
        let ring = self.inner.sealer().keys().load();
        let mut delivered = 0;
        while delivered < slots.len() && receiving.train < receiving.buffers.len() {
            let train = receiving.buffers.batch(receiving.train);
            let rest = &train.bytes[receiving.offset..];
            let datagram = &rest[..train.stride.min(rest.len())];
            let source = train.source;
            if let Some((header, body)) = receiving.inbound.accept(&ring, datagram) {
                let slot = (&mut *slots[delivered], &mut meta[delivered]);
                delivered += usize::from(self.take(&ring, source, header, body, slot));
            }
            receiving.offset += datagram.len();
            if receiving.offset >= train.bytes.len() {
                receiving.train += 1;
                receiving.offset = 0;
            }
        }
        delivered
    }

    /// Takes one authentic datagram; returns whether it filled `slot`.
    fn take(
        &self,
        ring: &KeyRing,
        source: SocketAddr,
        header: Header,
        body: &[u8],
        (slot, meta): (&mut [u8], &mut RecvMeta),
    ) -> bool {
        match header.kind {
            BodyKind::Control => {
                self.take_control(source, body);
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
        if !self.is_own(ring, header.service, packet) {
            self.shared.counters.count(Event::DroppedWrongService);
            return false;
        }
        if packet.len() > slot.len() {
            self.shared.counters.count(Event::DroppedOversized);
            return false;
        }
        self.paths()
            .note(caller, source, self.shared.clock.now_ms());
        slot[..packet.len()].copy_from_slice(packet);
        *meta = RecvMeta {
            addr: caller,
            len: packet.len(),
            stride: packet.len(),
            ecn: None,
            dst_ip: None,
        };
        true
    }

    /// Whether a packet names this agent and its service.
    fn is_own(&self, ring: &KeyRing, service: u16, packet: &[u8]) -> bool {
        let identity = &self.shared.identity;
        if service != identity.service_number {
            return false;
        }
        match decide_datagram(ring, service, packet) {
            Decision::Forward(route) => route.agent == identity.route.agent,
            Decision::Open | Decision::Drop(_) => false,
        }
    }

    fn take_control(&self, source: SocketAddr, body: &[u8]) {
        let decoded = proto::Control::decode(body)
            .ok()
            .and_then(|control| control.body);
        match decoded {
            // Control messages are repeated, so one that finds no room may be lost.
            Some(body) => drop(self.control.try_send((source, body))),
            None => self.shared.counters.count(Event::DroppedMalformed),
        }
    }

    /// The balancer that a reply goes through: the last one on the caller's path while it is
    /// alive, or else any that is.
    fn balancer_for(&self, caller: SocketAddr) -> Option<SocketAddr> {
        let last = self.paths().balancer(caller);
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
            // No balancer is known, so the packets are lost; QUIC sends them again.
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
        slots: &mut [IoSliceMut<'_>],
        meta: &mut [RecvMeta],
    ) -> Poll<io::Result<usize>> {
        let mut receiving = self
            .receiving
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        loop {
            let delivered = self.deliver(&mut receiving, slots, meta);
            if delivered > 0 {
                return Poll::Ready(Ok(delivered));
            }
            let received = self
                .inner
                .socket()
                .poll_receive(context, &mut receiving.buffers);
            ready!(received)?;
            receiving.train = 0;
            receiving.offset = 0;
        }
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        self.inner.socket().local_addr()
    }

    fn max_transmit_segments(&self) -> usize {
        self.inner.socket().max_segments(MAX_SEALED_LEN)
    }

    fn may_fragment(&self) -> bool {
        false
    }
}

/// Longest sealed packet of one segmented send, in bytes.
const MAX_SEALED_LEN: usize = 1_500;

impl fmt::Debug for AgentSocket {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("AgentSocket")
    }
}
