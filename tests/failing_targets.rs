//! Targets that fail the requests they receive, under load: how many requests are lost, and that
//! healthy targets stay in use.

mod simulation;

use std::{
    collections::{HashSet, VecDeque},
    net::SocketAddrV4,
};

use bamboowind::membership::instance::TargetState;
use simulation::{
    ACK, Failure, RST, SYN, Simulation, caller, datagram, flow, service_address, syn,
};

const AGENTS: u8 = 12;
const CAPACITY: usize = 2;
const SERVICE_MS: u64 = 20;
/// Requests per 100 ms, 70% of what all targets can serve.
const REQUESTS_PER_100_MS: u64 = 84;
/// Time that a caller waits for a response.
const DEADLINE_MS: u64 = 800;
/// Time for which the load runs before the first failure, so that all targets have been measured.
const WARM_UP_MS: u64 = 1_000;

/// A deployment under load.
struct Load {
    sim: Simulation,
    /// Number of callers so far. Each opens one flow and sends one request.
    callers: u16,
    /// Long flows, whose callers each send a request every 100 ms.
    long_flows: u16,
    /// Number of packets that the callers had received before the last step.
    seen: usize,
    /// Callers that wait for a response, by the time of their request.
    waiting: VecDeque<(u64, SocketAddrV4)>,
    /// Callers that have received a response.
    answered: HashSet<SocketAddrV4>,
}

impl Load {
    fn new(long_flows: u16) -> Self {
        let mut sim = Simulation::new(3, AGENTS, CAPACITY, SERVICE_MS);
        sim.tick_ms = 1;
        for agent in &mut sim.agents {
            agent.target.response_len = 1_000;
            agent.target.is_varied = true;
        }
        for number in 0..long_flows {
            sim.open_flow(usize::from(number % 3), number);
        }
        let mut load = Self {
            sim,
            callers: long_flows,
            long_flows,
            seen: 0,
            waiting: VecDeque::new(),
            answered: HashSet::new(),
        };
        load.run(WARM_UP_MS);
        load
    }

    /// Runs the load for `ms`.
    fn run(&mut self, ms: u64) {
        for _ in 0..ms {
            let due = |at_ms: u64| at_ms * REQUESTS_PER_100_MS / 100;
            for _ in due(self.sim.now_ms)..due(self.sim.now_ms + 1) {
                let number = self.callers;
                self.callers += 1;
                self.sim
                    .send_from_caller(usize::from(number % 3), syn(number, 0));
            }
            for number in 0..self.long_flows {
                let is_due = (self.sim.now_ms + u64::from(number)).is_multiple_of(100);
                let is_waiting = self.waiting.iter().any(|(_, from)| *from == caller(number));
                if is_due && self.sim.is_open(number) && !is_waiting {
                    let request = self.long_request(number);
                    self.waiting.push_back((self.sim.now_ms, caller(number)));
                    self.answered.remove(&caller(number));
                    self.sim.send_from_caller(usize::from(number % 3), request);
                }
            }
            let received = self.sim.received[self.seen..].to_vec();
            self.seen = self.sim.received.len();
            for (_, to, flags) in received {
                let is_long = (0..self.long_flows).any(|number| caller(number) == to);
                if flags == SYN | ACK && !is_long {
                    let request = self.sim.request_from(to);
                    self.waiting.push_back((self.sim.now_ms, to));
                    self.sim.send_from_caller(0, request);
                }
                if flags == ACK {
                    self.answered.insert(to);
                }
            }
            self.give_up_overdue();
            self.sim.advance(1);
        }
    }

    /// Resets the flows of the callers that have waited for too long.
    fn give_up_overdue(&mut self) {
        let answered = &self.answered;
        self.waiting.retain(|(_, from)| !answered.contains(from));
        while let Some((since_ms, from)) = self.waiting.front().copied()
            && self.sim.now_ms - since_ms >= DEADLINE_MS
        {
            self.waiting.pop_front();
            let acknowledged = self.sim.acknowledgement(from);
            let reset = datagram(from, service_address(), RST, 108, acknowledged, 0);
            self.sim.send_from_caller(0, reset);
        }
    }

    /// A new request of a long flow, whose sequence number follows from the time.
    fn long_request(&self, number: u16) -> Vec<u8> {
        let mut request = self.sim.request(number);
        let sequence = u32::try_from(self.sim.now_ms * 10).unwrap();
        request[..4].copy_from_slice(&sequence.to_le_bytes());
        request
    }

    fn set_failure(&mut self, indices: std::ops::Range<usize>, failure: Option<(Failure, u32)>) {
        for index in indices {
            self.sim.agents[index].target.failure = failure;
        }
    }

    /// Number of requests that failed on flows of a single request.
    fn lost(&self) -> usize {
        let long: HashSet<_> = (0..self.long_flows).map(flow).collect();
        let failed = self
            .sim
            .agents
            .iter()
            .flat_map(|agent| &agent.target.failed);
        failed.filter(|flow| !long.contains(flow)).count()
    }

    /// Number of requests that each target has received.
    fn requests(&self) -> Vec<usize> {
        let agents = self.sim.agents.iter();
        agents.map(|agent| agent.target.requests.len()).collect()
    }

    fn suspects(&self) -> Vec<usize> {
        let agents = self.sim.agents.iter().enumerate();
        let suspects = agents.filter(|(_, agent)| agent.core.load(self.sim.now_ms).is_suspect);
        suspects.map(|(index, _)| index).collect()
    }
}

/// Requests lost in 2 s with three of twelve targets failing, with and without judgement.
fn lost_with_and_without(failure: Failure, permille: u32) -> [usize; 2] {
    [false, true].map(|loses_class_responses| {
        let mut load = Load::new(0);
        load.sim.loses_class_responses = loses_class_responses;
        if loses_class_responses {
            load.run(3_500);
        }
        load.set_failure(0..3, Some((failure, permille)));
        load.run(2_000);
        load.lost()
    })
}

#[test]
fn few_requests_are_lost_at_targets_that_answer_with_errors() {
    let [with, without] = lost_with_and_without(Failure::Error, 1_000);
    println!("errors: {with} lost, {without} without judgement");
    assert!(with <= 40, "{with} lost, {without} without judgement");
    assert!(
        without >= 10 * with,
        "{with} lost, {without} without judgement"
    );
}

#[test]
fn few_requests_are_lost_at_targets_that_fail_a_share() {
    let [with, without] = lost_with_and_without(Failure::Error, 450);
    println!("share: {with} lost, {without} without judgement");
    assert!(
        without >= 4 * with,
        "{with} lost, {without} without judgement"
    );
}

#[test]
fn few_requests_are_lost_at_targets_that_reset_flows() {
    let [with, without] = lost_with_and_without(Failure::Reset, 1_000);
    println!("resets: {with} lost, {without} without judgement");
    assert!(
        without >= 10 * with,
        "{with} lost, {without} without judgement"
    );
}

#[test]
fn few_requests_are_lost_at_targets_that_leave_a_share_without_a_response() {
    let [with, without] = lost_with_and_without(Failure::Silence, 450);
    println!("silence of a share: {with} lost, {without} without judgement");
    assert!(without > with, "{with} lost, {without} without judgement");
}

#[test]
fn a_target_that_hangs_is_suspected() {
    let mut load = Load::new(24);
    load.set_failure(0..1, Some((Failure::Silence, 1_000)));
    load.run(1_000);
    assert_eq!(load.suspects(), [0]);
}

/// A target that is down and up for half a second each must not attract flows whenever it is up.
#[test]
fn a_flapping_target_loses_few_requests() {
    let mut load = Load::new(0);
    for _ in 0..5 {
        load.set_failure(0..2, Some((Failure::Error, 1_000)));
        load.run(500);
        load.set_failure(0..2, None);
        load.run(500);
    }
    println!("flapping: {} lost", load.lost());
    assert!(load.lost() <= 40, "{} lost", load.lost());
}

/// Open flows stay at a failing target: no reset, and the requests on them are the lower bound of
/// what is lost.
#[test]
fn open_flows_stay_at_a_failing_target() {
    let mut load = Load::new(24);
    load.set_failure(0..3, Some((Failure::Error, 1_000)));
    load.run(2_000);
    assert!((0..24).all(|number| load.sim.is_open(number) && !load.sim.was_reset(number)));
    assert!(load.lost() <= 40, "{} lost", load.lost());
}

#[test]
fn a_target_that_recovers_is_in_full_use_again() {
    let mut load = Load::new(0);
    load.set_failure(0..2, Some((Failure::Error, 1_000)));
    load.run(500);
    load.set_failure(0..2, None);
    load.run(2_500);
    assert_eq!(load.suspects(), [0; 0]);
    let before = load.requests();
    load.run(1_000);
    let served: Vec<_> = load
        .requests()
        .iter()
        .zip(before)
        .map(|(after, before)| after - before)
        .collect();
    assert!(served[..2].iter().all(|count| *count >= 40), "{served:?}");
}

/// All targets fail alike: whichever serves them is the same, so none is avoided.
#[test]
fn when_most_targets_fail_none_is_avoided() {
    let mut load = Load::new(0);
    load.set_failure(0..usize::from(AGENTS), Some((Failure::Error, 1_000)));
    load.run(1_000);
    assert_eq!(load.suspects(), [0; 0]);
    let before = load.requests();
    load.run(1_000);
    let after = load.requests();
    assert!(
        before
            .iter()
            .zip(&after)
            .all(|(before, after)| after > before),
        "{after:?}"
    );
    let refused = load.sim.received_counts(RST);
    assert_eq!(refused.len(), 0);
}

#[test]
fn when_half_of_the_targets_fail_all_accept_flows() {
    let mut load = Load::new(0);
    load.set_failure(0..6, Some((Failure::Error, 1_000)));
    load.run(1_500);
    let before = load.requests();
    load.run(500);
    let after = load.requests();
    assert!(
        before
            .iter()
            .zip(&after)
            .all(|(before, after)| after > before),
        "{after:?}"
    );
}

/// The requests of all callers change to ones that are answered at once and briefly.
#[test]
fn a_mix_that_changes_at_once_leaves_all_targets_in_use() {
    let mut load = Load::new(0);
    for agent in &mut load.sim.agents {
        agent.target.service_ms = 1;
        agent.target.response_len = 120;
    }
    load.run(700);
    assert_eq!(load.suspects(), [0; 0]);
    let before = load.requests();
    load.run(1_000);
    let after = load.requests();
    assert!(
        before
            .iter()
            .zip(&after)
            .all(|(before, after)| after > before),
        "{after:?}"
    );
}

/// Healthy targets whose responses vary, one of them fast, are never suspected.
#[test]
fn healthy_targets_are_never_suspected() {
    let mut load = Load::new(24);
    load.sim.agents[0].target.service_ms = 2;
    load.sim.agents[1].target.service_ms = 40;
    for _ in 0..50 {
        load.run(100);
        assert_eq!(load.suspects(), [0; 0]);
    }
}

/// A target that is killed and started again resets data of its lost flows. That is no reason to
/// avoid it.
#[test]
fn a_restarted_target_is_in_use_at_once() {
    let mut load = Load::new(24);
    load.sim.restart_target(0);
    load.sim.agents[0].target.response_len = 1_000;
    load.sim.agents[0].target.is_varied = true;
    load.sim.agents[0].target.is_starting = true;
    // The next heartbeat, which tells the agent, comes within 500 ms.
    load.run(600);
    load.sim.agents[0].target.is_starting = false;
    for _ in 0..10 {
        load.run(100);
        assert_eq!(load.suspects(), [0; 0]);
    }
    assert!(!load.sim.agents[0].target.requests.is_empty());
}

/// An agent that starts knows nothing of its target.
#[test]
fn a_restarted_agent_does_not_suspect_its_target() {
    let mut load = Load::new(24);
    load.sim.restart_agent(0);
    for _ in 0..20 {
        load.run(100);
        assert_eq!(load.suspects(), [0; 0]);
    }
}

/// An agent whose process was paused has not read its target's responses yet when it checks for
/// missing ones.
#[test]
fn a_thawed_agent_does_not_suspect_its_target() {
    let mut load = Load::new(96);
    let agent = &load.sim.agents[0];
    let flows = agent.target.flows.clone();
    let flows = (0..96).filter(|number| flows.contains(&flow(*number)));
    let flows: Vec<u16> = flows.collect();
    assert!(flows.len() >= 4, "{flows:?}");
    for number in flows {
        let request = load.long_request(number);
        load.sim.send_from_caller(0, request);
    }
    load.sim.freeze_agent(0);
    load.run(600);
    load.sim.agents[0].is_frozen = false;
    load.sim.advance(1);
    assert_eq!(load.suspects(), [0; 0]);
    load.sim.thaw_agent(0);
    for _ in 0..10 {
        load.run(100);
        assert_eq!(load.suspects(), [0; 0]);
    }
}

/// Without figures of the siblings for 3 s there is no judgement, and the target is placed on as
/// before.
#[test]
fn a_suspicion_ends_when_the_reports_of_the_siblings_are_lost() {
    let mut load = Load::new(0);
    load.set_failure(0..2, Some((Failure::Error, 1_000)));
    load.run(500);
    assert_eq!(load.suspects(), [0, 1]);
    load.sim.loses_class_responses = true;
    load.run(3_300);
    assert_eq!(load.suspects(), [0; 0]);
    let now_ms = load.sim.now_ms;
    assert_eq!(
        load.sim.agents[0].core.load(now_ms).state,
        TargetState::Ready
    );
}

/// A SYN that reaches the agent of a suspect because the suspicion is not known there yet is
/// redirected.
#[test]
fn the_agent_of_a_suspect_redirects_syns() {
    let mut load = Load::new(0);
    load.set_failure(0..1, Some((Failure::Error, 1_000)));
    load.run(500);
    assert_eq!(load.suspects(), [0]);
    let syns = load.sim.agents[0].target.syns;
    let hop = bamboowind::flow::packet::HopMetadata {
        service_tag: bamboowind::membership::rendezvous::tag(simulation::SERVICE),
        ..Default::default()
    };
    for number in 60_000..60_010 {
        load.sim.send_to_agent(0, syn(number, 0), hop);
    }
    assert_eq!(load.sim.agents[0].target.syns, syns);
    load.sim.advance(50);
    let answered = load.sim.received_counts(SYN | ACK);
    assert!((60_000..60_010).all(|number| answered.contains_key(&caller(number))));
}
