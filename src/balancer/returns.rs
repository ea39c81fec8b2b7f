//! Takes what arrives on the inner socket: replies for callers and control messages.

use std::net::SocketAddr;

use kameo::actor::ActorRef;
use prost::Message;

use super::{
    control::{Control, ControlMessage},
    outer_socket::OuterSocket,
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

/// Senders whose sequence numbers are remembered.
const MAX_SENDERS: usize = 16_384;

/// Takes the datagrams of the inner socket.
pub struct Returns {
    /// Link to the agents.
    pub inner: InnerSocket,
    /// Sockets towards callers, sorted by service.
    pub outer: Vec<OuterSocket>,
    /// Takes the control messages.
    pub control: ActorRef<Control>,
    /// Counts what happens.
    pub counters: Counters,
}

/// Replies that wait to be sent, all through one socket.
#[derive(Default)]
struct Pending {
    service: u16,
    run: GsoBatch,
}

impl Returns {
    /// Handles datagrams until the socket fails.
    pub async fn run(self) {
        let mut buffers = ReceiveBuffers::new();
        let mut inbound = InboundFilter::new(MAX_SENDERS, self.counters.clone());
        let mut pending = Pending::default();
        while self.inner.socket().receive(&mut buffers).await.is_ok() {
            let ring = self.inner.sealer().keys().load();
            for train in buffers.batches() {
                for datagram in train.datagrams() {
                    let Some((header, body)) = inbound.accept(&ring, datagram) else {
                        continue;
                    };
                    self.handle(train.source, header, body, &mut pending).await;
                }
            }
            self.flush(&mut pending).await;
        }
    }

    async fn handle(&self, source: SocketAddr, header: Header, body: &[u8], pending: &mut Pending) {
        match header.kind {
            BodyKind::Reply => self.reply(header.service, body, pending).await,
            BodyKind::Control => self.control(source, body),
            BodyKind::Forward => self.counters.count(Event::DroppedMalformed),
        }
    }

    async fn reply(&self, service: u16, body: &[u8], pending: &mut Pending) {
        let Some((caller, packet)) = envelope::split_packet(body) else {
            self.counters.count(Event::DroppedMalformed);
            return;
        };
        let max_segments = self.inner.socket().max_segments(packet.len());
        if pending.service != service || !pending.run.fits(caller, packet.len(), max_segments) {
            self.flush(pending).await;
        }
        pending.service = service;
        pending
            .run
            .push(caller, packet.len(), |out| out.extend_from_slice(packet));
    }

    async fn flush(&self, pending: &mut Pending) {
        if let Some(transmit) = pending.run.transmit() {
            let sent = match self.outer_socket(pending.service) {
                Some(socket) => socket.send(&transmit).await.is_ok(),
                None => false,
            };
            let event = if sent {
                Event::PacketReturned
            } else {
                Event::SendFailed
            };
            let segments = u64::try_from(pending.run.segment_count()).unwrap_or_default();
            self.counters.add(event, segments);
        }
        pending.run.clear();
    }

    fn outer_socket(&self, service: u16) -> Option<&BatchSocket> {
        let index = self
            .outer
            .binary_search_by_key(&service, |outer| outer.service);
        index.ok().map(|index| &*self.outer[index].socket)
    }

    fn control(&self, source: SocketAddr, body: &[u8]) {
        let decoded = proto::Control::decode(body)
            .ok()
            .and_then(|control| control.body);
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
