//! Decisions of an agent on the packets of balancers, other agents and its own target.
//!
//! The target knows which flows it holds and hands any other packet back. The agent keeps the
//! owners of the flows that hash to it, so that a balancer that does not know a flow can ask.

use std::{net::SocketAddrV4, sync::Arc};

use super::{
    agent_flows::{AgentFlow, AgentFlows, Answer, CallerPacket},
    agent_lookup::AskedPacket,
    decision::Decision,
    notices::Notice,
    peering::{LOAD_WITHIN_MS, Peering},
    slot_requests::SlotRequests,
    syn_queue::SynQueue,
    target::{Change, Heartbeat, Target},
};
use crate::{
    flow::{
        packet::{FlowKey, PacketFormat},
        table::FlowTable,
    },
    membership::instance::{Instance, InstanceRole, TargetLoad, TargetState},
};

/// Time after the start in which others are still being learned of.
const LEARNING_MS: u64 = 500;
/// Pause between two sweeps of the tables.
const SWEEP_INTERVAL_MS: u64 = 500;
/// Time for which an owner is kept without news; the owner repeats itself earlier.
const REGISTRATION_LIFE_MS: u64 = 60_000;

/// What happens to a packet at an agent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AgentVerdict<R> {
    /// It goes to the target beside the agent.
    Target,
    /// It goes to another instance.
    Instance(SocketAddrV4),
    /// It goes to a caller.
    Caller(SocketAddrV4),
    /// The caller at this address gets a reset instead.
    Reset(SocketAddrV4, R),
    /// It is dropped, or waits.
    Drop,
}

/// The state of an agent.
#[derive(Debug)]
pub struct AgentCore<F: PacketFormat> {
    /// The other instances.
    pub peering: Peering,
    /// The target beside the agent.
    pub target: Target,
    pub(super) format: F,
    pub(super) flows: AgentFlows,
    pub(super) owners: FlowTable,
    pub(super) knows_members: bool,
    pub(super) route_version: u64,
    pub(super) idle_timeout_ms: u64,
    pub(super) told_load: TargetLoad,
    pub(super) told_load_at_ms: u64,
    pub(super) told_epoch: u64,
    pub(super) told_flows_at_ms: u64,
    pub(super) swept_at_ms: u64,
    pub(super) lost: Vec<(FlowKey, AgentFlow)>,
    pub(super) waiting: SynQueue,
    pub(super) slots: SlotRequests,
    pub(super) asked: Vec<AskedPacket>,
    pub(super) released: Vec<(Vec<u8>, AgentVerdict<F::Reset>)>,
}

impl<F: PacketFormat> AgentCore<F> {
    /// Makes an agent that has not heard of its target yet.
    #[must_use]
    pub fn new(
        format: F,
        own: Instance,
        seeds: Vec<SocketAddrV4>,
        target: Target,
        now_ms: u64,
    ) -> Self {
        Self {
            peering: Peering::new(own, seeds, now_ms),
            target,
            format,
            flows: AgentFlows::new(),
            owners: FlowTable::new(),
            knows_members: false,
            route_version: 0,
            idle_timeout_ms: REGISTRATION_LIFE_MS,
            told_load: TargetLoad::default(),
            told_load_at_ms: now_ms,
            told_epoch: 0,
            told_flows_at_ms: now_ms,
            swept_at_ms: now_ms,
            lost: Vec::new(),
            waiting: SynQueue::new(),
            slots: SlotRequests::new(),
            asked: Vec::new(),
            released: Vec::new(),
        }
    }

    /// Takes the version and the idle time-out of newer routes.
    pub fn set_routes(&mut self, version: u64, idle_timeout_ms: u64) {
        if version > self.route_version {
            self.peering.decisions.push(Decision::Routes {
                version,
                previous: self.route_version,
                len: 0,
            });
            self.route_version = version;
            self.idle_timeout_ms = idle_timeout_ms;
        }
    }

    /// Version of the newest routes that the agent has.
    #[must_use]
    pub fn route_version(&self) -> u64 {
        self.route_version
    }

    /// Answers that have begun since the last call.
    pub fn answers(&mut self) -> Vec<Answer> {
        self.flows.answers()
    }

    /// Number of flows.
    #[must_use]
    pub fn flows(&self) -> usize {
        self.flows.len()
    }

    pub(super) fn service(&self) -> Option<Arc<str>> {
        self.target.service().map(Arc::clone)
    }

    /// Requests that the target runs at once; those of its siblings until it has told its own.
    pub(super) fn capacity(&self) -> u32 {
        if let Some(beat) = self.target.current() {
            return beat.capacity;
        }
        let Some(service) = self.target.service() else {
            return 1;
        };
        let directory = &self.peering.directory;
        let members = directory.members().iter();
        let siblings = members.filter(|m| m.serves(service) && !directory.is_local(m));
        let capacities = siblings.map(|member| member.load.capacity);
        capacities.min().unwrap_or(1).max(1)
    }

    /// Requests that the target has, and SYNs that wait for it.
    pub(super) fn busy(&self) -> u32 {
        self.flows.running() + u32::try_from(self.waiting.len()).unwrap_or(u32::MAX)
    }

    /// The target's load now.
    #[must_use]
    pub fn load(&self, now_ms: u64) -> TargetLoad {
        TargetLoad {
            state: self.target.state(now_ms),
            service: self.service(),
            capacity: self.capacity(),
            running: self.busy(),
            flows: u32::try_from(self.flows.len()).unwrap_or(u32::MAX),
            service_time_us: self.flows.service_time_us(now_ms),
            cold_left_ms: u32::try_from(self.target.cold_left_ms(now_ms)).unwrap_or(u32::MAX),
        }
    }

    /// Decides on a packet from a balancer or another agent.
    pub fn inner_packet(&mut self, datagram: &mut [u8], now_ms: u64) -> AgentVerdict<F::Reset> {
        let Some(segment) = self.format.decode(datagram) else {
            return AgentVerdict::Drop;
        };
        let hop = self.format.read_hop_metadata(datagram);
        let flow = segment.caller_flow();
        if segment.opens_flow() {
            return self.syn(datagram, &segment, hop, now_ms);
        }
        match self.flows.caller(flow, &segment, now_ms) {
            CallerPacket::Known {
                opens,
                begins_request,
            } => {
                if begins_request {
                    self.peering.decisions.push(Decision::Request {
                        flow,
                        request: self.format.request_id(datagram).map(Into::into),
                        running: self.flows.running(),
                    });
                }
                if opens {
                    self.tell_keepers(flow, now_ms);
                }
                self.tell_entry(flow, hop);
                AgentVerdict::Target
            }
            CallerPacket::Unknown => self.unknown(datagram, &segment, hop, now_ms),
        }
    }

    /// Decides on a packet that the target has sent.
    pub fn target_packet(&mut self, datagram: &mut [u8], now_ms: u64) -> AgentVerdict<F::Reset> {
        let Some(segment) = self.format.decode(datagram) else {
            return AgentVerdict::Drop;
        };
        self.target.answered();
        if !segment.flags.returned {
            self.target.packet_sent(now_ms);
            let flow = segment.target_flow();
            if self.flows.target(flow, &segment, now_ms) {
                self.tell_keepers(flow, now_ms);
            }
            return AgentVerdict::Caller(segment.destination);
        }
        let hop = self.format.read_hop_metadata(datagram);
        let flow = segment.caller_flow();
        self.flows.remove(flow, now_ms);
        self.asked.retain(|packet| packet.flow != flow);
        if segment.opens_flow() {
            return self.pass_on(datagram, &segment, hop, true, now_ms);
        }
        self.walk(datagram, &segment, hop, now_ms)
    }

    /// Notes that the store has told of all instances.
    pub fn members_read(&mut self) {
        self.knows_members = true;
    }

    /// Takes a heartbeat of the target. Returns whether it was taken.
    pub fn heartbeat(&mut self, beat: Heartbeat, now_ms: u64) -> bool {
        let (id, sequence) = (Arc::clone(&beat.id), beat.sequence);
        let before = self.target.state(now_ms);
        let change = self.target.heartbeat(beat, now_ms);
        self.flows.set_capacity(self.capacity());
        if change == Change::Restarted {
            self.lose_flows();
        }
        let state = self.target.state(now_ms);
        if matches!(change, Change::State | Change::Restarted) || before != state {
            self.peering.decisions.push(Decision::OwnTarget {
                target: id,
                state,
                sequence,
            });
            self.tell_now(now_ms);
        }
        change != Change::Late
    }

    /// The target says that it ends.
    pub fn target_ended(&mut self, id: &str, now_ms: u64) {
        if self.target.ended(id) {
            self.peering.decisions.push(Decision::OwnTarget {
                target: id.into(),
                state: TargetState::Draining,
                sequence: 0,
            });
            self.tell_now(now_ms);
        }
    }

    fn lose_flows(&mut self) {
        for (flow, entry) in self.flows.clear() {
            self.peering.decisions.push(Decision::FlowLost { flow });
            self.lost.push((flow, entry));
        }
    }

    /// Resets for callers whose flows ended with an earlier start of the target.
    pub fn resets(&mut self) -> Vec<(SocketAddrV4, F::Reset)> {
        let lost = std::mem::take(&mut self.lost).into_iter();
        lost.map(|(flow, entry)| {
            let reset = self.format.reset(flow, entry.caller_acknowledged());
            (flow.caller, reset)
        })
        .collect()
    }

    fn tell_now(&mut self, now_ms: u64) {
        let load = self.load(now_ms);
        self.told_load = load.clone();
        self.told_load_at_ms = now_ms;
        let version = self.route_version;
        self.peering.tell_all(version, Some(load), now_ms);
    }

    /// Takes a notice from another process.
    pub fn notice(&mut self, from: SocketAddrV4, notice: Notice, now_ms: u64) {
        let version = self.route_version;
        match notice {
            Notice::Presence(presence, wants_members) => {
                let load = Some(self.load(now_ms));
                self.peering
                    .hear(*presence, wants_members, version, load, now_ms);
            }
            Notice::Load(load) => self.peering.hear_load(from, &load, now_ms),
            Notice::FlowOwner { owner, flows } => {
                for flow in flows {
                    self.owners.insert(flow, owner, now_ms);
                }
            }
            Notice::SlotRequest => self.slots.request(from, now_ms),
            Notice::SlotGrant => self.use_grant(from, now_ms),
            Notice::Members(instances) => {
                for instance in instances {
                    let load = Some(self.load(now_ms));
                    self.peering.learn(instance, version, load, now_ms);
                }
            }
        }
    }

    /// Does what is due.
    pub fn tick(&mut self, now_ms: u64) {
        self.flows.set_capacity(self.capacity());
        let load = self.load(now_ms);
        let version = self.route_version;
        let own = self.peering.presence(version, Some(load.clone()), now_ms);
        self.peering.directory.update_local(own, now_ms);
        if load.state != self.told_load.state {
            if let Some(beat) = self.target.current() {
                self.peering.decisions.push(Decision::OwnTarget {
                    target: Arc::clone(&beat.id),
                    state: load.state,
                    sequence: beat.sequence,
                });
            }
            self.tell_now(now_ms);
        }
        self.peering.tick(version, Some(load.clone()), now_ms);
        let told_ago_ms = now_ms.saturating_sub(self.told_load_at_ms);
        let is_due = told_ago_ms >= self.peering.load_interval_ms(&load, now_ms);
        // The report also says that this agent lives.
        let is_changed = load.running != self.told_load.running;
        if is_due && (is_changed || told_ago_ms >= u64::from(LOAD_WITHIN_MS)) {
            self.peering.tell_load(&load, now_ms);
            self.told_load = load;
            self.told_load_at_ms = now_ms;
        }
        if !self.waiting.is_empty() {
            self.request_slots(now_ms);
        }
        self.repeat_flows(now_ms);
        if now_ms.saturating_sub(self.swept_at_ms) >= SWEEP_INTERVAL_MS {
            self.swept_at_ms = now_ms;
            self.flows.sweep(now_ms, self.idle_timeout_ms);
            self.owners.remove_idle(now_ms, REGISTRATION_LIFE_MS);
        }
    }

    /// Whether packets are better decided on than left in the socket's buffer: an agent that has
    /// just started learns the others within some tens of milliseconds.
    #[must_use]
    pub fn takes_packets(&self, now_ms: u64) -> bool {
        let members = self.peering.directory.members().iter();
        let mut agents = members.filter(|m| m.instance.role == InstanceRole::Agent);
        agents.any(|m| m.is_alive(now_ms) && !self.peering.directory.is_local(m))
            || self.peering.uptime_ms(now_ms) >= LEARNING_MS
    }

    /// Whether balancers are known, so that the target can be reached.
    #[must_use]
    pub fn is_ready(&self, now_ms: u64) -> bool {
        let members = self.peering.directory.members().iter();
        let mut balancers = members.filter(|m| m.instance.role == InstanceRole::Balancer);
        balancers.any(|member| member.is_alive(now_ms))
    }
}
