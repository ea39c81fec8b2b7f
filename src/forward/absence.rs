//! Evidence that no live target holds a flow, without which no open flow is reset.
//!
//! There are two kinds of it. The target at which a flow was opened is the only one that can hold
//! it, so its denial is enough. If that target is not known, every agent that may hold the flow must
//! have been asked: each agent on the way of a search compares its view of the agents with that of
//! the one before it, and one difference makes the search incomplete. A caller whose search is
//! incomplete is sent nothing; its retransmission starts a new search.

use super::{agent::target_check::TargetChecks, decision::SearchGap};
use crate::{
    flow::packet::{HopMetadata, Lookup, VIEW_GENERATIONS},
    membership::directory::SearchView,
};

/// What the local target has answered to a packet of a flow that its agent does not know.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TargetAnswer {
    /// It has returned the packet or reset the flow.
    Denied,
    /// Nothing: it may hold the flow and be busy.
    Silent,
    /// It cannot be asked: it has exited, no process listens at its address, or it was never heard
    /// from.
    Unreachable,
}

/// What the absence of a flow is concluded from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AbsenceGround {
    /// The target at which the flow was opened has denied it.
    HolderDenied,
    /// The process of the target at which the flow was opened has ended.
    HolderEnded,
    /// The targets of all agents have denied it.
    AllTargetsDenied,
}

impl AbsenceGround {
    /// Name in the log.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::HolderDenied => "holder_denied",
            Self::HolderEnded => "holder_ended",
            Self::AllTargetsDenied => "all_targets_denied",
        }
    }
}

/// Proof that no live target holds a flow. Only the functions of this type create one.
#[derive(Debug)]
pub struct FlowAbsence {
    ground: AbsenceGround,
}

impl FlowAbsence {
    /// The absence of a flow that was opened at the local target and that the target has denied
    /// since.
    #[must_use]
    pub fn from_holder() -> Self {
        let ground = AbsenceGround::HolderDenied;
        Self { ground }
    }

    /// The absence of the flows that were opened at the local target; `None` unless its process is
    /// known to have ended.
    #[must_use]
    pub fn from_ended_holder(checks: &TargetChecks) -> Option<Self> {
        let ground = AbsenceGround::HolderEnded;
        checks.is_gone().then_some(Self { ground })
    }

    /// The absence of a flow whose packet was sent here because this agent has registered the flow;
    /// `None` if it was sent for another reason or the target has not denied it.
    #[must_use]
    pub fn from_registration(lookup: Lookup, answer: TargetAnswer) -> Option<Self> {
        let is_denied = lookup == Lookup::Registered && answer == TargetAnswer::Denied;
        is_denied.then(Self::from_holder)
    }

    /// The absence of a flow at the end of a search; `None` if an agent is left to be asked or
    /// `gap` or an agent before this one has made the search incomplete.
    #[must_use]
    pub fn from_search(
        hop: HopMetadata,
        view: &SearchView<'_>,
        gap: Option<&SearchGap>,
    ) -> Option<Self> {
        let is_complete = view.next.is_none() && !hop.is_incomplete && gap.is_none();
        let ground = AbsenceGround::AllTargetsDenied;
        is_complete.then_some(Self { ground })
    }

    /// What the absence is concluded from.
    #[must_use]
    pub fn into_ground(self) -> AbsenceGround {
        self.ground
    }
}

/// Directory generation to write into a packet that is sent to the local target.
#[must_use]
pub fn view_generation(generation: u64) -> u8 {
    u8::try_from(generation % u64::from(VIEW_GENERATIONS)).unwrap_or_default()
}

/// Why a search is incomplete when its packet arrives at an agent; `None` if it is complete so far.
///
/// The agents before this one have asked those that they know down to this one. That covers the ones
/// that this agent knows exactly if both know the same.
#[must_use]
pub fn gap_on_arrival(hop: HopMetadata, view: &SearchView<'_>) -> Option<SearchGap> {
    let is_search = hop.lookup == Lookup::Search;
    (is_search && hop.view_digest != view.digest).then_some(SearchGap::ViewsDiffer)
}

/// Why a search is incomplete at an agent whose target has answered; `None` if it is complete so
/// far. `generation` is that of the agent's directory, and `view_gap` tells why agents may be missing
/// in it.
#[must_use]
pub fn gap_after_answer(
    hop: HopMetadata,
    answer: TargetAnswer,
    view: &SearchView<'_>,
    generation: u64,
    view_gap: Option<SearchGap>,
    now_ms: u64,
) -> Option<SearchGap> {
    if view_gap.is_some() {
        return view_gap;
    }
    if answer == TargetAnswer::Silent {
        return Some(SearchGap::TargetSilent);
    }
    if let Some(member) = view.awaited {
        return Some(SearchGap::AgentLeftOut {
            agent: member.instance.name.clone(),
            reason: member.await_reason(),
            silent_ms: member.silent_ms(now_ms),
        });
    }
    let is_changed = hop.view_generation != view_generation(generation);
    (hop.lookup == Lookup::Search && is_changed).then_some(SearchGap::ViewsDiffer)
}
