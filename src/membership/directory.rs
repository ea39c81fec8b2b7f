//! Directory of the instances known to a process, with the time at which each was last heard from.

use std::{net::SocketAddrV4, sync::Arc};

use super::{
    instance::{Instance, InstanceRole, Presence, TargetLoad, TargetState},
    rendezvous::{name_hash, tag, weight},
};

/// Minimum silence after which an instance is suspected to be dead: it is assigned no new flows and
/// is not used as a registry agent. Allows for three lost presence messages at the shortest
/// interval.
pub const SUSPECT_AFTER_MS: u64 = 700;
/// Silence after which an instance is suspected, in percent of the instance's message interval.
const SUSPECT_AFTER_PERCENT: u64 = 350;
/// Time for which an instance that has announced its exit is kept, in case it restarts.
const RESTART_GRACE_MS: u64 = 2_000;
/// Silence after which an instance is removed; longer than a frozen process or a network partition
/// is likely to last.
const REMOVE_AFTER_MS: u64 = 30_000;
/// Silence up to which an agent that was heard from may still recover with its target's flows.
const RECOVERY_TIMEOUT_MS: u64 = 15_000;
/// Silence up to which an unconfirmed agent, or one whose target is not known yet, may still appear
/// with flows.
const DISCOVERY_TIMEOUT_MS: u64 = 3_000;
/// Time for which an unconfirmed instance is considered alive after it was added.
const UNCONFIRMED_ALIVE_MS: u64 = 1_500;

/// A known instance and its last known state.
#[derive(Clone, Debug)]
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
    /// Whether the instance has announced that it is about to exit.
    pub is_leaving: bool,
    /// Version of the instance's route table; 0 if it has none.
    pub route_version: u64,
    /// Whether the fabric sends callers' packets to the instance.
    pub is_in_rotation: bool,
    /// Time at which the instance last reported contact with the store; `None` if it never did.
    pub reached_store_at_ms: Option<u64>,
    /// Last reported load of the instance's target.
    pub load: TargetLoad,
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
            is_leaving: false,
            route_version: 0,
            is_in_rotation: false,
            reached_store_at_ms: None,
            load: TargetLoad::default(),
            placed_since_report: 0,
            load_reported_at_ms: now_ms,
            suspect_after_ms: SUSPECT_AFTER_MS,
        }
    }

    /// Whether the instance is considered alive.
    #[must_use]
    pub fn is_alive(&self, now_ms: u64) -> bool {
        let timeout_ms = if self.is_confirmed {
            self.suspect_after_ms
        } else {
            UNCONFIRMED_ALIVE_MS
        };
        !self.is_leaving && now_ms.saturating_sub(self.last_heard_at_ms) < timeout_ms
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

/// An agent and its position in a flow's rendezvous order.
#[derive(Clone, Copy, Debug)]
pub struct RankedMember<'a> {
    /// The agent's rendezvous weight for the flow.
    pub weight: u64,
    /// The agent.
    pub member: &'a Member,
}

impl<'a> RankedMember<'a> {
    fn new(member: &'a Member, flow_hash: u64) -> Self {
        Self {
            weight: weight(flow_hash, member.name_hash),
            member,
        }
    }
}

/// Known instances, sorted by name.
#[derive(Clone, Debug)]
pub struct Directory {
    local_name: Arc<str>,
    members: Vec<Member>,
    generation: u64,
}

impl Directory {
    /// Creates the empty directory of the instance `local_name`.
    #[must_use]
    pub fn new(local_name: Arc<str>) -> Self {
        Self {
            local_name,
            members: Vec::new(),
            generation: 0,
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

    /// Index of the member with a name, or the index at which it would be inserted.
    fn find(&self, name: &str) -> Result<usize, usize> {
        self.members
            .binary_search_by(|member| (*member.instance.name).cmp(name))
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
    /// A member that is considered alive is not replaced by this indirect information.
    pub fn add_unconfirmed(&mut self, instance: Instance, now_ms: u64) -> Option<MemberChange> {
        if instance.name == self.local_name {
            return None;
        }
        match self.find(&instance.name) {
            Ok(index) => {
                let member = &mut self.members[index];
                let is_same = member.instance.incarnation == instance.incarnation;
                if is_same || member.is_alive(now_ms) {
                    return None;
                }
                *member = Member::new(instance, now_ms);
            }
            Err(index) => self.members.insert(index, Member::new(instance, now_ms)),
        }
        self.generation += 1;
        Some(MemberChange::Joined)
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
        let index = match self.find(&instance.name) {
            Ok(index) => {
                let member = &mut self.members[index];
                if member.instance.incarnation != instance.incarnation || !member.is_confirmed {
                    *member = Member::new(instance, now_ms);
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
        member.is_in_rotation = presence.is_in_rotation;
        let suspect_after_ms = u64::from(presence.next_within_ms) * SUSPECT_AFTER_PERCENT / 100;
        member.suspect_after_ms = suspect_after_ms.max(SUSPECT_AFTER_MS);
        if presence.reaches_store {
            member.reached_store_at_ms = Some(now_ms);
        }
        if presence.is_leaving && !member.is_leaving {
            change = Some(MemberChange::Leaving);
        }
        member.is_leaving = presence.is_leaving;
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
    fn update_load(&mut self, index: usize, load: TargetLoad, now_ms: u64) -> Option<MemberChange> {
        let member = &mut self.members[index];
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
            self.members[index].placed_since_report += 1;
        }
    }

    /// Removes the instances that have been silent for too long, or have left and not restarted in
    /// time. Returns their names.
    pub fn remove_silent(&mut self, now_ms: u64) -> Vec<Arc<str>> {
        let is_kept = |member: &Member| {
            let silent_ms = member.silent_ms(now_ms);
            silent_ms < REMOVE_AFTER_MS && !(member.is_leaving && silent_ms > RESTART_GRACE_MS)
        };
        let removed = self.members.iter().filter(|member| !is_kept(member));
        let names: Vec<_> = removed.map(|m| Arc::clone(&m.instance.name)).collect();
        if !names.is_empty() {
            self.members.retain(is_kept);
            self.generation += 1;
        }
        names
    }

    /// The live agent of a service at position `rank` of a flow's rendezvous order, starting at 0, as
    /// a registry agent of the flow.
    ///
    /// Agents without a target are skipped, because they may be removed at any time.
    #[must_use]
    pub fn registry_agent(
        &self,
        flow_hash: u64,
        service: &str,
        rank: usize,
        now_ms: u64,
    ) -> Option<&Member> {
        let mut below_weight = u64::MAX;
        let mut found = None;
        for _ in 0..=rank {
            let next = self
                .searched_agents(service, now_ms)
                .filter(|member| member.load.state != TargetState::Absent)
                .map(|member| RankedMember::new(member, flow_hash))
                .filter(|ranked| ranked.weight < below_weight)
                .max_by_key(|ranked| ranked.weight)?;
            below_weight = next.weight;
            found = Some(next.member);
        }
        found
    }

    /// The live agent of a service with the highest rendezvous weight less than `below_weight`.
    ///
    /// Positions in the order are given as weights instead of ranks, so that two processes that
    /// know different members skip only the members that one of them does not know.
    #[must_use]
    pub fn next_in_flow_order(
        &self,
        flow_hash: u64,
        service: &str,
        below_weight: u64,
        now_ms: u64,
    ) -> Option<RankedMember<'_>> {
        self.searched_agents(service, now_ms)
            .map(|member| RankedMember::new(member, flow_hash))
            .filter(|ranked| ranked.weight < below_weight)
            .max_by_key(|ranked| ranked.weight)
    }

    /// Number of live agents in the rendezvous order of the flows of a service.
    #[must_use]
    pub fn live_agents(&self, service: &str, now_ms: u64) -> usize {
        self.searched_agents(service, now_ms).count()
    }

    /// Number of live agents of a service that come before the local instance in a flow's
    /// rendezvous order.
    #[must_use]
    pub fn agents_before_local(&self, flow_hash: u64, service: &str, now_ms: u64) -> usize {
        let local_weight = self.local_weight(flow_hash);
        self.searched_agents(service, now_ms)
            .filter(|member| weight(flow_hash, member.name_hash) > local_weight)
            .count()
    }

    /// Number of live agents of a service with a rendezvous weight less than `below_weight`.
    #[must_use]
    pub fn agents_below(
        &self,
        flow_hash: u64,
        service: &str,
        below_weight: u64,
        now_ms: u64,
    ) -> usize {
        self.searched_agents(service, now_ms)
            .filter(|member| weight(flow_hash, member.name_hash) < below_weight)
            .count()
    }

    /// Live agents of a service, which a search for a flow asks. Those without a target are among
    /// them: their last report may be older than their target.
    fn searched_agents(&self, service: &str, now_ms: u64) -> impl Iterator<Item = &Member> {
        let members = self.members.iter();
        members.filter(move |member| member.serves(service) && member.is_alive(now_ms))
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
            in_rotation += usize::from(member.is_in_rotation && member.is_alive(now_ms));
        }
        others == 0 || in_rotation * 2 > others
    }

    /// Rendezvous weight of the local instance for a flow.
    #[must_use]
    pub fn local_weight(&self, flow_hash: u64) -> u64 {
        weight(flow_hash, name_hash(&self.local_name))
    }

    /// A silent or leaving agent whose target may still have flows of `service`, if there is one.
    ///
    /// While there is such an agent, a search that does not find a flow is inconclusive, because
    /// the agent may recover or restart beside a target that has kept its flows.
    #[must_use]
    pub fn awaited_agent(&self, service: &str, now_ms: u64) -> Option<&Member> {
        self.members.iter().find(|member| {
            let silent_ms = member.silent_ms(now_ms);
            let is_agent = member.instance.role == InstanceRole::Agent;
            let may_serve = member.load.service.is_none() || member.serves(service);
            if !is_agent || !may_serve {
                return false;
            }
            if member.is_confirmed {
                // An agent whose target was never heard from is treated like an unconfirmed one.
                let is_unknown = member.load.state == TargetState::Unknown;
                let timeout_ms = if is_unknown && member.load.flows == 0 {
                    DISCOVERY_TIMEOUT_MS
                } else {
                    RECOVERY_TIMEOUT_MS
                };
                !member.is_alive(now_ms) && !member.holds_no_flows() && silent_ms <= timeout_ms
            } else {
                silent_ms <= DISCOVERY_TIMEOUT_MS
            }
        })
    }
}
