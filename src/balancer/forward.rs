//! Carries callers' packets to the agents that own their flows.

use std::{net::SocketAddr, sync::Arc};

use bytes::BytesMut;
use kameo::actor::ActorRef;
use tokio::sync::Semaphore;

use super::{
    control::{Control, UnroutedPacket},
    lost::{DeadProcesses, DeathRegister},
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

/// Largest packet that is forwarded, in bytes.
const MAX_PACKET_LEN: usize = envelope::MAX_BODY_LEN - envelope::ADDRESS_LEN;

/// What holds for one batch of packets.
struct View {
    ring: Arc<KeyRing>,
    dead: Arc<DeadProcesses>,
}

/// Forwards the packets of one service.
pub struct Forwarder {
    /// Number of the service.
    pub service: u16,
    /// Socket on the address that callers use.
    pub outer: Arc<BatchSocket>,
    /// Link to the agents.
    pub inner: InnerSocket,
    /// Takes the packets that may open a flow.
    pub control: ActorRef<Control>,
    /// Room for packets that wait at the control actor, so that they leave room for messages.
    pub packet_room: Arc<Semaphore>,
    /// Agents that are known to be dead.
    pub deaths: DeathRegister,
    /// Counts what happens.
    pub counters: Counters,
}

impl Forwarder {
    /// Forwards until the socket fails.
    pub async fn run(self) {
        let mut buffers = ReceiveBuffers::new();
        let mut pending = GsoBatch::default();
        while self.outer.receive(&mut buffers).await.is_ok() {
            let view = View {
                ring: self.inner.sealer().keys().load(),
                dead: self.deaths.load(),
            };
            for train in buffers.batches() {
                for packet in train.datagrams() {
                    self.handle(&view, train.source, packet, &mut pending).await;
                }
            }
            self.flush(&mut pending).await;
        }
    }

    async fn handle(&self, view: &View, caller: SocketAddr, packet: &[u8], pending: &mut GsoBatch) {
        if packet.len() > MAX_PACKET_LEN {
            self.counters.count(Event::DroppedOversized);
            return;
        }
        match decide_datagram(&view.ring, self.service, packet) {
            Decision::Forward(route) if view.dead.has(&route) => self.report(caller, packet),
            Decision::Forward(route) => {
                self.forward(&view.ring, caller, route, packet, pending)
                    .await;
            }
            Decision::Open => self.open(caller, packet),
            Decision::Drop(reason) => self.counters.count(drop_event(reason)),
        }
    }

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

    /// Has a packet of a lost flow answered.
    fn report(&self, caller: SocketAddr, packet: &[u8]) {
        self.hand_over(caller, packet, true);
    }

    fn open(&self, caller: SocketAddr, packet: &[u8]) {
        self.hand_over(caller, packet, false);
    }

    /// Gives a packet to the control actor, unless too many wait there.
    fn hand_over(&self, caller: SocketAddr, packet: &[u8], is_lost: bool) {
        let Ok(room) = Arc::clone(&self.packet_room).try_acquire_owned() else {
            self.counters.count(Event::DroppedOverload);
            return;
        };
        let message = UnroutedPacket {
            service: self.service,
            caller,
            packet: BytesMut::from(packet),
            is_lost,
            room,
        };
        if self.control.tell(message).try_send().is_err() {
            self.counters.count(Event::DroppedOverload);
        }
    }
}

fn drop_event(reason: DropReason) -> Event {
    match reason {
        DropReason::Malformed => Event::DroppedMalformed,
        DropReason::Unroutable => Event::DroppedUnroutable,
        DropReason::WrongService => Event::DroppedWrongService,
    }
}
