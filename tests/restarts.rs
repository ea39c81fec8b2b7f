//! Open flows while agents and balancers are restarted in series that overlap: their packets reach the
//! target that holds them, through whichever process runs.

mod simulation;

use simulation::Simulation;

const AGENTS: u8 = 6;

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
