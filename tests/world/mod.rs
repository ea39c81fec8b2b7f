//! A deterministic world of balancers, agents, targets and callers on a virtual clock, which
//! drives the real decisions without sockets.
#![allow(dead_code)] // Each test file uses a part of it.

use std::{
    collections::{HashMap, VecDeque},
    net::{Ipv4Addr, SocketAddrV4},
    sync::Arc,
};

use bamboowind::{
    flow::{
        packet::{FlowKey, PacketFormat},
        routes::{Backend, Class, Route, RouteTable},
    },
    forward::{
        agent::{AgentCore, AgentVerdict},
        balancer::{BalancerCore, Verdict},
        target::{Heartbeat, Target},
    },
    membership::instance::{Instance, InstanceRole},
};

#[path = "../../platform/packet.rs"]
pub mod packet;

use packet::{HEADER_LEN, PlatformPacket};

pub const SYN: u8 = 2;
pub const ACK: u8 = 8;
pub const RST: u8 = 16;
const RETURNED: u8 = 64;
const FLAGS: usize = 10;
const PAD: usize = 11;
const TICK_MS: u64 = 10;
const HEARTBEAT_MS: u64 = 500;
pub const SERVICE: &str = "catalogo";

pub fn service_address() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443)
}

pub fn caller(number: u16) -> SocketAddrV4 {
    let [high, low] = number.to_be_bytes();
    SocketAddrV4::new(Ipv4Addr::new(100, 64, high, low), 40_000)
}

pub fn flow(number: u16) -> FlowKey {
    FlowKey {
        caller: caller(number),
        service: service_address(),
    }
}

/// A packet of the platform's format.
pub fn datagram(
    source: SocketAddrV4,
    destination: SocketAddrV4,
    flags: u8,
    sequence: u32,
    acknowledged: u32,
    data_len: u16,
) -> Vec<u8> {
    let mut bytes = vec![0; HEADER_LEN + usize::from(data_len)];
    bytes[0..4].copy_from_slice(&sequence.to_le_bytes());
    bytes[4..8].copy_from_slice(&acknowledged.to_le_bytes());
    bytes[8..10].copy_from_slice(&data_len.to_le_bytes());
    bytes[FLAGS] = flags;
    bytes[16..20].copy_from_slice(&u32::from(*destination.ip()).to_le_bytes());
    bytes[20..22].copy_from_slice(&destination.port().to_le_bytes());
    bytes[22..24].copy_from_slice(&source.port().to_le_bytes());
    bytes[24..28].copy_from_slice(&u32::from(*source.ip()).to_le_bytes());
    bytes
}

pub fn syn(number: u16, copy: u32) -> Vec<u8> {
    datagram(caller(number), service_address(), SYN, 7, copy, 0)
}

pub fn request(number: u16) -> Vec<u8> {
    datagram(caller(number), service_address(), ACK, 8, 1, 100)
}

/// A target with slots and a queue, which hands back what it does not hold.
pub struct ModelTarget {
    /// Sequence number of its SYN+ACKs.
    pub sequence: u32,
    pub capacity: usize,
    pub service_ms: u64,
    pub flows: Vec<FlowKey>,
    pub syns: usize,
    pub requests: Vec<FlowKey>,
    pub is_silent: bool,
    running: Vec<(FlowKey, u64)>,
    queue: VecDeque<FlowKey>,
}

impl ModelTarget {
    fn new(capacity: usize, service_ms: u64) -> Self {
        Self {
            sequence: 0,
            capacity,
            service_ms,
            flows: Vec::new(),
            syns: 0,
            requests: Vec::new(),
            is_silent: false,
            running: Vec::new(),
            queue: VecDeque::new(),
        }
    }

    fn take(&mut self, bytes: &[u8]) -> Vec<Vec<u8>> {
        let segment = PlatformPacket.decode(bytes).expect("a packet");
        assert!(!segment.flags.returned, "a target got a returned packet");
        let key = segment.caller_flow();
        if self.is_silent {
            return Vec::new();
        }
        if segment.opens_flow() {
            self.syns += 1;
            if !self.flows.contains(&key) {
                self.flows.push(key);
            }
            return vec![datagram(
                key.service,
                key.caller,
                SYN | ACK,
                self.sequence,
                8,
                0,
            )];
        }
        let is_answered = segment.acknowledged.wrapping_sub(self.sequence) < 1_000;
        if !self.flows.contains(&key) || !is_answered {
            let mut returned = bytes.to_vec();
            returned[FLAGS] |= RETURNED;
            returned[PAD..PAD + 5].fill(0);
            return vec![returned];
        }
        if segment.data_len > 0 {
            self.requests.push(key);
            self.queue.push_back(key);
        }
        Vec::new()
    }

    fn advance(&mut self, now_ms: u64) -> Vec<Vec<u8>> {
        let mut answers = Vec::new();
        self.running.retain(|(key, ends_at_ms)| {
            let is_done = *ends_at_ms <= now_ms;
            if is_done {
                answers.push(datagram(key.service, key.caller, ACK, 1, 108, 50));
            }
            !is_done
        });
        while self.running.len() < self.capacity
            && let Some(key) = self.queue.pop_front()
        {
            self.running.push((key, now_ms + self.service_ms));
        }
        answers
    }
}

pub struct ModelAgent {
    pub core: AgentCore<PlatformPacket>,
    pub target: ModelTarget,
    /// Whether the process runs; its packets and notices are lost otherwise.
    pub is_up: bool,
    pub is_draining: bool,
    instance: Instance,
    sequence: u64,
    start: u64,
}

pub struct World {
    pub now_ms: u64,
    pub balancers: Vec<BalancerCore<PlatformPacket>>,
    pub agents: Vec<ModelAgent>,
    /// Step of the clock.
    pub tick_ms: u64,
    /// Whether agents keep free slots for siblings that ask.
    pub grants_slots: bool,
    /// Packets that callers got, with their time.
    pub received: Vec<(u64, SocketAddrV4, u8)>,
    capacity: usize,
    service_ms: u64,
}

fn instance(name: String, role: InstanceRole, host: u8, incarnation: u64) -> Instance {
    let group = match role {
        InstanceRole::Balancer => 1,
        InstanceRole::Agent => 2,
    };
    let ip = Ipv4Addr::new(10, 0, group, host);
    Instance {
        name: name.into(),
        incarnation,
        role,
        failure_domain: "a".into(),
        packet_address: SocketAddrV4::new(ip, 8_000),
        control_address: SocketAddrV4::new(ip, 7_000),
    }
}

pub fn routes(version: u64) -> Arc<RouteTable> {
    let route = Route {
        address: service_address(),
        backends: vec![Backend {
            service: SERVICE.into(),
            weight: 1,
        }],
        class: Class {
            target_latency_ms: 200,
            priority: 1,
        },
    };
    Arc::new(RouteTable::new(version, vec![route]))
}

impl World {
    /// Makes a world in which everybody knows everybody.
    pub fn new(balancers: u8, agents: u8, capacity: usize, service_ms: u64) -> Self {
        let mut world = Self {
            now_ms: 1_000,
            balancers: Vec::new(),
            agents: Vec::new(),
            tick_ms: TICK_MS,
            grants_slots: true,
            received: Vec::new(),
            capacity,
            service_ms,
        };
        for host in 0..balancers {
            world.balancers.push(world.new_balancer(host, 1));
        }
        for host in 0..agents {
            let target = ModelTarget::new(capacity, service_ms);
            let agent = world.new_agent(host, 1, target);
            world.agents.push(agent);
        }
        world.advance(1_000);
        world
    }

    fn new_balancer(&self, host: u8, incarnation: u64) -> BalancerCore<PlatformPacket> {
        let own = instance(
            format!("balancer-{host}"),
            InstanceRole::Balancer,
            host + 1,
            incarnation,
        );
        let mut core = BalancerCore::new(PlatformPacket, own, Vec::new(), self.now_ms);
        core.set_routes(routes(1));
        core
    }

    fn new_agent(&self, host: u8, incarnation: u64, target: ModelTarget) -> ModelAgent {
        let own = instance(
            format!("agent-{host}"),
            InstanceRole::Agent,
            host + 1,
            incarnation,
        );
        let beside = Target::new(HEARTBEAT_MS).with_expected_service(SERVICE.into(), self.now_ms);
        let mut core = AgentCore::new(PlatformPacket, own.clone(), Vec::new(), beside, self.now_ms);
        core.set_members_known();
        ModelAgent {
            core,
            target,
            is_up: true,
            is_draining: false,
            instance: own,
            sequence: 0,
            start: 1,
        }
    }

    /// Replaces a balancer by one that knows only what the store tells.
    pub fn restart_balancer(&mut self, index: usize) {
        let host = u8::try_from(index).expect("few balancers");
        self.balancers[index] = self.new_balancer(host, self.now_ms);
    }

    /// Restarts an agent, whose target lives on.
    pub fn restart_agent(&mut self, index: usize) {
        let host = u8::try_from(index).expect("few agents");
        let empty = ModelTarget::new(0, 0);
        let target = std::mem::replace(&mut self.agents[index].target, empty);
        let (sequence, start) = (self.agents[index].sequence, self.agents[index].start);
        let agent = self.new_agent(host, self.now_ms, target);
        self.agents[index] = ModelAgent {
            sequence,
            start,
            ..agent
        };
    }

    /// Restarts a target, which loses its flows; its agent hears of it by heartbeat.
    pub fn restart_target(&mut self, index: usize) {
        self.agents[index].target = ModelTarget::new(self.capacity, self.service_ms);
        self.agents[index].start += 1;
        self.agents[index].sequence = 0;
    }

    fn heartbeat(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let agent = &mut self.agents[index];
        if !agent.is_up || agent.target.is_silent {
            return;
        }
        agent.sequence += 1;
        let beat = Heartbeat {
            id: format!("target-{index}-{}", agent.start).into(),
            started_at_unix_ms: agent.start,
            sequence: agent.sequence,
            service: SERVICE.into(),
            is_draining: agent.is_draining,
            capacity: u32::try_from(agent.target.capacity).expect("few slots"),
            cold_left_ms: 0,
        };
        agent.core.handle_heartbeat(beat, now_ms);
    }

    /// Lets time pass.
    pub fn advance(&mut self, ms: u64) {
        let end_ms = self.now_ms + ms;
        while self.now_ms < end_ms {
            if self.now_ms % HEARTBEAT_MS < self.tick_ms {
                (0..self.agents.len()).for_each(|index| self.heartbeat(index));
            }
            self.now_ms += self.tick_ms;
            let now_ms = self.now_ms;
            if now_ms % TICK_MS < self.tick_ms {
                self.tell_of_all();
            }
            for core in &mut self.balancers {
                core.tick(now_ms);
            }
            for index in 0..self.agents.len() {
                let agent = &mut self.agents[index];
                let answers = agent.target.advance(now_ms);
                if agent.is_up {
                    agent.core.tick(now_ms);
                    for answer in answers {
                        self.target_sends(index, answer);
                    }
                }
                self.release(index);
            }
            self.settle();
        }
    }

    /// What reading the store does: everybody learns of every running instance.
    fn tell_of_all(&mut self) {
        let running = self.agents.iter().filter(|agent| agent.is_up);
        let mut instances: Vec<_> = running.map(|agent| agent.instance.clone()).collect();
        let balancers = self.balancers.iter();
        instances.extend(balancers.map(|core| core.peering.local_instance().clone()));
        for known in &instances {
            for core in &mut self.balancers {
                core.peering
                    .add_instance(known.clone(), 1, None, self.now_ms);
            }
            for agent in &mut self.agents {
                let load = Some(agent.core.load(self.now_ms));
                let peering = &mut agent.core.peering;
                peering.add_instance(known.clone(), 1, load, self.now_ms);
            }
        }
    }

    fn settle(&mut self) {
        loop {
            let mut notices = Vec::new();
            for core in &mut self.balancers {
                let from = core.peering.local_instance().control_address;
                let sent = core.peering.outbox.drain();
                notices.extend(sent.map(|(to, notice)| (from, to, notice)));
                core.peering.decisions.clear();
            }
            for agent in &mut self.agents {
                let from = agent.instance.control_address;
                let sent = agent.core.peering.outbox.drain();
                let sent = sent.map(|(to, notice)| (from, to, notice));
                notices.extend(sent.filter(|_| agent.is_up));
                agent.core.peering.decisions.clear();
            }
            if notices.is_empty() {
                return;
            }
            for (from, to, notice) in notices {
                let mut balancers = self.balancers.iter_mut();
                if let Some(core) =
                    balancers.find(|core| core.peering.local_instance().control_address == to)
                {
                    core.handle_notice(from, notice, self.now_ms);
                    continue;
                }
                let mut agents = self.agents.iter_mut();
                if let Some(agent) =
                    agents.find(|agent| agent.instance.control_address == to && agent.is_up)
                {
                    agent.core.handle_notice(from, notice, self.now_ms);
                }
            }
        }
    }

    /// Gives a caller's packet to a balancer. Returns whether it was sent on.
    pub fn caller_sends(&mut self, balancer: usize, mut bytes: Vec<u8>) -> bool {
        let verdict = self.balancers[balancer].handle_caller_packet(&mut bytes, self.now_ms);
        let is_sent = match verdict {
            Verdict::Send(address) => {
                self.agent_takes(address, bytes);
                true
            }
            Verdict::Reset(to, _) => {
                self.received.push((self.now_ms, to, RST));
                false
            }
            Verdict::Drop => false,
        };
        self.settle();
        is_sent
    }

    fn agent_takes(&mut self, address: SocketAddrV4, mut bytes: Vec<u8>) {
        let mut agents = self.agents.iter();
        let index = agents.position(|agent| agent.instance.packet_address == address);
        let index = index.expect("packets go to agents");
        if !self.agents[index].is_up {
            return;
        }
        let core = &mut self.agents[index].core;
        let verdict = core.handle_inbound(&mut bytes, self.now_ms);
        self.carry_out(index, bytes, verdict);
        self.release(index);
    }

    fn target_sends(&mut self, index: usize, mut bytes: Vec<u8>) {
        let core = &mut self.agents[index].core;
        let verdict = core.handle_outbound(&mut bytes, self.now_ms);
        self.carry_out(index, bytes, verdict);
    }

    fn release(&mut self, index: usize) {
        self.agents[index].core.dispatch_queued(self.now_ms);
        if self.grants_slots {
            self.agents[index].core.grant_slots(self.now_ms);
        }
        for (bytes, verdict) in self.agents[index].core.take_dispatched() {
            self.carry_out(index, bytes, verdict);
        }
        for (to, _) in self.agents[index].core.take_resets() {
            self.received.push((self.now_ms, to, RST));
        }
    }

    fn carry_out(&mut self, index: usize, bytes: Vec<u8>, verdict: AgentVerdict<[u8; HEADER_LEN]>) {
        match verdict {
            AgentVerdict::Target => {
                for answer in self.agents[index].target.take(&bytes) {
                    self.target_sends(index, answer);
                }
            }
            AgentVerdict::Instance(address) => self.agent_takes(address, bytes),
            AgentVerdict::Caller(to) => {
                self.received.push((self.now_ms, to, bytes[FLAGS]));
            }
            AgentVerdict::Reset(to, _) => self.received.push((self.now_ms, to, RST)),
            AgentVerdict::Drop => {}
        }
    }

    /// Opens a flow and returns the agent whose target holds it.
    pub fn open(&mut self, balancer: usize, number: u16) -> usize {
        self.caller_sends(balancer, syn(number, 0));
        let key = flow(number);
        // With all slots taken the SYN waits for one.
        while !self
            .agents
            .iter()
            .any(|agent| agent.target.flows.contains(&key))
        {
            self.advance(TICK_MS);
        }
        let ack = datagram(key.caller, key.service, ACK, 8, 1, 0);
        self.caller_sends(balancer, ack);
        let mut agents = self.agents.iter();
        let holder = agents.position(|agent| agent.target.flows.contains(&key));
        holder.expect("the flow is open")
    }

    /// Number of requests that a flow's target has got.
    pub fn requests(&self, number: u16) -> usize {
        let key = flow(number);
        let targets = self.agents.iter().map(|agent| &agent.target);
        targets
            .map(|target| target.requests.iter().filter(|r| **r == key).count())
            .sum()
    }

    /// Whether the caller got a reset.
    pub fn was_reset(&self, number: u16) -> bool {
        let to = caller(number);
        let mut received = self.received.iter();
        received.any(|(_, address, flags)| *address == to && flags & RST != 0)
    }

    /// How often each caller was sent something with these flags.
    pub fn count(&self, flags: u8) -> HashMap<SocketAddrV4, usize> {
        let mut counts = HashMap::new();
        for (_, to, seen) in &self.received {
            if *seen == flags {
                *counts.entry(*to).or_default() += 1;
            }
        }
        counts
    }
}
