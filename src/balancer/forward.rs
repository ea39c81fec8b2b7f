//! Forwards packets from callers to the agents that own their flows.

use std::{net::SocketAddr, sync::Arc};

use bytes::BytesMut;
use kameo::actor::ActorRef;
use tokio::sync::Semaphore;

use super::{
    control::{ControlActor, UnroutedPacket},
    dead_agents::{DeadAgentRegistry, DeadAgents},
    route::{Decision, DropReason, decide_datagram},
};
use crate::{
    observe::counters::{Counters, Event},
    wire::{
        connection_id::Route,
        envelope::{self, BodyKind, PACKET_OVERHEAD},
        gso_batch::GsoBatch,
        key_ring::KeyRing,
        transport::{BatchSocket, InnerSocket, ReceiveBuffers},
    },
};

/// Maximum length of a forwarded packet, in bytes.
const MAX_PACKET_LEN: usize = envelope::MAX_BODY_LEN - envelope::ADDRESS_LEN;

/// Keys and dead agents, loaded once for all packets returned by one receive call.
struct BatchContext {
    ring: Arc<KeyRing>,
    dead: Arc<DeadAgents>,
}

/// Forwards the packets that arrive at the address of one service.
pub struct Forwarder {
    /// Number of the service.
    pub service: u16,
    /// Socket bound to the service address.
    pub service_socket: Arc<BatchSocket>,
    /// Socket to the agents.
    pub inner: InnerSocket,
    /// Control actor, which handles the packets that cannot be forwarded.
    pub control: ActorRef<ControlActor>,
    /// Limits the packets queued at the control actor, so that its mailbox keeps room for control
    /// messages.
    pub packet_permits: Arc<Semaphore>,
    /// Agent processes that are known to be dead.
    pub dead_agents: DeadAgentRegistry,
    /// Event counters.
    pub counters: Counters,
}

impl Forwarder {
    /// Forwards packets until the service socket fails.
    pub async fn run(self) {
        let mut buffers = ReceiveBuffers::new();
        let mut pending = GsoBatch::default();
        while self.service_socket.receive(&mut buffers).await.is_ok() {
            let batch = BatchContext {
                ring: self.inner.sealer().keys().load(),
                dead: self.dead_agents.load(),
            };
            for gro_batch in buffers.batches() {
                for packet in gro_batch.datagrams() {
                    self.handle(&batch, gro_batch.source, packet, &mut pending)
                        .await;
                }
            }
            self.flush(&mut pending).await;
        }
    }

    /// Routes one packet. A forwarded packet is appended to `pending`.
    async fn handle(
        &self,
        batch: &BatchContext,
        caller: SocketAddr,
        packet: &[u8],
        pending: &mut GsoBatch,
    ) {
        if packet.len() > MAX_PACKET_LEN {
            self.counters.count(Event::DroppedOversized);
            return;
        }
        match decide_datagram(&batch.ring, self.service, packet) {
            Decision::Forward(route) if batch.dead.contains(&route) => self.reset(caller, packet),
            Decision::Forward(route) => {
                self.forward(&batch.ring, caller, route, packet, pending)
                    .await;
            }
            Decision::Open => self.open(caller, packet),
            Decision::Drop(reason) => self.counters.count(drop_event(reason)),
        }
    }

    /// Appends a packet to the pending ones, which are flushed first if it cannot join their batch.
    async fn forward(
        &self,
        ring: &KeyRing,
        caller: SocketAddr,
        route: Route,
        packet: &[u8],
        pending: &mut GsoBatch,
    ) {
        let agent = SocketAddr::V4(route.agent);
        let len = PACKET_OVERHEAD + packet.len();
        if !pending.fits(agent, len, self.inner.socket().max_segments(len)) {
            self.flush(pending).await;
        }
        let header = self
            .inner
            .sealer()
            .next_header(BodyKind::Forward, self.service);
        let address = envelope::encode_address(caller);
        pending.push(agent, len, |out| {
            envelope::seal_into(ring.current(), &header, &[&address, packet], out);
        });
    }

    /// Sends the pending packets.
    async fn flush(&self, pending: &mut GsoBatch) {
        if let Some(transmit) = pending.transmit() {
            let event = match self.inner.socket().send(&transmit).await {
                Ok(()) => Event::PacketForwarded,
                Err(_) => Event::SendFailed,
            };
            self.counters.add(
                event,
                u64::try_from(pending.segment_count()).unwrap_or_default(),
            );
        }
        pending.clear();
    }

    /// Queues a packet of a lost flow at the control actor, which resets the flow.
    fn reset(&self, caller: SocketAddr, packet: &[u8]) {
        self.enqueue(caller, packet, true);
    }

    /// Queues a packet that may be the first of a flow at the control actor.
    fn open(&self, caller: SocketAddr, packet: &[u8]) {
        self.enqueue(caller, packet, false);
    }

    /// Queues a packet at the control actor, or drops it if too many packets are queued there.
    fn enqueue(&self, caller: SocketAddr, packet: &[u8], is_lost_flow: bool) {
        let Ok(queue_permit) = Arc::clone(&self.packet_permits).try_acquire_owned() else {
            self.counters.count(Event::DroppedOverload);
            return;
        };
        let message = UnroutedPacket {
            service: self.service,
            caller,
            packet: BytesMut::from(packet),
            is_lost_flow,
            queue_permit,
        };
        if self.control.tell(message).try_send().is_err() {
            self.counters.count(Event::DroppedOverload);
        }
    }
}

/// Counter that corresponds to the reason for dropping a packet.
fn drop_event(reason: DropReason) -> Event {
    match reason {
        DropReason::Malformed => Event::DroppedMalformed,
        DropReason::Unroutable => Event::DroppedUnroutable,
        DropReason::WrongService => Event::DroppedWrongService,
    }
}
