//! No caller is reset whose flow a live target holds.

mod simulation;

use bamboowind::{
    flow::packet::{HopMetadata, Lookup},
    membership::rendezvous::tag,
};
use simulation::{Simulation, request};

/// Number of agents in most simulations.
const AGENTS: u8 = 6;

/// Number of a flow whose owner is at position `rank` of the flow's rendezvous order, after the flow
/// was opened through balancer 0. Returns the number and the order.
fn open_flow_with_owner_at(sim: &mut Simulation, rank: usize) -> (u16, Vec<usize>) {
    for number in 0..200 {
        let owner = sim.open_flow(0, number);
        sim.advance(10);
        let order = sim.flow_order(number);
        if order[rank] == owner {
            return (number, order);
        }
    }
    unreachable!("every rank occurs among so many flows");
}

// A lookup that reaches an agent of low rank first must still reach the owner, which ranks higher.
#[test]
fn a_lookup_at_a_low_ranked_agent_does_not_skip_the_owner() {
    for owner_rank in 0..usize::from(AGENTS) - 1 {
        let mut sim = Simulation::new(2, AGENTS, 5, 20);
        let (number, order) = open_flow_with_owner_at(&mut sim, owner_rank);
        let hop = HopMetadata {
            lookup: Lookup::Registry,
            entry_tag: tag("balancer-1"),
            ..HopMetadata::default()
        };
        sim.send_to_agent(order[usize::from(AGENTS) - 1], request(number), hop);
        assert!(!sim.was_reset(number), "owner at rank {owner_rank}");
        assert_eq!(sim.request_count(number), 1, "owner at rank {owner_rank}");
    }
}

// A balancer that has just started and has heard from only one agent must not cause a reset.
#[test]
fn a_starting_balancer_that_knows_one_agent_causes_no_reset() {
    for known_rank in 1..usize::from(AGENTS) {
        let mut sim = Simulation::new(2, AGENTS, 5, 20);
        let (number, order) = open_flow_with_owner_at(&mut sim, 0);
        let balancer = sim.balancer_address(1);
        for index in order.iter().filter(|index| **index != order[known_rank]) {
            sim.lost_notices
                .insert((sim.agent_address(*index), balancer));
        }
        sim.restart_balancer(1);
        sim.advance(50);
        assert!(sim.balancers[1].accepts_packets(sim.now_ms));
        sim.send_from_caller(1, request(number));
        assert!(!sim.was_reset(number), "known agent at rank {known_rank}");
        assert_eq!(sim.request_count(number), 1);
    }
}

// An agent that does not know the owner must not end the flow; once it does, the flow is served.
#[test]
fn an_agent_that_does_not_know_the_owner_does_not_end_the_search() {
    let mut sim = Simulation::new(2, AGENTS, 5, 20);
    let (number, order) = open_flow_with_owner_at(&mut sim, 1);
    let (first, owner) = (sim.agent_address(order[0]), sim.agent_address(order[1]));
    sim.lost_notices.insert((owner, first));
    sim.unlisted.insert((owner, first));
    sim.restart_agent(order[0]);
    sim.restart_balancer(1);
    sim.advance(600);
    sim.send_from_caller(1, request(number));
    assert!(!sim.was_reset(number));
    sim.lost_notices.clear();
    sim.unlisted.clear();
    sim.advance(600);
    sim.send_from_caller(1, request(number));
    assert_eq!(sim.request_count(number), 1);
}

// The same for an owner at the end of the order, which only agents asked before can know.
#[test]
fn an_agent_that_does_not_know_the_last_agent_does_not_end_the_search() {
    let mut sim = Simulation::new(2, AGENTS, 5, 20);
    let last = usize::from(AGENTS) - 1;
    let (number, order) = open_flow_with_owner_at(&mut sim, last);
    let (asker, owner) = (
        sim.agent_address(order[last - 1]),
        sim.agent_address(order[last]),
    );
    sim.lost_notices.insert((owner, asker));
    sim.unlisted.insert((owner, asker));
    (0..last).for_each(|rank| sim.restart_agent(order[rank]));
    sim.advance(600);
    let hop = HopMetadata {
        lookup: Lookup::Registered,
        entry_tag: tag("balancer-1"),
        ..HopMetadata::default()
    };
    sim.send_to_agent(order[0], request(number), hop);
    assert!(!sim.was_reset(number));
}

// An agent that knows the owner only from the store must await it for as long as it may be alive.
#[test]
fn an_owner_known_only_from_the_store_is_not_passed_over() {
    let mut sim = Simulation::new(2, AGENTS, 5, 20);
    let (number, order) = open_flow_with_owner_at(&mut sim, 1);
    let (first, owner) = (sim.agent_address(order[0]), sim.agent_address(order[1]));
    sim.lost_notices.insert((owner, first));
    sim.restart_agent(order[0]);
    sim.restart_balancer(1);
    sim.advance(1_000);
    sim.send_from_caller(1, request(number));
    assert!(!sim.was_reset(number), "one second after the start");
    sim.advance(3_000);
    sim.send_from_caller(1, request(number));
    assert!(!sim.was_reset(number), "four seconds after the start");
}
