//! Handover of requests to the targets of other agents with free slots, before they start.
//!
//! The agent that grants the slot turns the stream into a tunnel to its target and does not see the
//! request. The agent that owns the flow sends the request as HTTP/1.1 through the tunnel.

use std::{
    net::{IpAddr, SocketAddr, SocketAddrV4},
    sync::Arc,
};

use kameo::actor::ActorRef;
use rand::seq::IndexedRandom;
use tokio::{io::copy_bidirectional, net::TcpStream, sync::Semaphore};

use super::{
    dispatch::connect_target,
    idempotency::IdempotencyRegistry,
    slots::{AcquireSlot, Permit, SlotAllocator},
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

/// Maximum number of agents that are asked for a slot in one search.
const MAX_HANDOVER_ATTEMPTS: usize = 3;
/// Maximum number of requests for which other agents are searched concurrently.
const MAX_CONCURRENT_SEARCHES: usize = 4;

/// What a request requires of a slot.
#[derive(Clone, Debug)]
pub(crate) struct SlotRequirements {
    pub class: Arc<str>,
    pub caller: IpAddr,
}

/// Finds slots at the targets of other agents.
#[derive(Clone)]
pub(crate) struct SlotFinder {
    shared: Arc<Shared>,
    keys: SharedKeyRing,
    search_permits: Arc<Semaphore>,
}

impl SlotFinder {
    pub fn new(shared: Arc<Shared>, keys: SharedKeyRing) -> Self {
        let search_permits = Arc::new(Semaphore::new(MAX_CONCURRENT_SEARCHES));
        Self {
            shared,
            keys,
            search_permits,
        }
    }

    /// Returns a tunnel to a less utilised target for a random share of the requests; see
    /// [`Members::rebalance_destination`](super::members::Members::rebalance_destination).
    pub async fn rebalance(&self, requirements: &SlotRequirements) -> Option<TcpStream> {
        let own = self.shared.utilisation();
        let address = self
            .shared
            .members()
            .rebalance_destination(own, rand::random())?;
        self.request_handover(address, requirements).await
    }

    /// Returns a tunnel to a target whose agent holds a slot for the request, or `None` if no agent
    /// granted one.
    ///
    /// The known load of other agents may be outdated, so agents without known free slots are asked
    /// as well. The number of concurrent searches is limited, so that overload does not multiply
    /// the handover requests.
    pub async fn find(&self, requirements: &SlotRequirements) -> Option<TcpStream> {
        let _search = self.search_permits.try_acquire().ok()?;
        for _ in 0..MAX_HANDOVER_ATTEMPTS {
            let address = self.next_candidate()?;
            let stream = self.request_handover(address, requirements).await;
            if stream.is_some() {
                return stream;
            }
        }
        None
    }

    /// The agent with the most free slots, or a random one if none is known to have a free slot.
    fn next_candidate(&self) -> Option<SocketAddrV4> {
        let candidates = self.shared.members().by_free_slots();
        let most_free = candidates
            .first()
            .filter(|candidate| candidate.free_slots > 0);
        let candidate = most_free.or_else(|| candidates.choose(&mut rand::rng()))?;
        Some(candidate.address)
    }

    /// Asks the agent at `address` for a slot and records the load that it reports.
    async fn request_handover(
        &self,
        address: SocketAddrV4,
        requirements: &SlotRequirements,
    ) -> Option<TcpStream> {
        let body = Body::Handover(Handover {
            service_number: self.shared.identity.service_number.into(),
            class: requirements.class.to_string(),
            caller: requirements.caller.to_string(),
        });
        let peer = SocketAddr::V4(address);
        let result =
            rpc_client::call_keeping_stream::<HandoverReply>(peer, self.keys.clone(), body).await;
        let Ok((reply, stream)) = result else {
            self.shared.members().set_outstanding(address, u32::MAX);
            return None;
        };
        self.shared.members().set_outstanding(address, reply.work);
        if reply.accepted {
            stream.into_stream().ok()
        } else {
            None
        }
    }
}

/// Serves requests of other processes on the inner address.
#[derive(Clone)]
pub(crate) struct AgentService {
    shared: Arc<Shared>,
    slots: ActorRef<SlotAllocator>,
    registry: IdempotencyRegistry,
}

impl AgentService {
    pub fn new(
        shared: Arc<Shared>,
        slots: ActorRef<SlotAllocator>,
        registry: IdempotencyRegistry,
    ) -> Self {
        Self {
            shared,
            slots,
            registry,
        }
    }

    /// Grants a slot, if one is free, and tunnels the stream to the target until the request ends.
    async fn serve_handover(
        &self,
        handover: Handover,
        mut stream: FramedStream,
    ) -> Result<(), FrameError> {
        let Some((permit, mut target)) = self.reserve_slot(&handover).await else {
            return stream.send(&self.reply(false)).await;
        };
        stream.send(&self.reply(true)).await?;
        let mut tunnel = stream.into_stream()?;
        // The request ends when either side closes or fails.
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

    /// Reserves a slot that is free at this moment and connects to the target.
    async fn reserve_slot(&self, handover: &Handover) -> Option<(Permit, TcpStream)> {
        let identity = &self.shared.identity;
        let is_same_service = handover.service_number == u32::from(identity.service_number);
        if !is_same_service || self.shared.state() != AgentState::Accepting {
            return None;
        }
        let message = AcquireSlot {
            class: handover.class.as_str().into(),
            caller: handover.caller.parse().ok()?,
            start_by_ms: Some(0),
            long_stream: false,
        };
        let permit = self.slots.ask(message).await.ok()?;
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
            Body::Claim(claim) => stream.send(&self.registry.handle_claim(&claim)).await,
            Body::Settle(settle) => stream.send(&self.registry.handle_settle(settle)).await,
            Body::Handover(handover) => self.serve_handover(handover, stream).await,
        }
    }
}
