//! An agent does not reset an open flow that a live target holds, whatever it knows of the owner.

mod simulation;

use std::sync::Arc;

use bamboowind::{
    flow::{
        packet::{HopMetadata, Lookup},
        routes::{Backend, Class, Route, RouteTable},
    },
    forward::notices::{Notice, OwnerEvidence},
    membership::rendezvous::tag,
};
use simulation::{SERVICE, Simulation, flow, service_address, syn};

const AGENTS: u8 = 6;

// An agent that leaves is awaited even if, itself just restarted, it knows no flow of its target.
#[test]
fn an_idle_flow_survives_two_restarts_of_its_agent() {
    let mut sim = Simulation::new(2, AGENTS, 5, 20);
    let (number, order) = sim.open_flow_with_owner_at(2);
    let owner = order[2];
    sim.advance(100);
    sim.restart_agent(owner);
    sim.advance(1_500);
    sim.leave_agent(owner);
    for index in order.iter().filter(|index| **index != owner) {
        sim.restart_agent(*index);
    }
    sim.restart_balancer(1);
    sim.advance(600);
    assert!(sim.agents[owner].target.flows.contains(&flow(number)));
    sim.send_from_caller(1, sim.request(number));
    assert!(!sim.was_reset(number), "the target still serves");
}

// The same holds beside a draining target, where the other agents need not restart.
#[test]
fn an_idle_flow_of_a_draining_target_survives_two_restarts_of_its_agent() {
    let mut sim = Simulation::new(2, AGENTS, 5, 20);
    let (number, order) = sim.open_flow_with_owner_at(2);
    let owner = order[2];
    sim.agents[owner].is_draining = true;
    sim.advance(600);
    sim.restart_agent(owner);
    sim.agents[owner].is_draining = true;
    sim.advance(1_500);
    // The registry agents forget the flow, as after restarts of theirs.
    sim.restart_agent(order[0]);
    sim.restart_agent(order[1]);
    sim.advance(600);
    sim.leave_agent(owner);
    sim.restart_balancer(1);
    sim.advance(300);
    assert!(sim.agents[owner].target.flows.contains(&flow(number)));
    sim.send_from_caller(1, sim.request(number));
    assert!(!sim.was_reset(number), "the target still serves");
}

// An agent that needs seconds to start again still has a target that holds flows.
#[test]
fn a_flow_of_an_agent_that_is_away_for_long_is_not_reset() {
    let mut sim = Simulation::new(2, AGENTS, 5, 20);
    let (number, order) = sim.open_flow_with_owner_at(2);
    let owner = order[2];
    let owner_address = sim.agent_address(owner);
    for index in &order[..2] {
        sim.lost_notices
            .insert((owner_address, sim.agent_address(*index)));
        sim.restart_agent(*index);
    }
    sim.advance(600);
    sim.lost_notices.clear();
    sim.advance(400);
    sim.leave_agent(owner);
    for away_ms in (500..=8_000).step_by(500) {
        sim.advance(500);
        sim.restart_balancer(1);
        sim.advance(10);
        sim.send_from_caller(1, sim.request(number));
        assert!(sim.agents[owner].target.flows.contains(&flow(number)));
        assert!(!sim.was_reset(number), "away for {away_ms} ms");
    }
}

fn routes_to(service: &str, version: u64) -> Arc<RouteTable> {
    let route = Route {
        address: service_address(),
        backends: vec![Backend {
            service: service.into(),
            weight: 1,
        }],
        class: Class {
            target_latency_ms: 200,
            priority: 1,
        },
    };
    Arc::new(RouteTable::new(version, vec![route]))
}

// A configuration that sends new flows to another service leaves open flows where they are.
#[test]
fn a_flow_of_the_previous_service_of_a_route_is_not_reset() {
    let mut sim = Simulation::new(2, AGENTS, 5, 20);
    for index in 3..6 {
        sim.agents[index].service = "pedidos";
    }
    sim.advance(1_000);
    let owner = sim.open_flow(0, 1);
    assert!(owner < 3);
    sim.advance(100);
    for balancer in &mut sim.balancers {
        balancer.set_routes(routes_to("pedidos", 2));
    }
    sim.send_from_caller(0, sim.request(1));
    assert_eq!(
        sim.request_count(1),
        1,
        "through the balancer that knows the owner"
    );
    sim.send_from_caller(1, sim.request(1));
    assert!(sim.agents[owner].target.flows.contains(&flow(1)));
    assert!(!sim.was_reset(1), "through another balancer");
    assert_eq!(sim.request_count(1), 2);
}

// A balancer's entry names an agent whose target now belongs to another service.
#[test]
fn a_flow_that_a_balancer_assigns_to_another_service_is_not_reset() {
    let mut sim = Simulation::new(2, AGENTS, 5, 20);
    for index in 3..6 {
        sim.agents[index].service = "pedidos";
    }
    sim.advance(1_000);
    let owner = sim.open_flow(0, 1);
    assert!(owner < 3);
    let wrong = sim.agents[4].core.peering.local_instance().packet_address;
    let notice = Notice::FlowOwner {
        owner: wrong,
        flows: vec![flow(1)],
        evidence: OwnerEvidence::Registered,
    };
    let now_ms = sim.now_ms;
    sim.balancers[0].handle_notice(wrong, notice, now_ms);
    sim.send_from_caller(0, sim.request(1));
    assert!(sim.agents[owner].target.flows.contains(&flow(1)));
    assert!(!sim.was_reset(1), "the target holds the flow");
}

// The agents asked first know an agent that the later ones do not know, and the reverse.
#[test]
fn two_partial_views_that_differ_do_not_end_a_search() {
    let mut sim = Simulation::new(2, AGENTS, 5, 20);
    let (number, order) = sim.open_flow_with_owner_at(0);
    let hide = |sim: &mut Simulation, hidden: usize, from: &[usize]| {
        for rank in from {
            let pair = (
                sim.agent_address(order[hidden]),
                sim.agent_address(order[*rank]),
            );
            sim.lost_notices.insert(pair);
            sim.unlisted.insert(pair);
        }
    };
    // The agents at ranks 1 and 5 do not know the owner, and those in between do not know the agent
    // at rank 1, which takes them for their previous incarnations.
    hide(&mut sim, 0, &[1, 5]);
    sim.restart_agent(order[1]);
    sim.restart_agent(order[5]);
    sim.advance(800);
    hide(&mut sim, 1, &[2, 3, 4]);
    (2..5).for_each(|rank| sim.restart_agent(order[rank]));
    sim.advance(200);
    let hop = HopMetadata {
        lookup: Lookup::Redirected,
        entry_tag: tag("balancer-1"),
        ..HopMetadata::default()
    };
    sim.send_to_agent(order[5], sim.request(number), hop);
    assert!(sim.agents[order[0]].target.flows.contains(&flow(number)));
    assert!(!sim.was_reset(number), "the target holds the flow");
}

// A started agent that does not know its target's service yet, or expects another, holds flows.
#[test]
fn a_flow_beside_a_started_agent_that_expects_another_service_is_not_reset() {
    let mut sim = Simulation::new(2, AGENTS, 5, 20);
    let (number, order) = sim.open_flow_with_owner_at(2);
    sim.restart_agent(order[0]);
    sim.restart_agent(order[1]);
    sim.advance(2_000 - sim.now_ms % 500 + 20);
    sim.expected_service = "pedidos";
    sim.restart_agent(order[2]);
    // The registry agents restart as well, so that no registration is left.
    sim.expected_service = SERVICE;
    sim.restart_agent(order[0]);
    sim.restart_agent(order[1]);
    sim.restart_balancer(1);
    sim.advance(50);
    sim.send_from_caller(1, sim.request(number));
    assert!(sim.agents[order[2]].target.flows.contains(&flow(number)));
    assert!(!sim.was_reset(number), "the target holds the flow");
}

// The agent that a SYN was redirected to has not opened the flow if a copy of the SYN did elsewhere.
#[test]
fn the_denial_of_an_agent_that_a_syn_was_redirected_to_does_not_reset_the_flow() {
    let mut sim = Simulation::new(2, AGENTS, 5, 20);
    let (number, order) = sim.open_flow_with_owner_at(2);
    let (registry_agent, owner) = (order[0], order[2]);
    let path = (sim.agent_address(owner), sim.agent_address(registry_agent));
    sim.lost_notices.insert(path);
    sim.restart_agent(registry_agent);
    sim.agents[registry_agent].is_draining = true;
    sim.agents[owner].is_draining = true;
    sim.advance(600);
    let new_flow = HopMetadata {
        service_tag: tag(SERVICE),
        entry_tag: tag("balancer-0"),
        ..HopMetadata::default()
    };
    sim.send_to_agent(registry_agent, syn(number, 1), new_flow);
    let mut others = (0..usize::from(AGENTS)).filter(|index| *index != owner);
    assert!(others.any(|index| sim.agents[index].target.flows.contains(&flow(number))));
    let lookup = HopMetadata {
        lookup: Lookup::Registry,
        entry_tag: tag("balancer-0"),
        ..HopMetadata::default()
    };
    sim.send_to_agent(registry_agent, sim.request(number), lookup);
    assert!(sim.agents[owner].target.flows.contains(&flow(number)));
    assert!(!sim.was_reset(number), "the target holds the flow");
}

// The denial of the agent that has registered the flow is proof, whoever else is silent.
#[test]
fn a_flow_lost_at_its_registered_owner_is_reset_while_another_agent_is_away() {
    let mut sim = Simulation::new(2, AGENTS, 5, 20);
    let (number, order) = sim.open_flow_with_owner_at(2);
    let owner = order[2];
    sim.restart_target(owner);
    sim.restart_agent(owner);
    sim.leave_agent(order[5]);
    sim.advance(20);
    sim.restart_balancer(1);
    sim.advance(100);
    sim.send_from_caller(1, sim.request(number));
    sim.advance(100);
    assert!(sim.was_reset(number), "the target has lost the flow");
}

// An agent that stops before it could have heard of a target is beside none, as after a loss of power.
#[test]
fn an_agent_that_left_without_having_heard_of_a_target_withholds_resets_for_three_seconds() {
    let mut sim = Simulation::new(2, AGENTS, 5, 20);
    let (number, order) = sim.open_flow_with_owner_at(2);
    let gone = order[5];
    for index in 0..usize::from(AGENTS) {
        sim.restart_target(index);
        sim.restart_agent(index);
    }
    sim.agents[gone].target.is_silent = true;
    sim.advance(900);
    sim.leave_agent(gone);
    sim.advance(3_200);
    sim.restart_balancer(1);
    sim.advance(100);
    sim.send_from_caller(1, sim.request(number));
    assert!(sim.was_reset(number), "no target holds the flow");
}
