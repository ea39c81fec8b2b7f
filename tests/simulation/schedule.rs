//! Schedules of events against the simulation, and the check that no open flow is reset that a live
//! target holds.

use std::{net::SocketAddrV4, sync::Arc};

use bamboowind::{
    flow::routes::{Backend, Class, Route, RouteTable},
    forward::agent::target_check::CheckResult,
};
use proptest::{prelude::*, test_runner::RngSeed};

use super::{
    ACK, OTHER_SERVICE, RST, SERVICE, SYN, SimulatedAgent, Simulation, caller, flow,
    service_address, syn,
};

/// An event of a random schedule, with the number of the instance that it happens to.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    /// A caller opens a flow, with its first SYN through this balancer.
    Open(usize),
    /// Every caller with an open flow sends a request through this balancer.
    Requests(usize),
    RestartBalancer(usize),
    RestartAgent(usize),
    /// An agent announces its exit and stops, or starts again if it is stopped.
    LeaveOrReturn(usize),
    /// An agent announces its exit, forwards for a while and exits, or starts again if it has
    /// announced that.
    StopOrReturn(usize),
    /// The notices of an agent to a balancer (below 3) or an agent (the others) are lost, or arrive
    /// again.
    LoseNotices(usize, usize),
    RestartTarget(usize),
    /// The target of an agent starts or stops draining.
    Drain(usize),
    /// An agent freezes or thaws.
    Freeze(usize),
    Advance(u64),
    /// The notices of an agent to a balancer (below 3) or an agent (the others) are held back, or
    /// those that were arrive.
    DelayNotices(usize, usize),
    /// New flows are sent to this choice of services.
    ChangeRoutes(usize),
    /// The store comes back from a copy that lacks the entries of all agents.
    RestoreStore,
    /// The store removes the entry of a running agent, which learns of it at its next renewal.
    RemoveEntry(usize),
    /// The target of an agent ends, and its address goes to a target of the other service.
    ReuseAddress(usize),
    /// The process of a target ends, or another one starts in its place.
    EndTarget(usize),
    /// All machines lose their power. All processes start again, except for this target.
    LosePower(usize),
    /// The connections with which an agent checks its target end in this way (a choice) from now on.
    Check(usize, usize),
}

impl Event {
    /// The event with the number of the agent reduced modulo `agents`.
    fn modulo(self, agents: usize) -> Self {
        match self {
            Self::RestartAgent(index) => Self::RestartAgent(index % agents),
            Self::LeaveOrReturn(index) => Self::LeaveOrReturn(index % agents),
            Self::StopOrReturn(index) => Self::StopOrReturn(index % agents),
            Self::LoseNotices(index, receiver) => {
                Self::LoseNotices(index % agents, receiver % (3 + agents))
            }
            Self::DelayNotices(index, receiver) => {
                Self::DelayNotices(index % agents, receiver % (3 + agents))
            }
            Self::ReuseAddress(index) => Self::ReuseAddress(index % agents),
            Self::RestartTarget(index) => Self::RestartTarget(index % agents),
            Self::Drain(index) => Self::Drain(index % agents),
            Self::Freeze(index) => Self::Freeze(index % agents),
            Self::EndTarget(index) => Self::EndTarget(index % agents),
            Self::LosePower(index) => Self::LosePower(index % agents),
            Self::Check(index, choice) => Self::Check(index % agents, choice),
            Self::RemoveEntry(index) => Self::RemoveEntry(index % agents),
            Self::Open(_)
            | Self::Requests(_)
            | Self::RestartBalancer(_)
            | Self::Advance(_)
            | Self::ChangeRoutes(_)
            | Self::RestoreStore => self,
        }
    }
}

/// Random events: the common ones, and those of the given kinds.
pub fn events(kinds: &[fn(usize, usize) -> Event]) -> impl Strategy<Value = Vec<Event>> + use<> {
    let kinds = kinds.to_vec();
    let kind = prop::sample::select(kinds);
    let event = prop_oneof![
        1 => (0..3_usize).prop_map(Event::Open),
        3 => (0..3_usize).prop_map(Event::Requests),
        3 => prop::sample::select(vec![10, 20, 50, 100, 200, 500, 1_000, 2_000])
            .prop_map(Event::Advance),
        4 => (kind, 0..6_usize, 0..9_usize).prop_map(|(kind, index, other)| kind(index, other)),
    ];
    prop::collection::vec(event, 1..40)
}

/// Number of agents, slots of each target and time of a request in milliseconds.
pub type Targets = (u8, usize, u64);

/// Control addresses of an agent and of a balancer (below 3) or an agent (the others).
fn notice_path(sim: &Simulation, index: usize, receiver: usize) -> (SocketAddrV4, SocketAddrV4) {
    let to = match receiver {
        0..3 => sim.balancer_address(receiver),
        _ => sim.agent_address(receiver - 3),
    };
    (sim.agent_address(index), to)
}

/// Routes to the first service, to the other one, or to both.
fn split_routes(choice: usize, version: u64) -> Arc<RouteTable> {
    let weights: [(&str, u32); 2] = match choice % 3 {
        0 => [(SERVICE, 1), (OTHER_SERVICE, 0)],
        1 => [(SERVICE, 0), (OTHER_SERVICE, 1)],
        _ => [(SERVICE, 1), (OTHER_SERVICE, 1)],
    };
    let backends = weights.map(|(service, weight)| Backend {
        service: service.into(),
        weight,
    });
    let route = Route {
        address: service_address(),
        backends: backends.into(),
        class: Class {
            target_latency_ms: 200,
            priority: 1,
        },
    };
    Arc::new(RouteTable::new(version, vec![route]))
}

/// Lets the checks of an agent end according to its target, at once or late, or time out.
fn set_checks(agent: &mut SimulatedAgent, choice: usize) {
    (agent.check_result, agent.check_delay_ms) = match choice % 4 {
        0 => (None, 0),
        1 => (None, 50),
        2 => (None, 190),
        _ => (Some(CheckResult::TimedOut), 200),
    };
}

/// A run of a random schedule.
pub struct Run {
    pub sim: Simulation,
    /// Flows whose callers have received a SYN+ACK and no reset.
    open: Vec<u16>,
    /// Time, number and transmission number of each SYN that a caller still has to send.
    syns: Vec<(u64, u16, u32)>,
    /// Number of flows that callers have attempted to open.
    attempts: u16,
    /// Number of packets to callers that have been handled.
    handled: usize,
    /// Balancer that receives the next SYN.
    next_balancer: usize,
}

impl Run {
    pub fn new((agents, capacity, service_ms): Targets) -> Self {
        let sim = Simulation::new(3, agents, capacity, service_ms);
        let mut run = Self {
            sim,
            open: Vec::new(),
            syns: Vec::new(),
            attempts: 0,
            handled: 0,
            next_balancer: 0,
        };
        (0..4).for_each(|balancer| run.apply(Event::Open(balancer)).expect("no event yet"));
        run.apply(Event::Advance(100)).expect("no event yet");
        run
    }

    /// Index of an agent that is running and whose target holds a flow.
    fn holder(&self, number: u16) -> Option<usize> {
        let key = flow(number);
        let mut agents = self.sim.agents.iter();
        agents.position(|agent| agent.is_up && agent.target.flows.contains(&key))
    }

    /// Index of an agent that is running and whose target has opened a flow. Another one may have
    /// got a copy of the SYN that the caller does not acknowledge.
    fn opened_holder(&self, number: u16) -> Option<usize> {
        let sequence = self.sim.acknowledgement(caller(number)).wrapping_sub(1);
        let key = flow(number);
        let mut agents = self.sim.agents.iter();
        agents.position(|agent| {
            let target = &agent.target;
            agent.is_up && target.sequence == sequence && target.flows.contains(&key)
        })
    }

    /// Applies an event, and returns an error if an open flow is reset by mistake. A process that
    /// starts reads the store before it reads any packet.
    /// # Errors
    ///
    /// Returns which flow was reset by mistake.
    pub fn apply(&mut self, event: Event) -> Result<(), String> {
        let event = event.modulo(self.sim.agents.len());
        let starts_process = match event {
            Event::RestartBalancer(_) | Event::RestartAgent(_) | Event::LosePower(_) => true,
            Event::LeaveOrReturn(index) | Event::StopOrReturn(index) => {
                self.sim.agents[index].is_stopping()
            }
            _ => false,
        };
        self.apply_now(event)?;
        if starts_process {
            self.apply_now(Event::Advance(10))?;
        }
        Ok(())
    }

    fn apply_now(&mut self, event: Event) -> Result<(), String> {
        let sim = &mut self.sim;
        match event {
            Event::Open(balancer) => {
                self.next_balancer = balancer % 3;
                for (transmission, delay_ms) in [(0, 0), (1, 200), (2, 600)] {
                    let at_ms = sim.now_ms + delay_ms;
                    self.syns.push((at_ms, self.attempts, transmission));
                }
                self.attempts += 1;
            }
            Event::Requests(balancer) => {
                for number in self.open.clone() {
                    if self.holder(number).is_some() {
                        let request = self.sim.request(number);
                        self.sim.send_from_caller(balancer % 3, request);
                    }
                }
            }
            Event::RestartBalancer(index) => sim.restart_balancer(index % 3),
            Event::LeaveOrReturn(index) if !sim.agents[index].is_stopping() => {
                sim.leave_agent(index);
            }
            Event::StopOrReturn(index) if !sim.agents[index].is_stopping() => sim.stop_agent(index),
            Event::RestartAgent(index)
            | Event::LeaveOrReturn(index)
            | Event::StopOrReturn(index) => sim.restart_agent(index),
            Event::LoseNotices(index, receiver) => {
                let pair = notice_path(sim, index, receiver);
                if !sim.lost_notices.remove(&pair) {
                    sim.lost_notices.insert(pair);
                }
            }
            Event::DelayNotices(index, receiver) => {
                let pair = notice_path(sim, index, receiver);
                sim.toggle_delay(pair);
            }
            Event::ChangeRoutes(choice) => {
                let version = sim.routes.version().number + 1;
                sim.set_routes(split_routes(choice, version));
            }
            Event::ReuseAddress(index) => {
                let agent = &mut sim.agents[index];
                agent.service = if agent.service == SERVICE {
                    OTHER_SERVICE
                } else {
                    SERVICE
                };
                sim.restart_target(index);
            }
            Event::RestoreStore => sim.restore_store(),
            Event::EndTarget(index) if sim.agents[index].target.has_ended => {
                sim.restart_target(index);
            }
            Event::EndTarget(index) => sim.end_target(index),
            Event::LosePower(index) => sim.lose_power(index),
            Event::Check(index, choice) => set_checks(&mut sim.agents[index], choice),
            Event::RemoveEntry(index) => sim.remove_entry(index),
            Event::RestartTarget(index) => sim.restart_target(index),
            Event::Drain(index) => sim.agents[index].is_draining ^= true,
            Event::Freeze(index) if sim.agents[index].is_frozen => sim.thaw_agent(index),
            Event::Freeze(index) => sim.freeze_agent(index),
            Event::Advance(ms) => {
                let end_ms = sim.now_ms + ms;
                while self.sim.now_ms < end_ms {
                    self.send_syns();
                    self.sim.advance(10);
                    self.handle_received()?;
                }
            }
        }
        self.handle_received()
    }

    /// Sends the SYNs that are due, except those of flows that have been answered.
    fn send_syns(&mut self) {
        let now_ms = self.sim.now_ms;
        let due: Vec<_> = self
            .syns
            .extract_if(.., |(at_ms, _, _)| *at_ms <= now_ms)
            .collect();
        for (_, number, transmission) in due {
            let to = caller(number);
            if !self.sim.received.iter().any(|(_, other, _)| *other == to) {
                self.sim
                    .send_from_caller(self.next_balancer, syn(number, transmission));
                self.next_balancer = (self.next_balancer + 1) % 3;
            }
        }
    }

    /// Lets callers handle what they have received. Returns an error if a caller was sent a reset
    /// whose flow a target holds beside a running agent.
    fn handle_received(&mut self) -> Result<(), String> {
        while let Some((at_ms, to, flags)) = self.sim.received.get(self.handled).copied() {
            self.handled += 1;
            let number = (0..self.attempts).find(|number| caller(*number) == to);
            let number = number.expect("only these callers send packets");
            let is_open = self.open.contains(&number);
            if flags & RST != 0 && is_open {
                if let Some(index) = self.opened_holder(number) {
                    return Err(format!(
                        "flow {number} at agent {index} was reset at {at_ms} ms"
                    ));
                }
                self.open.retain(|other| *other != number);
            } else if flags == SYN | ACK
                && !is_open
                && !self.sim.was_reset(number)
                && self.holder(number).is_some()
            {
                self.open.push(number);
                let ack = self.sim.handshake_ack(number);
                let balancer = (self.next_balancer + 2) % 3;
                self.sim.send_from_caller(balancer, ack);
            }
        }
        Ok(())
    }
}

/// Applies events until an open flow is reset by mistake.
pub fn check_schedule(targets: Targets, schedule: &[Event]) -> Result<(), TestCaseError> {
    let mut run = Run::new(targets);
    for event in schedule {
        run.apply(*event).map_err(TestCaseError::fail)?;
    }
    let end = run.apply(Event::Advance(1_000));
    end.map_err(TestCaseError::fail)
}

/// Configuration with the same cases in each run, unless the environment sets another seed.
pub fn fixed_cases() -> ProptestConfig {
    let config = ProptestConfig::default();
    let rng_seed = match config.rng_seed {
        RngSeed::Random => RngSeed::Fixed(1),
        fixed @ RngSeed::Fixed(_) => fixed,
    };
    ProptestConfig { rng_seed, ..config }
}

/// Like [`fixed_cases`], with the number of cases divided by `divisor`, for cases that take long.
pub fn share_of_cases(divisor: u32) -> ProptestConfig {
    let config = fixed_cases();
    ProptestConfig {
        cases: config.cases / divisor,
        ..config
    }
}
