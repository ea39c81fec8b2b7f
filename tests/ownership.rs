//! Open flows find their target whatever happens to balancers and agents.

mod world;

use proptest::prelude::*;
use world::{World, request, syn};

#[test]
fn a_flow_survives_the_replacement_of_all_balancers() {
    let mut world = World::new(3, 5, 5, 20);
    for number in 0..50 {
        world.open(usize::from(number % 3), number);
    }
    (0..3).for_each(|index| world.restart_balancer(index));
    world.advance(100);
    for number in 0..50 {
        world.caller_sends(usize::from((number + 1) % 3), request(number));
    }
    world.advance(500);
    for number in 0..50 {
        assert_eq!(world.requests(number), 1, "flow {number}");
        assert!(!world.was_reset(number));
    }
}

#[test]
fn a_flow_is_found_when_every_process_has_restarted() {
    let mut world = World::new(2, 5, 5, 20);
    for number in 0..40 {
        world.open(0, number);
    }
    (0..2).for_each(|index| world.restart_balancer(index));
    (0..5).for_each(|index| world.restart_agent(index));
    world.advance(600);
    for number in 0..40 {
        world.caller_sends(1, request(number));
        assert_eq!(world.requests(number), 1, "flow {number}");
        assert!(!world.was_reset(number));
    }
}

#[test]
fn a_balancer_learns_the_owner_from_the_first_lookup() {
    let mut world = World::new(2, 5, 5, 20);
    let holder = world.open(0, 1);
    world.caller_sends(1, request(1));
    world.caller_sends(1, request(1));
    assert_eq!(world.agents[holder].target.requests.len(), 2);
    assert_eq!(world.balancers[1].flows(), 1);
}

#[test]
fn a_flow_of_an_agent_that_is_away_is_not_reset() {
    let mut world = World::new(2, 4, 5, 20);
    let holder = world.open(0, 1);
    world.agents[holder].is_up = false;
    world.restart_balancer(1);
    world.advance(3_000);
    world.caller_sends(1, request(1));
    assert!(!world.was_reset(1), "the holder may come back");
    world.restart_agent(holder);
    world.advance(600);
    world.caller_sends(1, request(1));
    assert_eq!(world.requests(1), 1);
}

#[test]
fn a_flow_that_every_target_denies_is_reset() {
    let mut world = World::new(2, 4, 5, 20);
    let holder = world.open(0, 1);
    world.restart_target(holder);
    world.restart_agent(holder);
    world.advance(5_000);
    world.restart_balancer(0);
    world.advance(300);
    world.caller_sends(0, request(1));
    assert!(
        world.was_reset(1),
        "its caller must not wait for its deadline"
    );
}

/// The same, when it is taken away before heartbeats are overdue: packets were not handed back.
#[test]
fn an_agent_whose_target_hands_nothing_back_is_not_waited_for() {
    let mut world = World::new(2, 2, 5, 20);
    let holder = world.open(0, 1);
    let empty = 1 - holder;
    world.restart_target(holder);
    world.restart_agent(holder);
    world.restart_agent(empty);
    world.agents[empty].target.is_silent = true;
    world.advance(300);
    for number in 50..60 {
        world.caller_sends(0, request(number));
    }
    world.advance(100);
    world.agents[empty].is_up = false;
    world.advance(1_500);
    world.caller_sends(1, request(1));
    assert!(
        world.was_reset(1),
        "no agent that may hold the flow is away"
    );
}

/// The same, when it is taken away at once: nothing is known of its target.
#[test]
fn an_agent_that_shows_itself_for_a_moment_is_awaited_for_three_seconds() {
    let mut world = World::new(2, 4, 5, 20);
    let holder = world.open(0, 1);
    let empty = (holder + 1) % 4;
    world.restart_target(holder);
    world.restart_agent(holder);
    world.restart_agent(empty);
    world.agents[empty].target.is_silent = true;
    world.advance(100);
    world.agents[empty].is_up = false;
    world.advance(2_500);
    world.restart_balancer(0);
    world.advance(100);
    world.caller_sends(0, request(1));
    assert!(!world.was_reset(1), "the agent may come back");
    world.advance(1_000);
    world.caller_sends(0, request(1));
    assert!(world.was_reset(1), "its caller must not wait longer");
}

/// After a loss of power an agent starts again beside a target that has left, and is taken away.
#[test]
fn an_agent_without_a_target_is_not_waited_for() {
    let mut world = World::new(2, 4, 5, 20);
    let holder = world.open(0, 1);
    let empty = (holder + 1) % 4;
    world.restart_agent(empty);
    world.agents[empty].target.is_silent = true;
    world.restart_target(holder);
    world.restart_agent(holder);
    world.advance(3_000);
    world.agents[empty].is_up = false;
    world.advance(1_500);
    world.restart_balancer(0);
    world.advance(300);
    world.caller_sends(0, request(1));
    assert!(
        world.was_reset(1),
        "no agent that may hold the flow is away"
    );
}

/// A world in which one target holds flows that no process remembers, `wait_ms` after the other
/// targets have left and all agents have started again; with the numbers of these flows.
fn with_targets_that_left(wait_ms: u64) -> (World, Vec<u16>) {
    let mut world = World::new(2, 6, 5, 20);
    let holders: Vec<usize> = (0..30).map(|number| world.open(0, number)).collect();
    let holder = holders[0];
    world.advance(100);
    world.restart_agent(holder);
    for index in (0..6).filter(|index| *index != holder) {
        world.agents[index].target.is_silent = true;
        world.restart_agent(index);
    }
    world.advance(wait_ms);
    (0..2).for_each(|index| world.restart_balancer(index));
    let held = (0..30).zip(&holders).filter(|(_, other)| **other == holder);
    (world, held.map(|(number, _)| number).collect())
}

/// The search for a flow goes on past agents whose targets have ended.
#[test]
fn a_search_passes_agents_whose_targets_have_ended() {
    let (mut world, held) = with_targets_that_left(1_500);
    world.advance(600);
    for number in held {
        world.caller_sends(1, request(number));
        assert_eq!(world.requests(number), 1, "flow {number}");
    }
}

/// The same past agents that do not know yet that their targets have ended.
#[test]
fn a_search_passes_agents_whose_targets_do_not_answer() {
    let (mut world, held) = with_targets_that_left(600);
    world.advance(100);
    for number in held {
        world.caller_sends(1, request(number));
        world.advance(150);
        assert_eq!(world.requests(number), 1, "flow {number}");
    }
}

#[test]
fn flows_of_a_restarted_target_are_reset_at_once() {
    let mut world = World::new(1, 3, 5, 20);
    let holder = world.open(0, 1);
    world.caller_sends(0, request(1));
    world.restart_target(holder);
    world.advance(600);
    assert!(world.was_reset(1));
}

#[test]
fn a_draining_target_keeps_its_flows_and_gets_no_new_ones() {
    let mut world = World::new(2, 3, 5, 20);
    let holder = world.open(0, 1);
    world.agents[holder].is_draining = true;
    world.advance(600);
    let syns = world.agents[holder].target.syns;
    for number in 100..160 {
        world.caller_sends(usize::from(number % 2), syn(number, 0));
        world.advance(10);
    }
    assert_eq!(world.agents[holder].target.syns, syns);
    world.caller_sends(1, request(1));
    assert_eq!(world.requests(1), 1);
}

#[test]
fn a_copy_of_a_syn_is_never_reset() {
    let mut world = World::new(1, 2, 5, 20);
    for agent in &mut world.agents {
        agent.is_draining = true;
    }
    world.advance(1_000);
    world.caller_sends(0, syn(1, 0));
    assert!(world.was_reset(1), "no target takes new flows");
    world.caller_sends(0, syn(2, 1));
    assert!(
        !world.was_reset(2),
        "an earlier copy may have opened the flow"
    );
}

#[test]
fn a_balancer_that_has_just_started_leaves_packets_in_the_buffer() {
    use bamboowind::forward::balancer::BalancerCore;
    let own = World::new(1, 1, 1, 1).balancers[0]
        .peering
        .local_instance()
        .clone();
    let mut core = BalancerCore::new(world::packet::PlatformPacket, own, Vec::new(), 0);
    assert!(
        !core.accepts_packets(10),
        "it knows neither routes nor targets"
    );
    core.set_routes(world::routes(1));
    assert!(!core.accepts_packets(20), "it knows no target");
    assert!(
        core.accepts_packets(1_000),
        "what cannot be served is refused"
    );
}

proptest! {
    /// Restarts of any balancers and agents, one at a time, in any order.
    #[test]
    fn flows_survive_any_sequence_of_restarts(
        restarts in prop::collection::vec((any::<bool>(), 0_usize..5), 1..8),
        flows in 1_u16..12,
    ) {
        let mut world = World::new(3, 5, 5, 20);
        for number in 0..flows {
            world.open(usize::from(number % 3), number);
        }
        for (is_balancer, index) in restarts {
            if is_balancer {
                world.restart_balancer(index % 3);
            } else {
                world.restart_agent(index);
            }
            world.advance(600);
            for number in 0..flows {
                let before = world.requests(number);
                world.caller_sends(usize::from(number + 1) % 3, request(number));
                prop_assert_eq!(world.requests(number), before + 1);
                prop_assert!(!world.was_reset(number));
            }
            world.advance(200);
        }
    }
}

/// Two balancers give copies of a SYN to two targets; the caller answers the first of them.
#[test]
fn a_flow_opens_at_the_target_that_the_caller_answers() {
    use world::{ACK, datagram, flow};
    let mut world = World::new(2, 30, 5, 20);
    for (index, agent) in world.agents.iter_mut().enumerate() {
        agent.target.sequence = 1_000_000 * u32::try_from(index).unwrap();
    }
    for number in 0..20 {
        let key = flow(number);
        world.caller_sends(0, syn(number, 0));
        let held = |world: &World| -> Vec<usize> {
            let agents = world.agents.iter().enumerate();
            let holding = agents.filter(|(_, agent)| agent.target.flows.contains(&key));
            holding.map(|(index, _)| index).collect()
        };
        let first = held(&world)[0];
        world.advance(200);
        world.caller_sends(1, syn(number, 1));
        let answered = world.agents[first].target.sequence + 1;
        let request = datagram(key.caller, key.service, ACK, 8, answered, 100);
        world.caller_sends(1, request.clone());
        let requests = |world: &World| world.agents[first].target.requests.len();
        let before = requests(&world);
        world.caller_sends(1, request);
        assert_eq!(
            requests(&world),
            before + 1,
            "flow {number}, held by {:?}",
            held(&world)
        );
    }
}
