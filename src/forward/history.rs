//! How far back a process knows of every agent, from which it concludes that its view of the agents
//! is complete.
//!
//! The load is planned restarts after the store has lost entries of running instances: an agent that
//! is away then is named by no list of the store, and only instances that heard from it know that it
//! may return with flows. A process that starts has a history of zero. It takes over the history of
//! an instance that has been running for longer, together with that instance's list of live and
//! awaited agents, and so the knowledge survives any series of restarts.
//!
//! If all processes have started within [`START_SPREAD_MS`], as after a loss of all power, nobody
//! knows more than the store's list, which is then all the evidence there is.

use std::net::SocketAddrV4;

use super::notices::MemberList;
use crate::membership::{
    directory::{Directory, REMOVE_AFTER_MS},
    instance::InstanceRole,
};

/// Difference in history up to which two processes know the same. Processes that lost power
/// together start within this time.
pub const START_SPREAD_MS: u64 = 1_000;
/// Time within which a running instance answers the presence message of a started one, also if the
/// first one is lost.
pub const ANSWER_MS: u64 = 300;
/// Longest history. Instances that have been silent for longer are forgotten.
const MAX_HISTORY_MS: u64 = REMOVE_AFTER_MS;
/// Maximum number of lists that are received at the same time.
const MAX_PENDING_LISTS: usize = 4;
/// Maximum number of parts of a list, which bounds the memory for it.
const MAX_PARTS: u32 = 4_096;

/// Why a view of the agents may lack some that hold flows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HistoryGap {
    /// An instance with a longer history is heard from, and its list has not arrived yet.
    ListMissing,
    /// Instances that were running before this one may not have answered yet.
    AnswersMissing,
}

impl HistoryGap {
    /// Name in the log.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::ListMissing => "list_missing",
            Self::AnswersMissing => "answers_missing",
        }
    }
}

/// A list of instances of which some parts have been received.
#[derive(Clone, Debug)]
struct PendingList {
    from: SocketAddrV4,
    list_id: u32,
    /// Whether each part has been received.
    is_received: Vec<bool>,
}

/// History of the local process.
#[derive(Clone, Debug)]
pub struct History {
    /// History at `since_ms`.
    initial_ms: u64,
    /// Time at which the history was `initial_ms`.
    since_ms: u64,
    /// Lists that are being received.
    pending: Vec<PendingList>,
}

impl History {
    /// Creates the history of a process that starts now.
    ///
    /// ```
    /// use bamboowind::forward::history::History;
    ///
    /// assert_eq!(History::new(1_000).history_ms(1_500), 500);
    /// ```
    #[must_use]
    pub fn new(now_ms: u64) -> Self {
        Self {
            initial_ms: 0,
            since_ms: now_ms,
            pending: Vec::new(),
        }
    }

    /// Time for which this process knows of every agent that was heard, in milliseconds.
    #[must_use]
    pub fn history_ms(&self, now_ms: u64) -> u64 {
        let uptime_ms = now_ms.saturating_sub(self.since_ms);
        (self.initial_ms + uptime_ms).min(MAX_HISTORY_MS)
    }

    /// Records a part of a list whose members have been added to the directory. Takes over the
    /// history of its sender if that is longer and all parts have arrived; returns whether it was.
    pub fn record_part(&mut self, from: SocketAddrV4, list: &MemberList, now_ms: u64) -> bool {
        if list.history_ms == 0 || list.parts > MAX_PARTS || list.part >= list.parts {
            return false;
        }
        let is_pending =
            |pending: &PendingList| pending.from == from && pending.list_id == list.list_id;
        let mut pending = match self.pending.iter().position(is_pending) {
            Some(index) => self.pending.remove(index),
            None => PendingList {
                from,
                list_id: list.list_id,
                is_received: vec![false; list.parts as usize],
            },
        };
        if let Some(is_received) = pending.is_received.get_mut(list.part as usize) {
            *is_received = true;
        }
        if pending.is_received.contains(&false) {
            if self.pending.len() == MAX_PENDING_LISTS {
                self.pending.remove(0);
            }
            self.pending.push(pending);
            return false;
        }
        let history_ms = u64::from(list.history_ms).min(MAX_HISTORY_MS);
        if history_ms <= self.history_ms(now_ms) {
            return false;
        }
        self.initial_ms = history_ms;
        self.since_ms = now_ms;
        true
    }

    /// Whether an instance with this history knows more than the local process.
    #[must_use]
    pub fn is_behind(&self, history_ms: u64, now_ms: u64) -> bool {
        history_ms.min(MAX_HISTORY_MS) > self.history_ms(now_ms) + START_SPREAD_MS
    }

    /// Why the local view of the agents may lack some that hold flows; `None` if it is as complete
    /// as that of any instance that is heard from. `listed_for_ms` is the time since the store's
    /// list was first read.
    ///
    /// While no instance with a longer history is heard from, one may still answer. There is none if
    /// all listed instances have answered, or if those that were there first have waited already.
    #[must_use]
    pub fn gap(
        &self,
        directory: &Directory,
        listed_for_ms: u64,
        now_ms: u64,
    ) -> Option<HistoryGap> {
        let mut has_waited = listed_for_ms >= ANSWER_MS;
        let mut hears_balancer = false;
        let mut is_answer_missing = false;
        for member in directory
            .members()
            .iter()
            .filter(|m| !directory.is_local(m))
        {
            if !member.is_confirmed {
                is_answer_missing |= member.is_listed;
            } else if member.forwards(now_ms) {
                let history_ms = member.history_ms(now_ms).unwrap_or_default();
                if self.is_behind(history_ms, now_ms) {
                    return Some(HistoryGap::ListMissing);
                }
                has_waited |= history_ms >= ANSWER_MS;
                hears_balancer |= member.instance.role == InstanceRole::Balancer;
            }
        }
        let have_all_answered = hears_balancer && !is_answer_missing;
        (!has_waited && !have_all_answered).then_some(HistoryGap::AnswersMissing)
    }
}
