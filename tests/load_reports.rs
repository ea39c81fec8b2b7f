//! The load reports of an agent do not grow with the number of instances, and balancers that are
//! sent few of them still spread flows over all targets.

mod simulation;

use std::collections::HashSet;

use bamboowind::{forward::peering::choose_load_receivers, membership::instance::InstanceRole};
use simulation::Simulation;

/// Maximum number of instances that an agent reports its load to, as stated in docs/CAPACITY.md.
const MAX_RECEIVERS: usize = 40;

#[test]
fn the_receivers_of_an_agent_do_not_grow_with_the_deployment() {
    for (balancers, agents) in [(3, 8), (24, 48), (100, 63)] {
        let sim = Simulation::new(balancers, agents, 2, 20);
        let mut heard = HashSet::new();
        for agent in &sim.agents {
            let directory = &agent.core.peering.directory;
            let load = agent.core.load(sim.now_ms);
            let receivers = choose_load_receivers(directory, "a", &load, sim.now_ms);
            let others = usize::from(balancers) + usize::from(agents) - 1;
            assert!(receivers.len() <= MAX_RECEIVERS.min(others));
            let members = directory.members().iter();
            let chosen = members.filter(|m| receivers.contains(&m.instance.control_address));
            let chosen: Vec<_> = chosen.collect();
            assert_eq!(chosen.len(), receivers.len());
            let balancers = chosen
                .iter()
                .filter(|m| m.instance.role == InstanceRole::Balancer);
            heard.extend(balancers.map(|member| member.instance.name.to_string()));
        }
        assert_eq!(
            heard.len(),
            usize::from(balancers),
            "every balancer is sent reports"
        );
    }
}

#[test]
fn no_instance_is_suspected_for_being_sent_few_reports() {
    let mut sim = Simulation::new(40, 60, 2, 20);
    for _ in 0..30 {
        sim.advance(100);
        let now_ms = sim.now_ms;
        for core in &sim.balancers {
            let members = core.peering.directory.members().iter();
            let suspected = members.filter(|member| !member.is_alive(now_ms));
            let names: Vec<_> = suspected.map(|m| &*m.instance.name).collect();
            assert!(names.is_empty(), "at {now_ms} ms: {names:?}");
        }
    }
}

#[test]
fn flows_through_many_balancers_are_spread_over_all_targets() {
    let mut sim = Simulation::new(40, 60, 2, 20);
    let mut owners = HashSet::new();
    for number in 0..240 {
        owners.insert(sim.open_flow(usize::from(number % 40), number));
    }
    // With eight targets compared by each balancer, few targets get none of four flows each.
    assert!(
        owners.len() >= 54,
        "{} of 60 targets have flows",
        owners.len()
    );
}
