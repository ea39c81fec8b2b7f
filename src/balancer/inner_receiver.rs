//! Receiver of the inner socket: relays replies to callers and passes on control messages.

use std::net::SocketAddr;

use kameo::actor::ActorRef;
use prost::Message;

use super::{
    control::{ControlActor, ControlMessage},
    service_socket::ServiceSocket,
};
use crate::{
    observe::counters::{Counters, Event},
    proto::control as proto,
    wire::{
        envelope::{self, BodyKind, Header},
        gso_batch::GsoBatch,
        inbound::InboundFilter,
        transport::{BatchSocket, InnerSocket, ReceiveBuffers},
    },
};

/// Maximum number of senders whose sequence numbers are tracked for replay protection.
const MAX_SENDERS: usize = 16_384;

/// Receives the datagrams that agents and balancers send to the inner socket.
pub struct InnerReceiver {
    /// Socket to the agents and the other balancers.
    pub inner: InnerSocket,
    /// Sockets bound to the service addresses, sorted by service number.
    pub service_sockets: Vec<ServiceSocket>,
    /// Control actor, which handles the control messages.
    pub control: ActorRef<ControlActor>,
    /// Event counters.
    pub counters: Counters,
}

/// Replies to be sent in one batch through the socket of `service`.
#[derive(Default)]
struct PendingReplies {
    service: u16,
    batch: GsoBatch,
}

impl InnerReceiver {
    /// Handles datagrams until the inner socket fails.
    pub async fn run(self) {
        let mut buffers = ReceiveBuffers::new();
        let mut inbound = InboundFilter::new(MAX_SENDERS, self.counters.clone());
        let mut pending = PendingReplies::default();
        while self.inner.socket().receive(&mut buffers).await.is_ok() {
            let ring = self.inner.sealer().keys().load();
            for gro_batch in buffers.batches() {
                for datagram in gro_batch.datagrams() {
                    let Some((header, body)) = inbound.accept(&ring, datagram) else {
                        continue;
                    };
                    self.handle(gro_batch.source, header, body, &mut pending)
                        .await;
                }
            }
            self.flush(&mut pending).await;
        }
    }

    /// Handles one authenticated datagram.
    async fn handle(
        &self,
        source: SocketAddr,
        header: Header,
        body: &[u8],
        pending: &mut PendingReplies,
    ) {
        match header.kind {
            BodyKind::Reply => self.relay_reply(header.service, body, pending).await,
            BodyKind::Control => self.handle_control(source, body),
            BodyKind::Forward => self.counters.count(Event::DroppedMalformed),
        }
    }

    /// Appends a reply to the pending ones, which are flushed first if it cannot join their batch.
    async fn relay_reply(&self, service: u16, body: &[u8], pending: &mut PendingReplies) {
        let Some((caller, packet)) = envelope::split_packet(body) else {
            self.counters.count(Event::DroppedMalformed);
            return;
        };
        let max_segments = self.inner.socket().max_segments(packet.len());
        if pending.service != service || !pending.batch.fits(caller, packet.len(), max_segments) {
            self.flush(pending).await;
        }
        pending.service = service;
        pending
            .batch
            .push(caller, packet.len(), |out| out.extend_from_slice(packet));
    }

    /// Sends the pending replies to their caller.
    async fn flush(&self, pending: &mut PendingReplies) {
        if let Some(transmit) = pending.batch.transmit() {
            let is_sent = match self.service_socket(pending.service) {
                Some(socket) => socket.send(&transmit).await.is_ok(),
                None => false,
            };
            let event = if is_sent {
                Event::PacketReturned
            } else {
                Event::SendFailed
            };
            let segments = u64::try_from(pending.batch.segment_count()).unwrap_or_default();
            self.counters.add(event, segments);
        }
        pending.batch.clear();
    }

    fn service_socket(&self, service: u16) -> Option<&BatchSocket> {
        let index = self
            .service_sockets
            .binary_search_by_key(&service, |socket| socket.service);
        index.ok().map(|index| &*self.service_sockets[index].socket)
    }

    /// Decodes a control message and sends it to the control actor.
    fn handle_control(&self, source: SocketAddr, body: &[u8]) {
        let decoded = proto::Control::decode(body)
            .ok()
            .and_then(|message| message.body);
        let Some(body) = decoded else {
            self.counters.count(Event::DroppedMalformed);
            return;
        };
        let message = ControlMessage { source, body };
        if self.control.tell(message).try_send().is_err() {
            self.counters.count(Event::DroppedOverload);
        }
    }
}
