//! Open flows while agents and balancers are restarted in series that overlap: their packets reach the
//! target that holds them, through whichever process runs.

mod simulation;

use bamboowind::{
    flow::packet::{HopMetadata, Lookup},
    forward::notices::{Notice, OwnerEvidence},
    membership::directory::LEAVE_GRACE_MS,
};
use proptest::prelude::*;
use simulation::{
    ACK, Simulation, caller, datagram, flow, schedule::share_of_cases, service_address,
};

const AGENTS: u8 = 6;

/// Packet with which a target closes a flow.
fn fin(number: u16) -> Vec<u8> {
    const FIN: u8 = 1;
    datagram(service_address(), caller(number), ACK | FIN, 9, 108, 0)
}

/// Restarts all agents, so that no process knows the owner of an idle flow. Returns the simulation,
/// the number of such a flow and the agents in its rendezvous order, of which the third is the owner.
fn forget_idle_flow() -> (Simulation, u16, Vec<usize>) {
    let mut sim = Simulation::new(2, AGENTS, 5, 20);
    let (number, order) = sim.open_flow_with_owner_at(2);
    for index in 0..usize::from(AGENTS) {
        sim.restart_agent(index);
    }
    sim.restart_balancer(1);
    sim.advance(600);
    (sim, number, order)
}

// A search that leaves out an agent which has announced its exit, but still forwards to its target,
// leads the flow's packets past the only target that holds it.
#[test]
fn a_search_asks_an_agent_that_is_leaving() {
    let (mut sim, number, order) = forget_idle_flow();
    sim.stop_agent(order[2]);
    sim.advance(800);
    sim.send_from_caller(1, sim.request(number));
    assert_eq!(sim.request_count(number), 1);
}

// With two agents, one that is leaving may be the only one that a balancer can ask.
#[test]
fn a_balancer_asks_an_agent_that_is_leaving_if_no_other_is_alive() {
    let mut sim = Simulation::new(2, 2, 5, 20);
    let owner = sim.open_flow(0, 1);
    sim.restart_balancer(1);
    sim.advance(100);
    sim.leave_agent(1 - owner);
    sim.advance(1_000);
    sim.stop_agent(owner);
    sim.advance(100);
    sim.send_from_caller(1, sim.request(1));
    assert_eq!(sim.request_count(1), 1);
}

// A started agent hears from one that has long been leaving and then exits. Taken for one that has just
// announced that, it is asked after its exit, and the search is lost there.
#[test]
fn a_started_agent_does_not_ask_an_agent_after_its_exit() {
    let (mut sim, number, order) = forget_idle_flow();
    let gone = order[1];
    sim.stop_agent(gone);
    sim.advance(800);
    sim.restart_agent(order[0]);
    sim.advance(300);
    assert!(!sim.agents[gone].is_up);
    sim.send_from_caller(1, sim.request(number));
    assert_eq!(sim.request_count(number), 1);
}

/// Restarts agents one after another as the platform does: each forwards until its exit, and starts
/// again 500 ms later.
fn restart_in_turn(sim: &mut Simulation, agents: &[usize]) {
    for &index in agents {
        sim.stop_agent(index);
        sim.advance(1_500);
        sim.restart_agent(index);
        sim.advance(50);
    }
}

/// Sends a request through a balancer that has just restarted, and checks that it reaches the target
/// that holds the flow and no other.
fn assert_sent_to_owner_alone(sim: &mut Simulation, number: u16) {
    sim.restart_balancer(1);
    sim.advance(100);
    sim.send_from_caller(1, sim.request(number));
    let counts = (sim.request_count(number), sim.denied_count(number));
    assert_eq!(counts, (1, 0), "received by its target, returned by others");
}

// After every agent has restarted once, neither the registry agents nor the flow's own agent know an
// idle flow from packets, so each of its packets is sent to the targets of other agents first.
#[test]
fn the_owner_of_an_idle_flow_is_known_after_all_agents_have_restarted() {
    let mut sim = Simulation::new(2, AGENTS, 5, 20);
    let (number, order) = sim.open_flow_with_owner_at(2);
    restart_in_turn(&mut sim, &order);
    restart_in_turn(&mut sim, &order);
    assert_sent_to_owner_alone(&mut sim, number);
}

// Both registry agents exit while the flow's own agent is away, and cannot return the flow to it.
#[test]
fn the_owner_of_an_idle_flow_is_known_after_its_registry_agents_exited_in_its_absence() {
    let mut sim = Simulation::new(2, AGENTS, 5, 20);
    let (number, order) = sim.open_flow_with_owner_at(2);
    sim.stop_agent(order[2]);
    sim.advance(1_100);
    sim.stop_agent(order[0]);
    sim.advance(100);
    sim.stop_agent(order[1]);
    sim.advance(1_500);
    (0..3).for_each(|rank| sim.restart_agent(order[rank]));
    assert_sent_to_owner_alone(&mut sim, number);
}

// A flow that has ended is not passed on for ever: it is left out when its owner has registered its
// open flows without it.
#[test]
fn an_ended_flow_is_not_returned_to_its_agent() {
    let mut sim = Simulation::new(2, AGENTS, 5, 20);
    let (ended, order) = sim.open_flow_with_owner_at(2);
    let owner = order[2];
    let open = (200..400).find(|number| sim.open_flow(0, *number) == owner);
    let open = open.expect("every target gets some of so many flows");
    sim.advance(100);
    // The target has closed the flow, and its agent has forgotten it since.
    sim.agents[owner]
        .target
        .flows
        .retain(|key| *key != flow(ended));
    sim.send_from_target(owner, fin(ended));
    sim.advance(15_000);
    restart_in_turn(&mut sim, &[owner]);
    let recovered = sim.agents[owner].core.recovered_flows();
    assert!(recovered.contains(&flow(open)));
    assert!(!recovered.contains(&flow(ended)));
}

// What another agent says of an owner is no proof: the caller's flow may have been opened elsewhere
// since.
#[test]
fn the_denial_of_an_agent_that_has_not_registered_a_flow_itself_does_not_reset_it() {
    let mut sim = Simulation::new(2, AGENTS, 5, 20);
    let (number, order) = sim.open_flow_with_owner_at(2);
    let registry_agent = order[0];
    let path = (
        sim.agent_address(order[2]),
        sim.agent_address(registry_agent),
    );
    sim.lost_notices.insert(path);
    sim.restart_agent(registry_agent);
    sim.advance(50);
    sim.lost_notices.remove(&path);
    let wrong = sim.agents[order[4]]
        .core
        .peering
        .local_instance()
        .packet_address;
    let notice = Notice::FlowOwner {
        owner: wrong,
        flows: vec![flow(number)],
        evidence: OwnerEvidence::Recovered,
    };
    let now_ms = sim.now_ms;
    let core = &mut sim.agents[registry_agent].core;
    core.handle_notice(wrong, notice, now_ms);
    let lookup = HopMetadata {
        lookup: Lookup::Registry,
        ..HopMetadata::default()
    };
    sim.send_to_agent(registry_agent, sim.request(number), lookup);
    assert!(!sim.was_reset(number), "the target holds the flow");
    assert_eq!(sim.request_count(number), 1);
}

// While processes are replaced one by one, an earlier build would take a recovered owner for a registered
// one, whose denial resets the flow. It ignores notices with a body that it does not know.
#[test]
fn a_recovered_owner_is_not_sent_as_a_registered_one() {
    let [registered, recovered] =
        [OwnerEvidence::Registered, OwnerEvidence::Recovered].map(|evidence| Notice::FlowOwner {
            owner: "10.0.0.1:8000".parse().unwrap(),
            flows: vec![flow(1)],
            evidence,
        });
    for notice in [&registered, &recovered] {
        assert_eq!(Notice::decode(&notice.encode()).as_ref(), Some(notice));
    }
    // The first byte of a message is the number of its field and the type of that.
    let field = |notice: &Notice| notice.encode()[0] >> 3;
    assert_eq!((field(&registered), field(&recovered)), (3, 7));
}

/// Delays between the transmissions of a caller's request, in milliseconds.
const RETRANSMISSION_DELAYS_MS: [u64; 6] = [200, 400, 800, 1_600, 1_600, 1_600];
/// Time for which the packets of an open flow may reach other targets only.
const MAX_ASTRAY_MS: u64 = 2_000;
/// Number of such packets from which that time counts.
const MIN_ASTRAY_PACKETS: usize = 3;
/// Time from the exit of an agent to its next start.
const RESTART_DELAY_MS: u64 = 500;

/// A series of stops, one process after another.
#[derive(Clone, Debug)]
struct Series {
    /// Time of the first stop, in milliseconds.
    starts_at_ms: u64,
    /// Time between two stops, in milliseconds.
    gap_ms: u64,
    /// Processes in the order in which they are stopped: agents, and balancers from the number of
    /// agents on.
    order: Vec<usize>,
}

impl Series {
    fn stops(&self) -> impl Iterator<Item = (u64, usize)> + '_ {
        let order = self.order.iter().zip(0_u64..);
        order.map(|(process, rank)| (self.starts_at_ms + rank * self.gap_ms, *process))
    }
}

/// A series over all agents while the flows are idle, and up to three that overlap while their callers go
/// on. The number of agents comes first.
fn overlapping_series() -> impl Strategy<Value = (u8, Vec<Series>)> {
    prop::sample::select(vec![3_u8, 6]).prop_flat_map(|agents| {
        let processes: Vec<usize> = (0..usize::from(agents) + 2).collect();
        let gap_ms = prop::sample::select(vec![330, 500, 1_000, 1_000]);
        let series = (0..2_000_u64, gap_ms, Just(processes).prop_shuffle());
        let first = (0..usize::from(agents)).collect();
        let first = Series {
            starts_at_ms: 0,
            gap_ms: 1_000,
            order: first,
        };
        let idle_ms = 1_000 * u64::from(agents) + 2_000;
        let later = prop::collection::vec(series, 1..4).prop_map(move |later| {
            let later = later
                .into_iter()
                .map(|(starts_at_ms, gap_ms, order)| Series {
                    starts_at_ms: idle_ms + starts_at_ms,
                    gap_ms,
                    order,
                });
            std::iter::once(first.clone()).chain(later).collect()
        });
        (Just(agents), later)
    })
}

/// A caller's request on an open flow, which is sent again until it reaches its target.
struct Request {
    number: u16,
    due_ms: u64,
    transmissions: usize,
    /// Times of the transmissions that reached other targets only.
    astray_at_ms: Vec<u64>,
}

impl Request {
    /// Sends the request through a balancer if it is due. Returns whether its target has it.
    fn send(&mut self, sim: &mut Simulation, balancer: usize) -> bool {
        let now_ms = sim.now_ms;
        if now_ms < self.due_ms {
            return false;
        }
        let counts = |sim: &Simulation| {
            (
                sim.request_count(self.number),
                sim.denied_count(self.number),
            )
        };
        let before = counts(sim);
        sim.send_from_caller(balancer, sim.request(self.number));
        let after = counts(sim);
        if after.0 > before.0 {
            return true;
        }
        if after.1 > before.1 {
            self.astray_at_ms.push(now_ms);
        }
        let delay_ms = RETRANSMISSION_DELAYS_MS
            .get(self.transmissions)
            .unwrap_or(&1_600);
        self.transmissions += 1;
        self.due_ms = now_ms + delay_ms;
        false
    }

    fn is_astray(&self) -> bool {
        let times = self.astray_at_ms.first().zip(self.astray_at_ms.last());
        let span_ms = times.map_or(0, |(first_ms, last_ms)| last_ms - first_ms);
        self.astray_at_ms.len() >= MIN_ASTRAY_PACKETS && span_ms >= MAX_ASTRAY_MS
    }
}

/// Restarts agents and balancers in series while the callers of idle flows go on, `pace_ms` one after
/// the other. Returns the flows whose packets went astray, with the times of these packets.
fn run_series(agents: u8, series: &[Series], pace_ms: u64) -> Vec<(u16, Vec<u64>)> {
    const FLOWS: u16 = 24;
    let mut sim = Simulation::new(2, agents, 5, 20);
    (0..FLOWS).for_each(|number| {
        sim.open_flow(0, number);
    });
    sim.advance(1_000);
    let start_ms = sim.now_ms;
    let mut stops: Vec<_> = series.iter().flat_map(Series::stops).collect();
    let idle_until_ms = start_ms + series[1..].iter().map(|s| s.starts_at_ms).min().unwrap();
    let mut requests: Vec<_> = (0..FLOWS)
        .map(|number| Request {
            number,
            due_ms: idle_until_ms + u64::from(number) * pace_ms,
            transmissions: 0,
            astray_at_ms: Vec::new(),
        })
        .collect();
    let mut starts: Vec<(u64, usize)> = Vec::new();
    let mut astray = Vec::new();
    while !requests.is_empty() || !starts.is_empty() {
        sim.advance(10);
        let now_ms = sim.now_ms;
        for (_, index) in starts.extract_if(.., |(at_ms, _)| *at_ms <= now_ms) {
            sim.restart_agent(index);
        }
        for (_, process) in stops.extract_if(.., |(at_ms, _)| start_ms + *at_ms <= now_ms) {
            match process.checked_sub(usize::from(agents)) {
                Some(balancer) => sim.restart_balancer(balancer),
                None if starts.iter().any(|(_, index)| *index == process) => {}
                None => {
                    sim.stop_agent(process);
                    starts.push((now_ms + LEAVE_GRACE_MS + RESTART_DELAY_MS, process));
                }
            }
        }
        let balancer = usize::try_from(now_ms / 10 % 2).unwrap();
        requests.retain_mut(|request| !request.send(&mut sim, balancer));
        for request in requests.extract_if(.., |request| request.is_astray()) {
            astray.push((request.number, request.astray_at_ms));
        }
    }
    astray
}

proptest! {
    #![proptest_config(share_of_cases(5))]

    // Agents are stopped again before they have learned of their flows, and all that store an owner are
    // restarted one after the other.
    #[test]
    fn no_series_of_restarts_leads_packets_of_open_flows_astray(
        (agents, series) in overlapping_series(),
        pace_ms in 10..400_u64,
    ) {
        let astray = run_series(agents, &series, pace_ms);
        prop_assert!(astray.is_empty(), "{:?}", astray);
    }
}
