//! Hands requests to agents that have a free slot, before they run.
//!
//! The agent that gives the slot turns the stream into a tunnel to its target and knows nothing of
//! the request; the agent that owns the flow speaks HTTP/1.1 through it.

use std::{
    net::{IpAddr, SocketAddr, SocketAddrV4},
    sync::Arc,
};

use kameo::actor::ActorRef;
use rand::seq::IndexedRandom;
use tokio::{io::copy_bidirectional, net::TcpStream, sync::Semaphore};

use super::{
    dispatch::connect_target,
    home::HomeBook,
    slots::{Ask, Permit, Slots},
    state::Shared,
};
use crate::{
    control::{policy_sync, rpc_client, rpc_server::RpcService},
    proto::control::{AgentState, Handover, HandoverReply, inner_request::Body},
    wire::{
        frame::{FrameError, FramedStream},
        key_ring::SharedKeyRing,
    },
};

/// Agents that are asked for one request.
const MAX_ASKED: usize = 3;
/// Requests for which other agents are asked at a time.
const MAX_SEARCHES: usize = 4;

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
    searches: Arc<Semaphore>,
}

impl Finder {
    pub fn new(shared: Arc<Shared>, keys: SharedKeyRing) -> Self {
        let searches = Arc::new(Semaphore::new(MAX_SEARCHES));
        Self {
            shared,
            keys,
            searches,
        }
    }

    /// Returns a connection to a target that is used less than this one, now and then.
    pub async fn even_out(&self, need: &Need) -> Option<TcpStream> {
        let own = self.shared.utilisation();
        let address = self.shared.members().even_out(own, rand::random())?;
        self.ask(address, need).await
    }

    /// Returns a connection to a target whose agent holds a slot for the request.
    ///
    /// What is known of other agents may be old, so that also agents thought to be full are asked;
    /// the number of searches at a time is limited, so that a flood does not multiply questions.
    pub async fn find(&self, need: &Need) -> Option<TcpStream> {
        let _search = self.searches.try_acquire().ok()?;
        for _ in 0..MAX_ASKED {
            let address = self.next_asked()?;
            let stream = self.ask(address, need).await;
            if stream.is_some() {
                return stream;
            }
        }
        None
    }

    /// The agent thought to have the most room, or any when none is thought to have some.
    fn next_asked(&self) -> Option<SocketAddrV4> {
        let rooms = self.shared.members().by_room();
        let emptiest = rooms.first().filter(|room| room.free_slots > 0);
        let room = emptiest.or_else(|| rooms.choose(&mut rand::rng()))?;
        Some(room.address)
    }

    async fn ask(&self, address: SocketAddrV4, need: &Need) -> Option<TcpStream> {
        let body = Body::Handover(Handover {
            service_number: self.shared.identity.service_number.into(),
            class: need.class.to_string(),
            caller: need.caller.to_string(),
        });
        let peer = SocketAddr::V4(address);
        let asked =
            rpc_client::call_keeping_stream::<HandoverReply>(peer, self.keys.clone(), body).await;
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

impl RpcService for AgentService {
    async fn handle(&self, body: Body, mut stream: FramedStream) -> Result<(), FrameError> {
        match body {
            Body::Policy(request) => {
                policy_sync::handle_request(&self.shared.policy, request, stream).await
            }
            Body::Claim(claim) => stream.send(&self.book.answer_claim(&claim)).await,
            Body::Settle(settle) => stream.send(&self.book.answer_settle(settle)).await,
            Body::Handover(handover) => self.give_slot(handover, stream).await,
        }
    }
}
