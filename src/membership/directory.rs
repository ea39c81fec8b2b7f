//! All instances that a process knows, with the age of its knowledge.

use std::{net::SocketAddrV4, sync::Arc};

use super::{
    instance::{Instance, InstanceRole, Presence, TargetLoad, TargetState},
    rendezvous::{name_hash, tag, weight},
};

/// Silence after which an instance gets no new flows and keeps no owners, at the least: three
/// presences lost, at the shortest interval.
pub const SUSPECT_AFTER_MS: u64 = 700;
/// The same as a part of the interval in which the instance tells of itself, in percent.
const SUSPECT_AFTER_PERCENT: u64 = 350;
/// Time for which an instance that has left is expected back from a restart.
const RESTART_MS: u64 = 2_000;
/// Silence after which an instance is forgotten; longer than a freeze or a cut is likely to last.
const FORGET_AFTER_MS: u64 = 30_000;
/// Silence after which an agent that was heard is not expected back with its flows.
const RETURN_WITHIN_MS: u64 = 15_000;
/// Time in which an instance that the store names is heard, if it lives, and one whose target was
/// not heard of yet is heard again.
const APPEAR_WITHIN_MS: u64 = 3_000;
/// Time for which an instance that is known by hearsay only counts as alive.
const HEARSAY_TRUST_MS: u64 = 1_500;

/// An instance and what is believed of it.
#[derive(Clone, Debug)]
pub struct Member {
    /// What it says of itself.
    pub instance: Instance,
    /// Short name inside packets.
    pub tag: u16,
    /// When it was last heard of directly, or first by hearsay.
    pub heard_at_ms: u64,
    /// Whether it was ever heard of directly.
    pub is_confirmed: bool,
    /// Whether it has said that it is leaving.
    pub is_leaving: bool,
    /// Version of its route table.
    pub route_version: u64,
    /// Whether the fabric sends callers' packets to it.
    pub is_in_rotation: bool,
    /// When it last said that it reaches the store.
    pub reached_store_at_ms: Option<u64>,
    /// Load of its target, with the time of the report.
    pub load: TargetLoad,
    /// Flows placed there since its last report.
    pub placed_since_report: u32,
    reported_at_ms: u64,
    /// Silence after which it is not believed to live, in milliseconds.
    suspect_after_ms: u64,
    name_hash: u64,
}

impl Member {
    fn new(instance: Instance, now_ms: u64) -> Self {
        Self {
            tag: tag(&instance.name),
            name_hash: name_hash(&instance.name),
            instance,
            heard_at_ms: now_ms,
            is_confirmed: false,
            is_leaving: false,
            route_version: 0,
            is_in_rotation: false,
            reached_store_at_ms: None,
            load: TargetLoad::default(),
            placed_since_report: 0,
            reported_at_ms: now_ms,
            suspect_after_ms: SUSPECT_AFTER_MS,
        }
    }

    /// Whether the instance is believed to live.
    #[must_use]
    pub fn is_alive(&self, now_ms: u64) -> bool {
        let trust_ms = if self.is_confirmed {
            self.suspect_after_ms
        } else {
            HEARSAY_TRUST_MS
        };
        !self.is_leaving && now_ms.saturating_sub(self.heard_at_ms) < trust_ms
    }

    /// Whether it is an agent whose target belongs to `service`.
    #[must_use]
    pub fn serves(&self, service: &str) -> bool {
        self.instance.role == InstanceRole::Agent && self.load.service.as_deref() == Some(service)
    }

    /// Whether the agent's target had no flows when it was last heard of and took no new ones.
    fn holds_no_flows(&self) -> bool {
        matches!(self.load.state, TargetState::Draining | TargetState::Absent)
            && self.load.flows == 0
    }

    /// Age of the load, in milliseconds.
    #[must_use]
    pub fn load_age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.reported_at_ms)
    }

    /// Time since the instance was heard of, in milliseconds.
    #[must_use]
    pub fn silent_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.heard_at_ms)
    }
}

/// A change of what is believed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MemberChange {
    /// An instance was heard of for the first time, or has started again.
    Joined,
    /// An instance says that it is leaving.
    Leaving,
    /// The state of its target has changed.
    Target(TargetState),
}

/// An agent in a flow's order.
#[derive(Clone, Copy, Debug)]
pub struct FlowOrderStep<'a> {
    /// Its weight for the flow.
    pub weight: u64,
    /// The agent.
    pub member: &'a Member,
}

/// Instances sorted by name.
#[derive(Clone, Debug)]
pub struct Directory {
    own_name: Arc<str>,
    members: Vec<Member>,
    epoch: u64,
}

impl Directory {
    /// Makes a directory of an instance that knows nobody.
    #[must_use]
    pub fn new(own_name: Arc<str>) -> Self {
        Self {
            own_name,
            members: Vec::new(),
            epoch: 0,
        }
    }

    /// Rises whenever the agents that keep owners may have changed.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// All members, sorted by name.
    #[must_use]
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    fn find(&self, name: &str) -> Result<usize, usize> {
        self.members
            .binary_search_by(|member| (*member.instance.name).cmp(name))
    }

    /// The member that receives packets at `address`.
    #[must_use]
    pub fn by_packet_address(&self, address: SocketAddrV4) -> Option<&Member> {
        let mut members = self.members.iter();
        members.find(|member| member.instance.packet_address == address)
    }

    /// The member that carries `tag` inside packets.
    #[must_use]
    pub fn by_tag(&self, tag: u16) -> Option<&Member> {
        self.members.iter().find(|member| member.tag == tag)
    }

    /// Learns of an instance from the store or from another instance.
    ///
    /// What was heard directly is not replaced by hearsay while it is fresh.
    pub fn learn(&mut self, instance: Instance, now_ms: u64) -> Option<MemberChange> {
        if instance.name == self.own_name {
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
        self.epoch += 1;
        Some(MemberChange::Joined)
    }

    /// Takes this instance's own state, so that it has its place in the order of agents.
    pub fn set_own(&mut self, presence: Presence, now_ms: u64) {
        let name = std::mem::replace(&mut self.own_name, "".into());
        self.hear(presence, now_ms);
        self.own_name = name;
    }

    /// Whether `member` is this instance.
    #[must_use]
    pub fn is_own(&self, member: &Member) -> bool {
        member.instance.name == self.own_name
    }

    /// Takes an instance's own word.
    pub fn hear(&mut self, presence: Presence, now_ms: u64) -> Option<MemberChange> {
        let Presence { instance, .. } = presence;
        if instance.name == self.own_name {
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
        member.heard_at_ms = now_ms;
        member.route_version = presence.route_version;
        member.is_in_rotation = presence.is_in_rotation;
        let expected_ms = u64::from(presence.next_within_ms) * SUSPECT_AFTER_PERCENT / 100;
        member.suspect_after_ms = expected_ms.max(SUSPECT_AFTER_MS);
        if presence.reaches_store {
            member.reached_store_at_ms = Some(now_ms);
        }
        if presence.is_leaving && !member.is_leaving {
            change = Some(MemberChange::Leaving);
        }
        member.is_leaving = presence.is_leaving;
        if !was_alive || change.is_some() {
            self.epoch += 1;
        }
        match presence.load {
            Some(load) => self.take_load(index, load, now_ms).or(change),
            None => change,
        }
    }

    /// Takes an agent's report of its load; a stranger's is ignored.
    pub fn hear_load(
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
        member.heard_at_ms = now_ms;
        let service = load.service.clone().or(member.load.service.clone());
        let load = TargetLoad {
            service,
            ..load.clone()
        };
        self.take_load(index, load, now_ms)
    }

    fn take_load(&mut self, index: usize, load: TargetLoad, now_ms: u64) -> Option<MemberChange> {
        let member = &mut self.members[index];
        let is_changed = member.load.state != load.state || member.load.service != load.service;
        if member.load.service != load.service {
            self.epoch += 1;
        }
        let state = load.state;
        member.load = load;
        member.placed_since_report = 0;
        member.reported_at_ms = now_ms;
        is_changed.then_some(MemberChange::Target(state))
    }

    /// The member that takes notices at `address`.
    #[must_use]
    pub fn by_control_address(&self, address: SocketAddrV4) -> Option<&Member> {
        let mut members = self.members.iter();
        members.find(|member| member.instance.control_address == address)
    }

    /// Counts a flow that was placed on an agent before its next report.
    pub fn count_placed(&mut self, name: &str) {
        if let Ok(index) = self.find(name) {
            self.members[index].placed_since_report += 1;
        }
    }

    /// Forgets instances that left or were silent for long; returns their names.
    pub fn forget_silent(&mut self, now_ms: u64) -> Vec<Arc<str>> {
        let is_kept = |member: &Member| {
            let silent_ms = member.silent_ms(now_ms);
            silent_ms < FORGET_AFTER_MS && !(member.is_leaving && silent_ms > RESTART_MS)
        };
        let gone = self.members.iter().filter(|member| !is_kept(member));
        let names: Vec<_> = gone.map(|m| Arc::clone(&m.instance.name)).collect();
        if !names.is_empty() {
            self.members.retain(is_kept);
            self.epoch += 1;
        }
        names
    }

    /// The `rank`th live agent of a service in a flow's order, `rank` counted from 0.
    #[must_use]
    pub fn in_flow_order(
        &self,
        flow_hash: u64,
        service: &str,
        rank: usize,
        now_ms: u64,
    ) -> Option<&Member> {
        let mut below = u64::MAX;
        let mut found = None;
        for _ in 0..=rank {
            let step = self.next_in_flow_order(flow_hash, service, below, now_ms)?;
            below = step.weight;
            found = Some(step.member);
        }
        found
    }

    /// The live agent of a service that comes next in a flow's order after the weight `below`; one
    /// without a target holds no flows and may be taken away at any time.
    ///
    /// The order goes by weights and not by ranks, so that two processes that know different
    /// members skip only those that one of them does not know.
    #[must_use]
    pub fn next_in_flow_order(
        &self,
        flow_hash: u64,
        service: &str,
        below: u64,
        now_ms: u64,
    ) -> Option<FlowOrderStep<'_>> {
        let serving = self.members.iter().filter(|member| member.serves(service));
        serving
            .filter(|member| member.is_alive(now_ms) && member.load.state != TargetState::Absent)
            .map(|member| FlowOrderStep {
                weight: weight(flow_hash, member.name_hash),
                member,
            })
            .filter(|step| step.weight < below)
            .max_by_key(|step| step.weight)
    }

    /// Whether half of the balancers of a failure domain stay in rotation without this one.
    ///
    /// With fewer the fabric sends packets to all of them, also to those that are restarting.
    #[must_use]
    pub fn can_leave_rotation(&self, failure_domain: &str, now_ms: u64) -> bool {
        let members = self.members.iter().filter(|member| {
            member.instance.role == InstanceRole::Balancer
                && *member.instance.failure_domain == *failure_domain
                && !self.is_own(member)
        });
        let (mut others, mut in_rotation) = (0, 0);
        for member in members {
            others += 1;
            in_rotation += usize::from(member.is_in_rotation && member.is_alive(now_ms));
        }
        others == 0 || in_rotation * 2 > others
    }

    /// Weight of this instance in a flow's order.
    #[must_use]
    pub fn own_weight(&self, flow_hash: u64) -> u64 {
        weight(flow_hash, name_hash(&self.own_name))
    }

    /// An agent that may hold flows of `service` and is not heard now, if there is one.
    ///
    /// An agent that is silent may come back with its target's flows.
    #[must_use]
    pub fn awaited_agent(&self, service: &str, now_ms: u64) -> Option<&Member> {
        self.members.iter().find(|member| {
            let silent_ms = member.silent_ms(now_ms);
            let is_agent = member.instance.role == InstanceRole::Agent;
            let may_serve = member.load.service.is_none() || member.serves(service);
            if !is_agent || !may_serve || member.is_leaving {
                return false;
            }
            if member.is_confirmed {
                // Of a target that was never heard of no more is known than of an agent.
                let is_unknown = member.load.state == TargetState::Unknown;
                let within_ms = if is_unknown && member.load.flows == 0 {
                    APPEAR_WITHIN_MS
                } else {
                    RETURN_WITHIN_MS
                };
                !member.is_alive(now_ms) && !member.holds_no_flows() && silent_ms <= within_ms
            } else {
                silent_ms <= APPEAR_WITHIN_MS
            }
        })
    }
}
