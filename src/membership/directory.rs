//! Directory of the instances known to a process, with the time at which each was last heard from.

use std::{net::SocketAddrV4, sync::Arc};

use crate::{
    control::store::StoreEra,
    flow::{packet::VIEW_DIGEST_BITS, routes::RouteVersion},
};

use super::{
    evacuation_set::contains,
    instance::{ClassResponses, Instance, InstanceRole, Presence, TargetLoad, TargetState},
    rendezvous::{name_hash, tag, weight},
};

/// Minimum silence after which an instance is suspected to be dead: it is assigned no new flows and
/// is not used as a registry agent. Allows for three lost presence messages at the shortest
/// interval.
pub const SUSPECT_AFTER_MS: u64 = 700;
/// Silence after which an instance is suspected, in percent of the instance's message interval.
const SUSPECT_AFTER_PERCENT: u64 = 350;
/// Time for which an instance that has announced its exit and holds no flows is kept, in case it
/// restarts.
const RESTART_GRACE_MS: u64 = 2_000;
/// Silence after which an instance is removed; longer than a frozen process or a network partition
/// is likely to last.
pub const REMOVE_AFTER_MS: u64 = 30_000;
/// Time for which an agent forwards packets after it has announced its exit.
pub const LEAVE_GRACE_MS: u64 = 1_000;
/// Time for which a search asks an agent that has announced its exit. The margin keeps packets from
/// arriving after the exit.
const SEARCHED_WHILE_LEAVING_MS: u64 = LEAVE_GRACE_MS - 100;
/// Time after a restore of the store by which all running instances have registered again.
pub const REGISTERED_AGAIN_MS: u64 = 3_000;
/// Time to live of an instance's entry in the store without renewal. It outlasts the usual outages
/// of a store.
pub const LEASE_TTL_MS: u64 = 30_000;
/// Silence up to which an agent that was heard from may still recover with its target's flows.
const RECOVERY_TIMEOUT_MS: u64 = 15_000;
/// Silence up to which an unconfirmed agent, or one whose target is not known yet, may still appear
/// with flows.
const DISCOVERY_TIMEOUT_MS: u64 = 3_000;
/// Time after which each running instance has read the store's list again. What a list of another
/// instance says about the store is not older.
const LISTING_VALID_MS: u64 = LEASE_TTL_MS / 3;
/// Time for which an unconfirmed instance is considered alive after it was added.
const UNCONFIRMED_ALIVE_MS: u64 = 1_500;

/// A list of instances that was read from the store.
#[derive(Clone, Copy, Debug)]
struct Listing {
    /// Era of the store in which it was read.
    era: StoreEra,
    /// Time at which it was read.
    read_at_ms: u64,
}

/// A known instance and its last known state.
#[derive(Clone, Debug)]
#[allow(clippy::struct_excessive_bools)] // These are independent conditions.
pub struct Member {
    /// Identity and addresses of the instance.
    pub instance: Instance,
    /// Tag that identifies the instance in packets.
    pub tag: u16,
    /// Time at which the instance was last heard from directly or, if it is unconfirmed, added.
    pub last_heard_at_ms: u64,
    /// Whether the instance itself has been heard from. An unconfirmed instance is known only from
    /// the store or from another instance.
    pub is_confirmed: bool,
    /// Whether the store lists the instance, or would if it had not been restored from a copy.
    pub is_listed: bool,
    /// The last list with the instance; `None` if there was none.
    last_listing: Option<Listing>,
    /// Time until which the instance counts as listed without another list.
    listed_until_ms: u64,
    /// Time until which the unconfirmed agent is awaited although the store does not list it.
    awaited_until_ms: u64,
    /// Whether the unconfirmed agent is known only as one that others await, so it is not running.
    is_reported_away: bool,
    /// Time for which the instance knew of every agent, in milliseconds, and the time at which it
    /// said so; `None` if it never did.
    history: Option<(u64, u64)>,
    /// Time at which the instance first announced that it is about to exit, which may be before it
    /// was first heard here; `None` if it has not.
    leaving_since_ms: Option<u64>,
    /// Whether the instance's target was draining according to the last report of an earlier
    /// incarnation of the instance.
    pub was_draining: bool,
    /// Version of the instance's route table.
    pub route_version: RouteVersion,
    /// Whether a service in the instance's route table limits the new flows of cold targets.
    pub limits_cold_targets: bool,
    /// Whether the fabric sends callers' packets to the instance.
    pub is_in_rotation: bool,
    /// Time at which the instance last reported contact with the store; `None` if it never did.
    pub reached_store_at_ms: Option<u64>,
    /// Last reported load of the instance's target.
    pub load: TargetLoad,
    /// Last reported responses of the instance's target by class; empty if there are none.
    pub class_responses: Vec<ClassResponses>,
    /// Time of that report; 0 before the first one.
    pub class_responses_at_ms: u64,
    /// Number of flows placed on the target since the last load report.
    pub placed_since_report: u32,
    /// Time of the last load report or, without any, time at which the member was added.
    load_reported_at_ms: u64,
    /// Silence after which the confirmed instance is no longer considered alive, in milliseconds.
    suspect_after_ms: u64,
    name_hash: u64,
}

impl Member {
    fn new(instance: Instance, now_ms: u64) -> Self {
        Self {
            tag: tag(&instance.name),
            name_hash: name_hash(&instance.name),
            instance,
            last_heard_at_ms: now_ms,
            is_confirmed: false,
            is_listed: false,
            last_listing: None,
            listed_until_ms: 0,
            awaited_until_ms: now_ms + DISCOVERY_TIMEOUT_MS,
            is_reported_away: false,
            history: None,
            leaving_since_ms: None,
            was_draining: false,
            route_version: RouteVersion::default(),
            limits_cold_targets: false,
            is_in_rotation: false,
            reached_store_at_ms: None,
            load: TargetLoad::default(),
            class_responses: Vec::new(),
            class_responses_at_ms: 0,
            placed_since_report: 0,
            load_reported_at_ms: now_ms,
            suspect_after_ms: SUSPECT_AFTER_MS,
        }
    }

    /// Replaces the instance by a later incarnation, which the store lists under the same name.
    fn replace(&mut self, instance: Instance, now_ms: u64) {
        let (is_listed, last_listing) = (self.is_listed, self.last_listing);
        let listed_until_ms = self.listed_until_ms;
        // The flows of the earlier incarnation may still be there.
        let awaited_until_ms = now_ms + self.await_ms(now_ms).max(DISCOVERY_TIMEOUT_MS);
        let was_draining = match self.load.state {
            TargetState::Draining => true,
            TargetState::Unknown => self.was_draining,
            TargetState::Ready | TargetState::Unresponsive | TargetState::Absent => false,
        };
        *self = Self {
            is_listed,
            last_listing,
            listed_until_ms,
            awaited_until_ms,
            was_draining,
            ..Self::new(instance, now_ms)
        };
    }

    /// Whether the instance is considered alive, which it is until its exit.
    #[must_use]
    pub fn is_alive(&self, now_ms: u64) -> bool {
        let timeout_ms = if self.is_confirmed {
            self.suspect_after_ms
        } else if self.is_reported_away {
            return false;
        } else {
            UNCONFIRMED_ALIVE_MS
        };
        now_ms.saturating_sub(self.last_heard_at_ms) < timeout_ms
    }

    /// Whether the instance has announced that it is about to exit.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving_since_ms.is_some()
    }

    /// Whether the instance is alive and has not announced its exit, so that it may be given flows,
    /// slots or owners to store.
    #[must_use]
    pub fn is_staying(&self, now_ms: u64) -> bool {
        !self.is_leaving() && self.is_alive(now_ms)
    }

    /// Whether the instance is alive and forwards packets. An agent that has announced its exit
    /// still does for a while, and nobody else reaches its target.
    #[must_use]
    pub fn forwards(&self, now_ms: u64) -> bool {
        let has_exited = self.leaving_since_ms.is_some_and(|since_ms| {
            self.instance.role == InstanceRole::Agent
                && now_ms.saturating_sub(since_ms) >= SEARCHED_WHILE_LEAVING_MS
        });
        !has_exited && self.is_alive(now_ms)
    }

    /// Hash of the instance's name.
    #[must_use]
    pub fn name_hash(&self) -> u64 {
        self.name_hash
    }

    /// Whether the instance is an agent whose target belongs to `service`.
    #[must_use]
    pub fn serves(&self, service: &str) -> bool {
        self.instance.role == InstanceRole::Agent && self.load.service.as_deref() == Some(service)
    }

    /// Whether the agent's target had no flows and accepted no new ones according to the last
    /// report.
    fn holds_no_flows(&self) -> bool {
        matches!(self.load.state, TargetState::Draining | TargetState::Absent)
            && self.load.flows == 0
    }

    /// Whether a search for a flow asks this agent. An unconfirmed one may not be running.
    fn is_searched(&self, now_ms: u64) -> bool {
        self.instance.role == InstanceRole::Agent && self.is_confirmed && self.forwards(now_ms)
    }

    /// Whether this agent, which cannot be asked, may return beside a target that holds flows.
    fn is_awaited(&self, now_ms: u64) -> bool {
        if self.instance.role != InstanceRole::Agent || self.is_searched(now_ms) {
            return false;
        }
        let silent_ms = self.silent_ms(now_ms);
        if !self.is_confirmed {
            return self.is_listed || now_ms <= self.awaited_until_ms;
        }
        // An agent that never heard from a target is most likely beside none.
        if self.load.state == TargetState::Unknown && self.load.flows == 0 {
            return silent_ms <= DISCOVERY_TIMEOUT_MS;
        }
        !self.holds_no_flows() && (self.is_listed || silent_ms <= RECOVERY_TIMEOUT_MS)
    }

    /// Time for which this agent has to be awaited if it is not heard from any more, in
    /// milliseconds; 0 for a balancer. All processes that are told of it await it until about the
    /// same time.
    fn await_ms(&self, now_ms: u64) -> u64 {
        if self.instance.role != InstanceRole::Agent || self.is_confirmed && self.holds_no_flows() {
            return 0;
        }
        let silent_ms = self.silent_ms(now_ms);
        if self.is_confirmed && self.load.state == TargetState::Unknown && self.load.flows == 0 {
            return DISCOVERY_TIMEOUT_MS.saturating_sub(silent_ms);
        }
        let known_ms = if self.is_confirmed {
            RECOVERY_TIMEOUT_MS.saturating_sub(silent_ms)
        } else {
            self.awaited_until_ms.saturating_sub(now_ms)
        };
        let listed_ms = self.listed_until_ms.saturating_sub(now_ms);
        known_ms.max(if self.is_listed { listed_ms } else { 0 })
    }

    /// Time for which the instance knows of every agent that was heard, in milliseconds; `None` if
    /// it has not said so.
    #[must_use]
    pub fn history_ms(&self, now_ms: u64) -> Option<u64> {
        let (history_ms, at_ms) = self.history?;
        Some(history_ms.saturating_add(now_ms.saturating_sub(at_ms)))
    }

    /// Why a search leaves out this agent, which is awaited.
    #[must_use]
    pub fn await_reason(&self) -> AwaitReason {
        if !self.is_confirmed {
            AwaitReason::Unconfirmed
        } else if self.is_leaving() {
            AwaitReason::Leaving
        } else {
            AwaitReason::Silent
        }
    }

    /// Requests in progress at the instance's target, with the flows placed since the last report.
    #[must_use]
    pub fn expected_running(&self) -> u32 {
        self.load.running.saturating_add(self.placed_since_report)
    }

    /// Whether the agent would admit one more SYN: its target is not cold, or the flows placed since
    /// the last report have not used up the allowance in it.
    #[must_use]
    pub fn has_cold_allowance(&self) -> bool {
        let allowance = self.load.cold_allowance;
        allowance.is_none_or(|allowance| self.placed_since_report < allowance)
    }

    /// Time since the last load report, in milliseconds.
    #[must_use]
    pub fn load_age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.load_reported_at_ms)
    }

    /// Time since the instance was last heard from, in milliseconds.
    #[must_use]
    pub fn silent_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.last_heard_at_ms)
    }
}

/// Why a search leaves out an agent that may return beside a target with flows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AwaitReason {
    /// It has announced its exit.
    Leaving,
    /// It has been silent for too long.
    Silent,
    /// It is known only from the store or from another instance.
    Unconfirmed,
}

/// Change of the known state of an instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MemberChange {
    /// The instance was added, confirmed or restarted.
    Joined,
    /// The instance has announced that it is about to exit.
    Leaving,
    /// The state or the service of the instance's target has changed; contains the current state.
    Target(TargetState),
}

/// Next step of the search for a flow, and what this process knows about the agents that may hold
/// it.
#[derive(Clone, Copy, Debug)]
pub struct SearchView<'a> {
    /// The live agent, which may be leaving, with the highest rendezvous weight below the given one.
    pub next: Option<&'a Member>,
    /// Rendezvous weight of `next`; 0 if there is none.
    pub next_weight: u64,
    /// Digest of the names of all live agents that may hold flows, of [`VIEW_DIGEST_BITS`] bits.
    pub digest: u32,
    /// Number of live agents.
    pub agents: usize,
    /// An agent that may still have flows and is silent, unconfirmed or past its announced exit.
    pub awaited: Option<&'a Member>,
    /// Number of agents that are left out like `awaited`.
    pub left_out: usize,
}

/// Known instances, sorted by name.
#[derive(Clone, Debug)]
pub struct Directory {
    local_name: Arc<str>,
    members: Vec<Member>,
    generation: u64,
    /// Evacuated failure domains, sorted.
    evacuated: Vec<Arc<str>>,
}

impl Directory {
    /// Creates the empty directory of the instance `local_name`.
    #[must_use]
    pub fn new(local_name: Arc<str>) -> Self {
        Self {
            local_name,
            members: Vec::new(),
            generation: 0,
            evacuated: Vec::new(),
        }
    }

    /// Counter that is incremented whenever the registry agents of flows may have changed.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// All members, sorted by name.
    #[must_use]
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Sets the evacuated failure domains; `names` are sorted.
    pub fn set_evacuated(&mut self, names: Vec<Arc<str>>) {
        self.evacuated = names;
    }

    /// Whether the failure domain of `member` is evacuated, so that its target gets no new flows.
    #[must_use]
    pub fn is_evacuated(&self, member: &Member) -> bool {
        contains(&self.evacuated, &member.instance.failure_domain)
    }

    /// Whether a target of a service is left out only because its failure domain is evacuated.
    #[must_use]
    pub fn has_evacuated_target(&self, service: &str, now_ms: u64) -> bool {
        self.members.iter().any(|member| {
            self.is_evacuated(member)
                && member.serves(service)
                && member.load.state == TargetState::Ready
                && member.is_staying(now_ms)
        })
    }

    /// Index of the member with a name, or the index at which it would be inserted.
    fn find(&self, name: &str) -> Result<usize, usize> {
        self.members
            .binary_search_by(|member| (*member.instance.name).cmp(name))
    }

    /// Member with this name.
    #[must_use]
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.find(name).ok().map(|index| &self.members[index])
    }

    /// Member whose packet address is `address`.
    #[must_use]
    pub fn by_packet_address(&self, address: SocketAddrV4) -> Option<&Member> {
        let mut members = self.members.iter();
        members.find(|member| member.instance.packet_address == address)
    }

    /// Member that `tag` identifies in packets.
    #[must_use]
    pub fn by_tag(&self, tag: u16) -> Option<&Member> {
        self.members.iter().find(|member| member.tag == tag)
    }

    /// Adds an instance that the store or another instance has named.
    ///
    /// A member that is considered alive is not replaced by this indirect information, neither
    /// under its name nor at its address: the entry of an instance that has left may return when the
    /// store is restored from a copy.
    pub fn add_unconfirmed(&mut self, instance: Instance, now_ms: u64) -> Option<MemberChange> {
        if instance.name == self.local_name {
            return None;
        }
        let found = self.find(&instance.name);
        if let Ok(index) = found {
            let member = &self.members[index];
            let is_same = member.instance.incarnation == instance.incarnation;
            if is_same || member.forwards(now_ms) {
                return None;
            }
        }
        let is_successor = |member: &Member| {
            member.instance.control_address == instance.control_address
                && member.instance.name != instance.name
                && member.is_confirmed
                && member.forwards(now_ms)
        };
        if self.members.iter().any(is_successor) {
            return None;
        }
        match found {
            Ok(index) => self.members[index].replace(instance, now_ms),
            Err(index) => self.members.insert(index, Member::new(instance, now_ms)),
        }
        self.generation += 1;
        Some(MemberChange::Joined)
    }

    /// Records that an unconfirmed agent has to be awaited for `await_ms` although it may not be
    /// running, as another instance says. An agent that was heard from here is not affected. Adds
    /// the agent if it is not known.
    pub fn await_agent(
        &mut self,
        agent: Instance,
        await_ms: u64,
        now_ms: u64,
    ) -> Option<MemberChange> {
        if agent.role != InstanceRole::Agent || agent.name == self.local_name {
            return None;
        }
        let awaited_until_ms = now_ms + await_ms.min(REMOVE_AFTER_MS);
        let mut change = None;
        if self.find(&agent.name).is_err() {
            let name = Arc::clone(&agent.name);
            change = self.add_unconfirmed(agent, now_ms);
            if let Ok(index) = self.find(&name) {
                self.members[index].awaited_until_ms = awaited_until_ms;
                self.members[index].is_reported_away = true;
            }
            return change;
        }
        self.extend_await(&agent.name, awaited_until_ms);
        change
    }

    /// Awaits an unconfirmed agent until this time or longer.
    fn extend_await(&mut self, name: &str, until_ms: u64) {
        if let Ok(index) = self.find(name) {
            let member = &mut self.members[index];
            member.awaited_until_ms = member.awaited_until_ms.max(until_ms);
        }
    }

    /// Records that an instance that another one has heard from recently has to be awaited for
    /// `await_ms` if it is not heard from here.
    pub fn await_live(&mut self, name: &str, await_ms: u64, now_ms: u64) {
        self.extend_await(name, now_ms + await_ms.min(REMOVE_AFTER_MS));
    }

    /// The instances that forward packets, each with the time for which it has to be awaited if it
    /// is not heard from any more, in milliseconds.
    pub fn live(&self, now_ms: u64) -> impl Iterator<Item = (&Instance, u64)> {
        let members = self.members.iter();
        let live = members.filter(move |m| m.is_confirmed && m.forwards(now_ms));
        live.map(move |member| (&member.instance, member.await_ms(now_ms)))
    }

    /// The agents that cannot be asked and are awaited, with the time for which, in milliseconds.
    pub fn awaited(&self, now_ms: u64) -> impl Iterator<Item = (&Instance, u64)> {
        let awaited = self.members.iter().filter(move |m| m.is_awaited(now_ms));
        let awaited = awaited.map(move |member| (&member.instance, member.await_ms(now_ms)));
        awaited.filter(|(_, await_ms)| *await_ms > 0)
    }

    /// Updates the state of the local instance, so that it is included in the rendezvous order.
    pub fn update_local(&mut self, presence: Presence, now_ms: u64) {
        let name = std::mem::replace(&mut self.local_name, "".into());
        self.handle_presence(presence, now_ms);
        self.local_name = name;
    }

    /// Whether `member` is the local instance.
    #[must_use]
    pub fn is_local(&self, member: &Member) -> bool {
        member.instance.name == self.local_name
    }

    /// Handles a presence message; one from the local instance is ignored.
    pub fn handle_presence(&mut self, presence: Presence, now_ms: u64) -> Option<MemberChange> {
        let Presence { instance, .. } = presence;
        if instance.name == self.local_name {
            return None;
        }
        let mut change = None;
        let is_new = self.find(&instance.name).map_or(true, |index| {
            let member = &self.members[index];
            member.instance.incarnation != instance.incarnation || !member.is_confirmed
        });
        if is_new {
            self.remove_predecessors(&instance, now_ms);
        }
        let index = match self.find(&instance.name) {
            Ok(index) => {
                if is_new {
                    self.members[index].replace(instance, now_ms);
                    change = Some(MemberChange::Joined);
                }
                index
            }
            Err(index) => {
                self.members.insert(index, Member::new(instance, now_ms));
                change = Some(MemberChange::Joined);
                index
            }
        };
        let member = &mut self.members[index];
        let was_alive = member.is_confirmed && member.is_alive(now_ms);
        member.is_confirmed = true;
        member.last_heard_at_ms = now_ms;
        member.route_version = presence.route_version;
        member.limits_cold_targets = presence.limits_cold_targets;
        member.is_in_rotation = presence.is_in_rotation;
        let history_ms = Some(presence.history_ms).filter(|history_ms| *history_ms > 0);
        member.history = history_ms.map(|history_ms| (history_ms.into(), now_ms));
        let suspect_after_ms = u64::from(presence.next_within_ms) * SUSPECT_AFTER_PERCENT / 100;
        member.suspect_after_ms = suspect_after_ms.clamp(SUSPECT_AFTER_MS, REMOVE_AFTER_MS);
        if presence.reaches_store {
            member.reached_store_at_ms = Some(now_ms);
        }
        if presence.leaving_for_ms.is_some() && !member.is_leaving() {
            change = Some(MemberChange::Leaving);
        }
        member.leaving_since_ms = presence.leaving_for_ms.map(|leaving_for_ms| {
            let since_ms = now_ms.saturating_sub(leaving_for_ms.into());
            member.leaving_since_ms.unwrap_or(now_ms).min(since_ms)
        });
        if !was_alive || change.is_some() {
            self.generation += 1;
        }
        match presence.load {
            Some(load) => {
                let target_change = self.update_load(index, load, now_ms);
                change.or(target_change)
            }
            None => change,
        }
    }

    /// Removes the silent members that had the address of an instance that is heard from. Two
    /// processes cannot have the same address, so they have exited.
    fn remove_predecessors(&mut self, instance: &Instance, now_ms: u64) {
        let len = self.members.len();
        self.members.retain(|member| {
            member.instance.control_address != instance.control_address
                || member.instance.name == instance.name
                || member.is_confirmed && member.is_staying(now_ms)
        });
        if self.members.len() < len {
            self.generation += 1;
        }
    }

    /// Handles a load report from an agent; one from an unknown or unconfirmed sender is ignored.
    pub fn handle_load(
        &mut self,
        control_address: SocketAddrV4,
        load: &TargetLoad,
        now_ms: u64,
    ) -> Option<MemberChange> {
        let index = self
            .members
            .iter()
            .position(|member| member.instance.control_address == control_address)?;
        let member = &mut self.members[index];
        if !member.is_confirmed {
            return None;
        }
        member.last_heard_at_ms = now_ms;
        let service = load.service.clone().or(member.load.service.clone());
        let load = TargetLoad {
            service,
            ..load.clone()
        };
        self.update_load(index, load, now_ms)
    }

    /// Replaces the load of a member and resets the number of flows placed since the report.
    fn update_load(
        &mut self,
        index: usize,
        mut load: TargetLoad,
        now_ms: u64,
    ) -> Option<MemberChange> {
        let member = &mut self.members[index];
        if !load.class_responses.is_empty() {
            member.class_responses = std::mem::take(&mut load.class_responses);
            member.class_responses_at_ms = now_ms;
        }
        let is_changed = member.load.state != load.state || member.load.service != load.service;
        if member.load.service != load.service {
            self.generation += 1;
        }
        let state = load.state;
        member.load = load;
        member.placed_since_report = 0;
        member.load_reported_at_ms = now_ms;
        is_changed.then_some(MemberChange::Target(state))
    }

    /// Member whose control address is `address`.
    #[must_use]
    pub fn by_control_address(&self, address: SocketAddrV4) -> Option<&Member> {
        let mut members = self.members.iter();
        members.find(|member| member.instance.control_address == address)
    }

    /// Counts a flow placed on an agent since the agent's last load report.
    pub fn count_placed(&mut self, name: &str) {
        if let Ok(index) = self.find(name) {
            let member = &mut self.members[index];
            member.placed_since_report = member.placed_since_report.saturating_add(1);
        }
    }

    /// Records which instances the store lists. The members that it no longer lists are removed once
    /// they have been silent for too long.
    ///
    /// A store that was restored from a copy lacks entries whose leases have not ended. A member that
    /// was listed in an earlier era counts as listed for as long as its lease may have lasted.
    pub fn set_listed(&mut self, mut names: Vec<Arc<str>>, era: StoreEra, now_ms: u64) {
        names.sort_unstable();
        let listing = Listing {
            era,
            read_at_ms: now_ms,
        };
        for member in &mut self.members {
            if names.binary_search(&member.instance.name).is_ok() {
                member.last_listing = Some(listing);
            }
            member.is_listed = member.last_listing.is_some_and(|last| {
                let is_this = last.read_at_ms == now_ms;
                let may_be_lost =
                    last.era < era && now_ms.saturating_sub(last.read_at_ms) < LEASE_TTL_MS;
                member.listed_until_ms = if is_this {
                    now_ms + LISTING_VALID_MS
                } else {
                    last.read_at_ms + LEASE_TTL_MS
                };
                is_this || may_be_lost
            });
        }
    }

    /// Removes the instances that the store does not list and that have been silent for too long, or
    /// have left without flows and not restarted in time. Returns their names.
    pub fn remove_silent(&mut self, now_ms: u64) -> Vec<Arc<str>> {
        let is_kept = |member: &Member| {
            let silent_ms = member.silent_ms(now_ms);
            let is_agent = member.instance.role == InstanceRole::Agent;
            let may_hold_flows = is_agent && !member.holds_no_flows();
            let has_left = member.is_leaving() && !may_hold_flows && silent_ms > RESTART_GRACE_MS;
            member.is_listed || silent_ms < REMOVE_AFTER_MS && !has_left
        };
        let removed = self.members.iter().filter(|member| !is_kept(member));
        let names: Vec<_> = removed.map(|m| Arc::clone(&m.instance.name)).collect();
        if !names.is_empty() {
            self.members.retain(is_kept);
            self.generation += 1;
        }
        names
    }

    /// The live agent at position `rank` of a flow's rendezvous order, starting at 0, as a registry
    /// agent of the flow. The order does not depend on the service: the routes may have changed since
    /// the flow was opened.
    ///
    /// Agents without a target are skipped, because they may be removed at any time.
    #[must_use]
    pub fn registry_agent(&self, flow_hash: u64, rank: usize, now_ms: u64) -> Option<&Member> {
        let mut below_weight = u64::MAX;
        let mut found = None;
        for _ in 0..=rank {
            let members = self.members.iter();
            let registry_agents = members.filter(|member| {
                member.is_searched(now_ms)
                    && !member.is_leaving()
                    && member.load.state != TargetState::Absent
            });
            let (weight, member) = registry_agents
                .map(|member| (weight(flow_hash, member.name_hash), member))
                .filter(|(weight, _)| *weight < below_weight)
                .max_by_key(|(weight, _)| *weight)?;
            below_weight = weight;
            found = Some(member);
        }
        found
    }

    /// The live agent to ask next for a flow, which has the highest rendezvous weight less than
    /// `below_weight`, together with what the directory knows about all agents.
    ///
    /// Positions in the order are given as weights instead of ranks, so that two processes that
    /// know different members skip only the members that one of them does not know.
    #[must_use]
    pub fn search_view(&self, flow_hash: u64, below_weight: u64, now_ms: u64) -> SearchView<'_> {
        let mut view = SearchView {
            next: None,
            next_weight: 0,
            digest: 0,
            agents: 0,
            awaited: None,
            left_out: 0,
        };
        // The sum does not depend on the order in which agents were added.
        let mut digest = 0_u64;
        for member in &self.members {
            if !member.is_searched(now_ms) {
                if member.is_awaited(now_ms) {
                    view.awaited = view.awaited.or(Some(member));
                    view.left_out += 1;
                }
                continue;
            }
            view.agents += 1;
            // An agent that last said that it holds no flows is asked while it is alive and is not awaited
            // afterwards, so it does not matter who has noticed its end already.
            if !member.holds_no_flows() {
                digest = digest.wrapping_add(member.name_hash);
            }
            let weight = weight(flow_hash, member.name_hash);
            if weight < below_weight && (view.next.is_none() || weight > view.next_weight) {
                view.next = Some(member);
                view.next_weight = weight;
            }
        }
        view.digest = u32::try_from(digest >> (u64::BITS - VIEW_DIGEST_BITS)).unwrap_or_default();
        view
    }

    /// Whether more than half of the other balancers of a failure domain are alive and in rotation,
    /// or there are no others.
    ///
    /// With fewer balancers in rotation the fabric sends packets to all of them, including those
    /// that are restarting.
    #[must_use]
    pub fn can_leave_rotation(&self, failure_domain: &str, now_ms: u64) -> bool {
        let members = self.members.iter().filter(|member| {
            member.instance.role == InstanceRole::Balancer
                && *member.instance.failure_domain == *failure_domain
                && !self.is_local(member)
        });
        let (mut others, mut in_rotation) = (0, 0);
        for member in members {
            others += 1;
            in_rotation += usize::from(member.is_in_rotation && member.is_staying(now_ms));
        }
        others == 0 || in_rotation * 2 > others
    }

    /// Rendezvous weight of the local instance for a flow.
    #[must_use]
    pub fn local_weight(&self, flow_hash: u64) -> u64 {
        weight(flow_hash, name_hash(&self.local_name))
    }
}
