//! Hands requests to agents that have a free slot, before they run.
//!
//! The agent that gives the slot turns the stream into a tunnel to its target and knows nothing of
//! the request; the agent that owns the flow speaks HTTP/1.1 through it.

use std::{
    net::{IpAddr, SocketAddr, SocketAddrV4},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use kameo::actor::ActorRef;
use rand::seq::IndexedRandom;
use tokio::{io::copy_bidirectional, net::TcpStream};

use super::{
    dispatch::connect_target,
    home::HomeBook,
    slots::{Ask, Permit, Slots},
    state::Shared,
};
use crate::{
    control::{inner_client, inner_server::InnerService, policy_sync},
    proto::control::{AgentState, Handover, HandoverReply, inner_request::Body},
    wire::{
        frame::{FrameError, FramedStream},
        key_ring::SharedKeyRing,
    },
};

/// Agents that are asked for one request.
const MAX_ASKED: usize = 2;
/// Pause between two questions to agents that are thought to be full.
const PROBE_INTERVAL_MS: u64 = 5;

/// What a request needs of a slot.
#[derive(Clone, Debug)]
pub(crate) struct Need {
    pub class: Arc<str>,
    pub caller: IpAddr,
}

/// Finds slots at other agents.
#[derive(Clone)]
pub(crate) struct Finder {
    shared: Arc<Shared>,
    keys: SharedKeyRing,
    probed_at_ms: Arc<AtomicU64>,
}

impl Finder {
    pub fn new(shared: Arc<Shared>, keys: SharedKeyRing) -> Self {
        Self {
            shared,
            keys,
            probed_at_ms: Arc::default(),
        }
    }

    /// Returns a connection to a target whose agent holds a slot for the request.
    pub async fn find(&self, need: &Need) -> Option<TcpStream> {
        let rooms = self.shared.members().by_room();
        let free = rooms
            .iter()
            .filter(|room| room.free_slots > 0)
            .take(MAX_ASKED);
        for room in free {
            let stream = self.ask(room.address, need).await;
            if stream.is_some() {
                return stream;
            }
        }
        // What is known may be old: one agent is asked all the same, but not for every request.
        if rooms.iter().any(|room| room.free_slots > 0) || !self.may_probe() {
            return None;
        }
        let room = rooms.choose(&mut rand::rng())?;
        self.ask(room.address, need).await
    }

    fn may_probe(&self) -> bool {
        let now_ms = self.shared.clock.now_ms();
        let probed =
            self.probed_at_ms
                .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |last_ms| {
                    (now_ms >= last_ms + PROBE_INTERVAL_MS).then_some(now_ms)
                });
        probed.is_ok()
    }

    async fn ask(&self, address: SocketAddrV4, need: &Need) -> Option<TcpStream> {
        let body = Body::Handover(Handover {
            service_number: self.shared.identity.service_number.into(),
            class: need.class.to_string(),
            caller: need.caller.to_string(),
        });
        let peer = SocketAddr::V4(address);
        let asked =
            inner_client::ask_and_keep::<HandoverReply>(peer, self.keys.clone(), body).await;
        let Ok((reply, stream)) = asked else {
            self.shared.members().correct_work(address, u32::MAX);
            return None;
        };
        self.shared.members().correct_work(address, reply.work);
        if reply.accepted {
            stream.into_stream().ok()
        } else {
            None
        }
    }
}

/// Answers the other processes of the system.
#[derive(Clone)]
pub(crate) struct AgentService {
    shared: Arc<Shared>,
    slots: ActorRef<Slots>,
    book: HomeBook,
}

impl AgentService {
    pub fn new(shared: Arc<Shared>, slots: ActorRef<Slots>, book: HomeBook) -> Self {
        Self {
            shared,
            slots,
            book,
        }
    }

    async fn give_slot(
        &self,
        handover: Handover,
        mut stream: FramedStream,
    ) -> Result<(), FrameError> {
        let Some((permit, mut target)) = self.reserve(&handover).await else {
            return stream.send(&self.reply(false)).await;
        };
        stream.send(&self.reply(true)).await?;
        let mut tunnel = stream.into_stream()?;
        // Either side's end is the end of the request.
        let _ = copy_bidirectional(&mut tunnel, &mut target).await;
        drop(permit);
        Ok(())
    }

    fn reply(&self, accepted: bool) -> HandoverReply {
        HandoverReply {
            accepted,
            work: self.shared.running() + self.shared.queued(),
        }
    }

    /// Takes a slot that is free now, with a connection to the target.
    async fn reserve(&self, handover: &Handover) -> Option<(Permit, TcpStream)> {
        let identity = &self.shared.identity;
        let is_own = handover.service_number == u32::from(identity.service_number);
        if !is_own || self.shared.state() != AgentState::Accepting {
            return None;
        }
        let ask = Ask {
            class: handover.class.as_str().into(),
            caller: handover.caller.parse().ok()?,
            start_by_ms: Some(0),
            long_stream: false,
        };
        let permit = self.slots.ask(ask).await.ok()?;
        let target = connect_target(identity.target_address).await.ok()?;
        Some((permit, target))
    }
}

impl InnerService for AgentService {
    async fn answer(&self, body: Body, mut stream: FramedStream) -> Result<(), FrameError> {
        match body {
            Body::Policy(request) => {
                policy_sync::answer(&self.shared.policy, request, stream).await
            }
            Body::Claim(claim) => stream.send(&self.book.answer_claim(&claim)).await,
            Body::Settle(settle) => stream.send(&self.book.answer_settle(settle)).await,
            Body::Handover(handover) => self.give_slot(handover, stream).await,
        }
    }
}
