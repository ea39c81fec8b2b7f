//! Open flows while agents and balancers are restarted in series that overlap: their packets reach the
//! target that holds them, through whichever process runs.

mod simulation;

use bamboowind::{
    flow::packet::{HopMetadata, Lookup},
    forward::notices::{Notice, OwnerEvidence},
};
use simulation::{ACK, Simulation, caller, datagram, flow, service_address};

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

// After every agent has restarted once, neither the registry agents nor the flow's own agent know an
// idle flow from packets, so each of its packets is sent to the targets of other agents first.
#[test]
fn the_owner_of_an_idle_flow_is_known_after_all_agents_have_restarted() {
    let mut sim = Simulation::new(2, AGENTS, 5, 20);
    let (number, order) = sim.open_flow_with_owner_at(2);
    restart_in_turn(&mut sim, &order);
    restart_in_turn(&mut sim, &order);
    sim.restart_balancer(1);
    sim.advance(100);
    sim.send_from_caller(1, sim.request(number));
    assert_eq!(
        (sim.request_count(number), sim.denied_count(number)),
        (1, 0)
    );
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
    sim.restart_balancer(1);
    sim.advance(100);
    sim.send_from_caller(1, sim.request(number));
    assert_eq!(
        (sim.request_count(number), sim.denied_count(number)),
        (1, 0)
    );
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
