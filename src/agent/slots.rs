//! The actor that hands out a target's slots.

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
    admission::{Admission, AdmissionLimits, Effect, Finished, Refusal, Ticket, Verdict},
    state::Shared,
};
use crate::proto::policy::Policy;

const TICK_INTERVAL_MS: u32 = 10;

/// Hands out slots in the order that [`Admission`] decides.
#[derive(Actor)]
pub(crate) struct Slots {
    admission: Admission,
    /// The policy that the admission's limits come from.
    policy: Arc<Policy>,
    shared: Arc<Shared>,
    own: Option<ActorRef<Slots>>,
    waiting: Vec<Waiting>,
    next_id: u64,
}

struct Waiting {
    id: u64,
    ask: Ask,
    sender: ReplySender<Result<Permit, Refusal>>,
}

/// A slot that is held until it is dropped.
#[derive(Debug)]
pub(crate) struct Permit {
    slots: ActorRef<Slots>,
    class: Arc<str>,
    long_stream: bool,
    started_at: Instant,
}

impl Drop for Permit {
    fn drop(&mut self) {
        let service_us = self.started_at.elapsed().as_micros();
        let finished = Finished {
            class: Arc::clone(&self.class),
            service_us: u64::try_from(service_us).unwrap_or(u64::MAX),
            long_stream: self.long_stream,
        };
        // The mailbox is unbounded; it refuses only when the agent has stopped.
        let _ = self.slots.tell(Leave(finished)).try_send();
    }
}

/// Asks for a slot.
#[derive(Clone, Debug)]
pub(crate) struct Ask {
    pub class: Arc<str>,
    pub caller: IpAddr,
    pub start_by_ms: Option<u64>,
    pub long_stream: bool,
}

/// A slot has become free.
struct Leave(Finished);

/// Time has passed, or the limits have changed.
struct Tick;

/// Starts the actor and its clock.
pub(crate) fn spawn(shared: &Arc<Shared>) -> ActorRef<Slots> {
    // Read before the limits, so that a change in between is seen by the next tick.
    let policy = shared.policy.current();
    let slots = Slots {
        policy,
        admission: Admission::new(admission_limits(shared)),
        shared: Arc::clone(shared),
        own: None,
        waiting: Vec::new(),
        next_id: 0,
    };
    let actor = Slots::spawn_with_mailbox(slots, kameo::mailbox::unbounded());
    tokio::spawn(tick(actor.clone()));
    actor
}

async fn tick(slots: ActorRef<Slots>) {
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

impl Slots {
    fn permit(&self, ask: &Ask) -> Option<Permit> {
        let slots = self.own.clone()?;
        Some(Permit {
            slots,
            class: Arc::clone(&ask.class),
            long_stream: ask.long_stream,
            started_at: Instant::now(),
        })
    }

    fn settle(&mut self) {
        let now_ms = self.shared.clock.now_ms();
        while let Some(effect) = self.admission.next_effect(now_ms) {
            let (Effect::Start(id) | Effect::Refuse(id, _)) = effect;
            let Ok(index) = self.waiting.binary_search_by_key(&id, |waiting| waiting.id) else {
                continue;
            };
            let waiting = self.waiting.remove(index);
            let answer = match effect {
                Effect::Start(_) => self.permit(&waiting.ask).map(Ok),
                Effect::Refuse(_, refusal) => Some(Err(refusal)),
            };
            // An asker that has left drops the permit, which frees the slot again.
            if let Some(answer) = answer {
                waiting.sender.send(answer);
            }
        }
        self.shared
            .set_load(self.admission.running(), self.admission.waiting());
    }
}

impl Message<Ask> for Slots {
    type Reply = DelegatedReply<Result<Permit, Refusal>>;

    async fn handle(&mut self, ask: Ask, context: &mut Context<Self, Self::Reply>) -> Self::Reply {
        self.own.get_or_insert_with(|| context.actor_ref().clone());
        self.next_id += 1;
        let ticket = Ticket {
            id: self.next_id,
            class: Arc::clone(&ask.class),
            caller: ask.caller,
            start_by_ms: ask.start_by_ms,
            long_stream: ask.long_stream,
        };
        let now_ms = self.shared.clock.now_ms();
        let verdict = self.admission.arrive(now_ms, &ticket, rand::random());
        let (delegated, sender) = context.reply_sender();
        if let Some(sender) = sender {
            match verdict {
                Verdict::Run => {
                    if let Some(permit) = self.permit(&ask) {
                        sender.send(Ok(permit));
                    }
                }
                Verdict::Wait => self.waiting.push(Waiting {
                    id: ticket.id,
                    ask,
                    sender,
                }),
                Verdict::Refuse(refusal) => sender.send(Err(refusal)),
            }
        }
        self.settle();
        delegated
    }
}

impl Message<Leave> for Slots {
    type Reply = ();

    async fn handle(&mut self, leave: Leave, _: &mut Context<Self, ()>) {
        self.admission.finish(&leave.0);
        if !leave.0.long_stream {
            self.shared.note_latency_us(leave.0.service_us);
        }
        self.settle();
    }
}

impl Message<Tick> for Slots {
    type Reply = ();

    async fn handle(&mut self, _: Tick, _: &mut Context<Self, ()>) {
        let slots = self.shared.limits().slots;
        self.shared.observe_utilisation(slots, TICK_INTERVAL_MS);
        let policy = self.shared.policy.current();
        if !Arc::ptr_eq(&self.policy, &policy) {
            self.admission.set_limits(admission_limits(&self.shared));
            self.policy = policy;
        }
        self.settle();
    }
}
