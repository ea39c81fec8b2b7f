//! How work waits, is refused and is placed, by the load patterns that the decisions answer.

mod world;

use bamboowind::{
    forward::syn_queue::{QueuedSyn, ServiceRate, SynQueue},
    membership::instance::TargetState,
    placement::{Candidate, cost_us},
};
use world::{ACK, SYN, World, datagram, flow, request, service_address, syn};

const PACE: ServiceRate = ServiceRate {
    capacity: 5,
    service_time_ms: 60,
};

fn waiting(number: u16, began_at_ms: u64, priority: u8) -> QueuedSyn {
    QueuedSyn {
        flow: flow(number),
        datagram: Vec::new(),
        queued_at_ms: began_at_ms,
        attempt_started_at_ms: began_at_ms,
        attempt_ends_at_ms: began_at_ms + 1_400,
        target_latency_ms: 200,
        priority,
    }
}

/// After an outage callers that are late already come together with new ones.
#[test]
fn syns_in_time_go_before_late_ones_and_urgent_ones_before_both() {
    let mut queue = SynQueue::new();
    for (number, began_at_ms, priority) in [
        (1, 0, 2),
        (2, 300, 2),
        (3, 980, 2),
        (4, 950, 2),
        (5, 100, 1),
    ] {
        assert!(
            queue
                .push(waiting(number, began_at_ms, priority), 1_000, PACE)
                .is_ok()
        );
    }
    let order: Vec<_> = std::iter::from_fn(|| queue.pop(1_000, PACE))
        .map(|syn| syn.flow)
        .collect();
    // Urgent first, then in time by due time, then the newest of the late.
    assert_eq!(order, [5, 4, 3, 2, 1].map(flow));
}

#[test]
fn a_syn_that_cannot_be_served_before_its_attempt_ends_is_given_back() {
    let mut queue = SynQueue::new();
    let mut accepted = 0;
    for number in 0..400 {
        accepted += usize::from(queue.push(waiting(number, 0, 2), 0, PACE).is_ok());
    }
    // 1.4 s at five slots of 60 ms.
    assert_eq!(accepted, 116);
}

#[test]
fn expired_syns_are_taken_out() {
    let mut queue = SynQueue::new();
    assert!(queue.push(waiting(1, 0, 2), 0, PACE).is_ok());
    assert!(queue.push(waiting(2, 500, 2), 500, PACE).is_ok());
    let expired: Vec<_> = queue.drain_expired(1_400).map(|syn| syn.flow).collect();
    assert_eq!(expired, [flow(1)]);
    assert_eq!(queue.len(), 1);
}

/// The callers of 1.6 s come at once to targets that can run 50 requests in 100 ms.
#[test]
fn after_an_outage_new_callers_are_served_in_time_while_the_backlog_is_worked_off() {
    let mut world = World::new(3, 7, 5, 70);
    for number in 0..400 {
        let copy = 1 + u32::from(number % 2);
        world.caller_sends(usize::from(number % 3), syn(number, copy));
    }
    let mut begun = Vec::new();
    let mut in_time = 0;
    for step in 0..100_u16 {
        for offset in 0..4 {
            let number = 1_000 + step * 4 + offset;
            world.caller_sends(usize::from(number % 3), syn(number, 0));
            begun.push((number, world.now_ms));
        }
        // Every caller that got a SYN+ACK sends its request.
        let opened: Vec<_> = world
            .received
            .iter()
            .filter(|(_, _, flags)| *flags == SYN | ACK)
            .map(|(at_ms, to, _)| (*at_ms, *to))
            .filter(|(at_ms, _)| world.now_ms - at_ms < 10)
            .collect();
        for (_, to) in opened {
            let bytes = datagram(to, service_address(), ACK, 8, 1, 100);
            world.caller_sends(0, bytes);
        }
        world.advance(10);
    }
    world.advance(500);
    for (number, began_at_ms) in &begun {
        let to = world::caller(*number);
        let mut received = world.received.iter();
        let answer = received.find(|(_, address, flags)| *address == to && *flags == ACK);
        in_time += usize::from(answer.is_some_and(|(at_ms, _, _)| at_ms - began_at_ms <= 200));
    }
    assert!(
        in_time * 10 >= begun.len() * 9,
        "{in_time} of {}",
        begun.len()
    );
}

/// A caller gives up after its SYN was answered: its slot must not stay idle for long.
#[test]
fn a_syn_whose_caller_does_not_answer_counts_for_a_moment_only() {
    let mut world = World::new(1, 1, 2, 20);
    for number in 0..3 {
        world.caller_sends(0, syn(number, 0));
    }
    assert_eq!(world.agents[0].core.load(world.now_ms).running, 3);
    world.advance(60);
    assert_eq!(world.agents[0].core.load(world.now_ms).running, 0);
    world.caller_sends(0, syn(9, 0));
    assert!(world.agents[0].target.flows.contains(&flow(9)));
}

/// A burst of one class at targets with few slots: flows go where slots are free.
#[test]
fn a_burst_spreads_over_all_targets() {
    let mut world = World::new(3, 7, 5, 40);
    for number in 0..28 {
        world.caller_sends(usize::from(number % 3), syn(number, 0));
        world.caller_sends(usize::from(number % 3), request(number));
        if number % 3 == 2 {
            world.advance(20);
        }
    }
    let most = world.agents.iter().map(|agent| agent.target.syns).max();
    assert!(most <= Some(7), "{most:?} of 28 flows on one of 7 targets");
}

/// A copy of a SYN that waits is not placed on a second target.
#[test]
fn a_copy_of_a_waiting_syn_stays_where_it_waits() {
    let mut world = World::new(1, 3, 1, 10_000);
    for number in 0..12 {
        world.caller_sends(0, syn(number, 0));
    }
    world.advance(200);
    let before: usize = world.agents.iter().map(|agent| agent.target.syns).sum();
    for number in 0..12 {
        world.caller_sends(0, syn(number, 1));
    }
    let flows: usize = world
        .agents
        .iter()
        .map(|agent| agent.target.flows.len())
        .sum();
    assert!(flows <= before.max(12));
    for number in 0..12 {
        let holders = world.agents.iter();
        let holders = holders.filter(|agent| agent.target.flows.contains(&flow(number)));
        assert!(holders.count() <= 1, "flow {number} was opened twice");
    }
}

#[test]
fn costs_rank_targets_by_the_expected_time_to_an_answer() {
    let free = Candidate {
        capacity: 5,
        running: 0,
        flows: 0,
        service_time_us: 40_000,
        is_cold: false,
        is_remote: false,
    };
    let cases = [
        ("free", free.clone()),
        (
            "free, other domain",
            Candidate {
                is_remote: true,
                ..free.clone()
            },
        ),
        (
            "three of five",
            Candidate {
                running: 3,
                ..free.clone()
            },
        ),
        (
            "cold",
            Candidate {
                is_cold: true,
                ..free.clone()
            },
        ),
        (
            "full",
            Candidate {
                running: 5,
                ..free.clone()
            },
        ),
        (
            "ten wait",
            Candidate {
                running: 15,
                ..free.clone()
            },
        ),
        (
            "slow by five",
            Candidate {
                service_time_us: 200_000,
                ..free
            },
        ),
    ];
    let costs: Vec<_> = cases
        .iter()
        .map(|(name, candidate)| format!("{name}: {} us", cost_us(candidate, 40_000)))
        .collect();
    insta::assert_snapshot!(costs.join("\n"));
}

/// All processes are killed while their targets live: new flows need not wait for heartbeats.
#[test]
fn a_target_that_sends_packets_takes_flows_before_its_next_heartbeat() {
    let mut world = World::new(1, 3, 5, 20);
    let holder = world.open(0, 1);
    world.advance(10);
    world.restart_balancer(0);
    (0..3).for_each(|index| world.restart_agent(index));
    world.advance(20);
    let state = |world: &World| world.agents[holder].core.load(world.now_ms).state;
    assert_eq!(state(&world), TargetState::Unknown);
    world.caller_sends(0, request(1));
    world.advance(50);
    assert_eq!(state(&world), TargetState::Ready);
    world.caller_sends(0, syn(2, 0));
    assert!(world.agents[holder].target.flows.contains(&flow(2)));
}
