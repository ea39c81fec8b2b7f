//! Actor that allocates the slots of a target.

use std::{
    net::IpAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use kameo::{
    Actor,
    actor::{ActorRef, Spawn},
    message::{Context, Message},
    reply::{DelegatedReply, ReplySender},
};
use tokio::time;

use super::{
    admission::{
        Admission, AdmissionLimits, AdmissionRequest, FinishedRequest, QueueDecision, Refusal,
        Verdict,
    },
    state::Shared,
};
use crate::proto::policy::Policy;

/// Interval at which queued requests are expired, utilisation is sampled and limits are refreshed.
const TICK_INTERVAL_MS: u32 = 10;

/// Allocates slots as decided by [`Admission`].
#[derive(Actor)]
pub(crate) struct SlotAllocator {
    admission: Admission,
    /// The policy from which the current limits were derived.
    policy: Arc<Policy>,
    shared: Arc<Shared>,
    /// Reference to this actor for its permits; `None` before the first message.
    self_ref: Option<ActorRef<SlotAllocator>>,
    /// Queued requests, sorted by ID.
    waiters: Vec<Waiter>,
    /// ID of the request that was received last.
    last_id: u64,
}

/// A queued request and the channel for its reply.
struct Waiter {
    id: u64,
    message: AcquireSlot,
    sender: ReplySender<Result<Permit, Refusal>>,
}

/// An allocated slot or long stream, which is released on drop.
#[derive(Debug)]
pub(crate) struct Permit {
    slots: ActorRef<SlotAllocator>,
    class: Arc<str>,
    long_stream: bool,
    started_at: Instant,
}

impl Drop for Permit {
    fn drop(&mut self) {
        let service_us = self.started_at.elapsed().as_micros();
        let finished = FinishedRequest {
            class: Arc::clone(&self.class),
            service_us: u64::try_from(service_us).unwrap_or(u64::MAX),
            long_stream: self.long_stream,
        };
        // The mailbox is unbounded; sending fails only if the actor has stopped.
        let _ = self.slots.tell(ReleaseSlot(finished)).try_send();
    }
}

/// Requests a slot. The reply is sent when the slot is allocated or the request is refused.
#[derive(Clone, Debug)]
pub(crate) struct AcquireSlot {
    pub class: Arc<str>,
    pub caller: IpAddr,
    /// Latest start time on the clock of [`Shared`]; zero to fail unless a slot is free.
    pub start_by_ms: Option<u64>,
    pub long_stream: bool,
}

/// Returns the slot of a finished request.
struct ReleaseSlot(FinishedRequest);

/// Periodic timer message.
struct Tick;

/// Spawns the actor and its timer task.
pub(crate) fn spawn(shared: &Arc<Shared>) -> ActorRef<SlotAllocator> {
    // Read before the limits, so that the next tick detects a change in between.
    let policy = shared.policy.current();
    let slots = SlotAllocator {
        policy,
        admission: Admission::new(admission_limits(shared)),
        shared: Arc::clone(shared),
        self_ref: None,
        waiters: Vec::new(),
        last_id: 0,
    };
    let actor = SlotAllocator::spawn_with_mailbox(slots, kameo::mailbox::unbounded());
    tokio::spawn(tick(actor.clone()));
    actor
}

/// Sends [`Tick`] messages until the actor stops.
async fn tick(slots: ActorRef<SlotAllocator>) {
    let mut interval = time::interval(Duration::from_millis(TICK_INTERVAL_MS.into()));
    interval.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        if slots.tell(Tick).await.is_err() {
            return;
        }
    }
}

fn admission_limits(shared: &Shared) -> AdmissionLimits {
    let limits = shared.limits();
    let policy = shared.policy.current();
    let classes = policy.classes.iter();
    AdmissionLimits {
        slots: limits.slots,
        long_streams: limits.long_streams,
        queue_length: limits.queue_length,
        queue_timeout_ms: limits.queue_timeout_ms,
        classes: classes
            .map(|class| (class.name.as_str().into(), class.weight))
            .collect(),
    }
}

impl SlotAllocator {
    /// Creates the permit for an allocated slot.
    fn issue_permit(&self, message: &AcquireSlot) -> Option<Permit> {
        let slots = self.self_ref.clone()?;
        Some(Permit {
            slots,
            class: Arc::clone(&message.class),
            long_stream: message.long_stream,
            started_at: Instant::now(),
        })
    }

    /// Replies to queued requests that were decided on, and publishes the load.
    fn apply_queue_decisions(&mut self) {
        let now_ms = self.shared.clock.now_ms();
        while let Some(decision) = self.admission.next_queue_decision(now_ms) {
            let (QueueDecision::Start(id) | QueueDecision::Refuse(id, _)) = decision;
            let Ok(index) = self.waiters.binary_search_by_key(&id, |waiter| waiter.id) else {
                continue;
            };
            let waiter = self.waiters.remove(index);
            let reply = match decision {
                QueueDecision::Start(_) => self.issue_permit(&waiter.message).map(Ok),
                QueueDecision::Refuse(_, refusal) => Some(Err(refusal)),
            };
            // If the requester is gone, the permit is dropped, which releases the slot.
            if let Some(reply) = reply {
                waiter.sender.send(reply);
            }
        }
        self.shared
            .set_load(self.admission.running(), self.admission.waiting());
    }
}

impl Message<AcquireSlot> for SlotAllocator {
    type Reply = DelegatedReply<Result<Permit, Refusal>>;

    async fn handle(
        &mut self,
        message: AcquireSlot,
        context: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        self.self_ref
            .get_or_insert_with(|| context.actor_ref().clone());
        self.last_id += 1;
        let request = AdmissionRequest {
            id: self.last_id,
            class: Arc::clone(&message.class),
            caller: message.caller,
            start_by_ms: message.start_by_ms,
            long_stream: message.long_stream,
        };
        let now_ms = self.shared.clock.now_ms();
        let verdict = self.admission.submit(now_ms, &request, rand::random());
        let (delegated, sender) = context.reply_sender();
        if let Some(sender) = sender {
            match verdict {
                Verdict::Run => {
                    if let Some(permit) = self.issue_permit(&message) {
                        sender.send(Ok(permit));
                    }
                }
                Verdict::Wait => self.waiters.push(Waiter {
                    id: request.id,
                    message,
                    sender,
                }),
                Verdict::Refuse(refusal) => sender.send(Err(refusal)),
            }
        }
        self.apply_queue_decisions();
        delegated
    }
}

impl Message<ReleaseSlot> for SlotAllocator {
    type Reply = ();

    async fn handle(&mut self, released: ReleaseSlot, _: &mut Context<Self, ()>) {
        self.admission.finish(&released.0);
        if !released.0.long_stream {
            self.shared.record_latency_us(released.0.service_us);
        }
        self.apply_queue_decisions();
    }
}

impl Message<Tick> for SlotAllocator {
    type Reply = ();

    async fn handle(&mut self, _: Tick, _: &mut Context<Self, ()>) {
        let slots = self.shared.limits().slots;
        self.shared.observe_utilisation(slots, TICK_INTERVAL_MS);
        let policy = self.shared.policy.current();
        if !Arc::ptr_eq(&self.policy, &policy) {
            self.admission.set_limits(admission_limits(&self.shared));
            self.policy = policy;
        }
        self.apply_queue_decisions();
    }
}
