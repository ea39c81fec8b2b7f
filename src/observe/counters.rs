//! Event counters. Each is one relaxed atomic, cheap enough to update for every datagram.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

macro_rules! events {
    ($($(#[$doc:meta])* $variant:ident => $name:literal,)*) => {
        /// An event that is counted.
        #[derive(Clone, Copy, Debug, Eq, PartialEq)]
        pub enum Event {
            $($(#[$doc])* $variant,)*
        }

        impl Event {
            /// All events, in the order of their discriminants.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// Returns the name of the event in the metrics and the status.
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
    /// A caller's packet was forwarded to an agent or a target.
    PacketForwarded => "packet_forwarded",
    /// A reply packet was sent to a caller.
    PacketReturned => "packet_returned",
    /// The first packet of a flow was answered with a QUIC Retry packet.
    RetrySent => "retry_sent",
    /// A new flow was refused because no agent could accept it.
    FlowRefused => "flow_refused",
    /// An agent was chosen for a new flow.
    FlowPlaced => "flow_placed",
    /// An agent forwarded a request to its local target.
    RequestForwarded => "request_forwarded",
    /// A SYN was queued until its target has a free slot.
    FlowWaits => "flow_waits",
    /// A queued SYN was forwarded to the target.
    FlowAdmitted => "flow_admitted",
    /// An agent redirected a SYN to another agent.
    FlowPassedOn => "flow_passed_on",
    /// A SYN was redirected, queued, refused or dropped because the target is cold and has been sent
    /// as many SYNs as it may get.
    FlowColdLimited => "flow_cold_limited",
    /// The local target of an agent became cold or warm.
    TargetWarmthChanged => "target_warmth_changed",
    /// A packet of an unknown flow was sent to an agent that may know the owner of the flow.
    FlowLookedUp => "flow_looked_up",
    /// A search for a flow ended without a reply from every agent that may know it, so its caller
    /// was sent no reset.
    FlowSearchIncomplete => "flow_search_incomplete",
    /// A search for a flow ended without finding its owner.
    FlowSearchEnded => "flow_search_ended",
    /// The local target sent a reset to a caller.
    TargetReset => "target_reset",
    /// The owner of a flow was received from another instance.
    FlowOwnerLearned => "flow_owner_learned",
    /// Flows of an agent that has restarted were sent to it or received by it, or their owners were
    /// handed over to another agent.
    FlowOwnersRecovered => "flow_owners_recovered",
    /// An open flow was ended because its target is no longer running.
    FlowLost => "flow_lost",
    /// Another instance was added, changed its state or was removed.
    MemberChanged => "member_changed",
    /// The list of an instance with a longer history was received.
    HistoryExtended => "history_extended",
    /// The view of the agents has become complete or incomplete.
    ViewChanged => "view_changed",
    /// The state of the local target has changed.
    TargetChanged => "target_changed",
    /// The local target was suspected of failing requests, or has had a relapse.
    TargetSuspected => "target_suspected",
    /// The local target is trusted again.
    TargetTrusted => "target_trusted",
    /// The agent of a suspect target redirected a SYN to another agent.
    FlowKeptFromSuspect => "flow_kept_from_suspect",
    /// It was checked whether the local target accepts connections.
    TargetChecked => "target_checked",
    /// The routes were updated.
    RoutesChanged => "routes_changed",
    /// Failure domains were evacuated or returned to service.
    EvacuationsChanged => "evacuations_changed",
    /// A SYN was redirected, refused or dropped because a failure domain is evacuated.
    FlowEvacuated => "flow_evacuated",
    /// The targets outside the evacuated failure domains had no free slot while a queue grew.
    RemainingTargetsFull => "remaining_targets_full",
    /// A notice that cannot be decoded was dropped.
    DroppedNotice => "dropped_notice",
    /// A target's heartbeat or a store entry was ignored because it is invalid.
    IgnoredReport => "ignored_report",
    /// The store came back from an older copy of its contents.
    StoreRestored => "store_restored",
    /// A policy that the store had lost was written to it again.
    PolicyRecovered => "policy_recovered",
    /// A call to the store failed.
    StoreCallFailed => "store_call_failed",
    /// A packet of a lost flow was answered with a reset.
    ResetSent => "reset_sent",
    /// A packet or message that cannot be decoded was dropped.
    DroppedMalformed => "dropped_malformed",
    /// A packet that belongs to no known flow and cannot open one was dropped.
    DroppedUnroutable => "dropped_unroutable",
    /// A packet whose connection ID belongs to another service was dropped.
    DroppedWrongService => "dropped_wrong_service",
    /// A datagram that failed authentication with the shared keys was dropped.
    DroppedNotAuthentic => "dropped_not_authentic",
    /// A datagram that had been received before was dropped.
    DroppedReplayed => "dropped_replayed",
    /// A datagram longer than the supported maximum was dropped.
    DroppedOversized => "dropped_oversized",
    /// A packet or message was dropped because the queue to the control actor is full.
    DroppedOverload => "dropped_overload",
    /// A packet could not be sent; the socket returned an error.
    SendFailed => "send_failed",
    /// An agent's announcement was refused because its address is not IPv4 or its service is not in
    /// the settings.
    AnnounceRefused => "announce_refused",
    /// The store was called. A watch counts once, however long it waits.
    StoreCalled => "store_called",
    /// A caller's connection was accepted.
    ConnectionOpened => "connection_opened",
    /// A caller's connection was refused because the agent is full or not accepting new flows.
    ConnectionRefused => "connection_refused",
    /// An accepted connection of a caller was closed.
    ConnectionClosed => "connection_closed",
    /// A request received its complete response.
    RequestAnswered => "request_answered",
    /// A request was refused before its target started it.
    RequestNotRun => "request_not_run",
    /// A request ran or may have run, but its response was lost.
    RequestOutcomeUnknown => "request_outcome_unknown",
    /// A request was cancelled by its caller.
    RequestCancelled => "request_cancelled",
    /// A request was answered with the stored response of an earlier request with the same key.
    RequestRepeated => "request_repeated",
    /// An agent handed a request over to another agent.
    RequestHandedOver => "request_handed_over",
}

/// A set of counters, one per event. Clones share the same counters.
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
    /// Creates counters that start at zero.
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

    /// Increments the counter of an event.
    pub fn count(&self, event: Event) {
        self.add(event, 1);
    }

    /// Adds `amount` occurrences of an event.
    pub fn add(&self, event: Event, amount: u64) {
        self.values[event as usize].fetch_add(amount, Ordering::Relaxed);
    }

    /// Returns the number of occurrences of an event.
    #[must_use]
    pub fn get(&self, event: Event) -> u64 {
        self.values[event as usize].load(Ordering::Relaxed)
    }

    /// Returns the events that occurred at least once, with their counts.
    pub fn nonzero(&self) -> impl Iterator<Item = (Event, u64)> {
        let all = Event::ALL.iter().map(|&event| (event, self.get(event)));
        all.filter(|&(_, count)| count > 0)
    }
}
