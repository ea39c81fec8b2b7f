//! Counts of events, cheap enough for every datagram.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

macro_rules! events {
    ($($(#[$doc:meta])* $variant:ident => $name:literal,)*) => {
        /// Something that is counted.
        #[derive(Clone, Copy, Debug, Eq, PartialEq)]
        pub enum Event {
            $($(#[$doc])* $variant,)*
        }

        impl Event {
            /// All events, in the order of their numbers.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// Name of the event in metrics and status.
            #[must_use]
            pub fn name(self) -> &'static str {
                match self {
                    $(Self::$variant => $name,)*
                }
            }
        }
    };
}

events! {
    /// A caller's packet went to an agent.
    PacketForwarded => "packet_forwarded",
    /// An agent's packet went to a caller.
    PacketReturned => "packet_returned",
    /// A first packet was answered with a Retry.
    RetrySent => "retry_sent",
    /// A first packet was refused because no agent takes new flows.
    FlowRefused => "flow_refused",
    /// A new flow was given to an agent.
    FlowPlaced => "flow_placed",
    /// A request was given to the target beside the agent.
    RequestForwarded => "request_forwarded",
    /// A SYN waits for a slot.
    FlowWaits => "flow_waits",
    /// A SYN that has waited was given to the target.
    FlowAdmitted => "flow_admitted",
    /// An agent passed a SYN on to another agent.
    FlowPassedOn => "flow_passed_on",
    /// A packet of an unknown flow was sent to an agent that may know it.
    FlowLookedUp => "flow_looked_up",
    /// A search for a flow could not ask every agent that may hold it.
    FlowSearchIncomplete => "flow_search_incomplete",
    /// The owner of a flow was learned.
    FlowOwnerLearned => "flow_owner_learned",
    /// An open flow was ended because its target is gone.
    FlowLost => "flow_lost",
    /// Another instance was learned of, left or was forgotten.
    MemberChanged => "member_changed",
    /// The state of the own target has changed.
    TargetChanged => "target_changed",
    /// New routes came into force.
    RoutesChanged => "routes_changed",
    /// A notice that cannot be read was dropped.
    DroppedNotice => "dropped_notice",
    /// A heartbeat or an entry that names no usable target was ignored.
    IgnoredReport => "ignored_report",
    /// A call of the store failed or was refused.
    StoreCallFailed => "store_call_failed",
    /// A packet of a lost flow was answered with a stateless reset.
    ResetSent => "reset_sent",
    /// A packet whose header cannot be read was dropped.
    DroppedMalformed => "dropped_malformed",
    /// A packet that names no agent and opens no flow was dropped.
    DroppedUnroutable => "dropped_unroutable",
    /// A packet whose connection ID belongs to another service was dropped.
    DroppedWrongService => "dropped_wrong_service",
    /// A datagram from a process that does not share the keys was dropped.
    DroppedNotAuthentic => "dropped_not_authentic",
    /// A datagram that had come before was dropped.
    DroppedReplayed => "dropped_replayed",
    /// A datagram that is too long was dropped.
    DroppedOversized => "dropped_oversized",
    /// A first packet was dropped because too many wait.
    DroppedOverload => "dropped_overload",
    /// A packet could not be sent.
    SendFailed => "send_failed",
    /// An announcement was refused because it contradicts the settings.
    AnnounceRefused => "announce_refused",
    /// The store was called, a waiting watch once.
    StoreCalled => "store_called",
    /// A connection of a caller was accepted.
    ConnectionOpened => "connection_opened",
    /// A connection of a caller was refused.
    ConnectionRefused => "connection_refused",
    /// A connection of a caller has ended.
    ConnectionClosed => "connection_closed",
    /// A request was answered in full.
    RequestAnswered => "request_answered",
    /// A request was refused before it ran.
    RequestNotRun => "request_not_run",
    /// A request ran or may have run, and its answer was lost.
    RequestOutcomeUnknown => "request_outcome_unknown",
    /// A request was given up by its caller.
    RequestCancelled => "request_cancelled",
    /// A request was answered from the kept outcome of an earlier one.
    RequestRepeated => "request_repeated",
    /// A request was handed to another agent.
    RequestHandedOver => "request_handed_over",
}

/// One counter an event.
#[derive(Clone, Debug)]
pub struct Counters {
    values: Arc<[AtomicU64]>,
}

impl Default for Counters {
    fn default() -> Self {
        Self::new()
    }
}

impl Counters {
    /// Makes counters that stand at zero.
    ///
    /// ```
    /// use bamboowind::observe::counters::{Counters, Event};
    ///
    /// let counters = Counters::new();
    /// counters.add(Event::RetrySent, 2);
    /// assert_eq!(counters.get(Event::RetrySent), 2);
    /// ```
    #[must_use]
    pub fn new() -> Self {
        let values = Event::ALL.iter().map(|_| AtomicU64::new(0)).collect();
        Self { values }
    }

    /// Counts one event.
    pub fn count(&self, event: Event) {
        self.add(event, 1);
    }

    /// Counts several events at once.
    pub fn add(&self, event: Event, amount: u64) {
        self.values[event as usize].fetch_add(amount, Ordering::Relaxed);
    }

    /// How often an event was counted.
    #[must_use]
    pub fn get(&self, event: Event) -> u64 {
        self.values[event as usize].load(Ordering::Relaxed)
    }

    /// All events that were counted at least once.
    pub fn counted(&self) -> impl Iterator<Item = (Event, u64)> {
        let all = Event::ALL.iter().map(|&event| (event, self.get(event)));
        all.filter(|&(_, count)| count > 0)
    }
}
