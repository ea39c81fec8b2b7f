//! A cold target is sent no more SYNs in any second than its limit, whoever sends them, and at least
//! as many as it sustains while there is demand.

mod simulation;

use std::{collections::HashSet, sync::Arc};

use bamboowind::{
    control::store::{Revision, StoreEra},
    flow::{
        packet::{HopMetadata, PacketFormat},
        routes::{RouteTable, WarmUp},
    },
    forward::{
        agent::{
            target::Heartbeat,
            warmup::{ColdBounds, ColdTarget, SynWindow},
        },
        decision::{Decision, DecisionLog},
        notices::Notice,
    },
    membership::{
        evacuation_set::{EvacuationSet, EvacuationVersion},
        instance::{TargetLoad, TargetState},
        rendezvous::tag,
    },
    observe::{
        counters::{Counters, Event},
        log::discard_logger,
    },
    proto::flow as wire,
};
use proptest::prelude::*;
use prost::Message;
use simulation::{ACK, SERVICE, SYN, Simulation, caller, packet::PlatformPacket, routes, syn};

const WARMUP_MS: u64 = 6_000;
/// Requests that a cold target sustains, per thousand seconds.
const RATE: u64 = 20_000;
/// 20 requests per second, times 1.2, and 2 more.
const LIMIT: usize = 26;
const BOUNDS: ColdBounds = ColdBounds {
    over_permille: 1_200,
    slack_milli: 2_000,
};
/// Length of the sliding window that the platform checks.
const SECOND_MS: u64 = 1_000;

/// A simulation in which all agents know the rate of cold targets. All targets are warm.
fn simulation(balancers: u8, agents: u8, rate_per_1000_s: u64) -> Simulation {
    let mut sim = Simulation::new(balancers, agents, 2, 20);
    sim.warm_ups = vec![WarmUp::new(SERVICE, WARMUP_MS, rate_per_1000_s)];
    sim.cold_bounds = BOUNDS;
    (0..usize::from(agents)).for_each(|index| sim.restart_agent(index));
    sim.advance(3_000);
    sim
}

/// Makes the targets cold and waits until their agents know.
fn make_cold(sim: &mut Simulation, agents: impl Iterator<Item = usize>) {
    for index in agents {
        sim.agents[index].cold_until_ms = sim.now_ms + WARMUP_MS;
    }
    sim.advance(600);
}

/// Hop metadata of a sender that knows nothing of cold targets.
fn unaware_hop() -> HopMetadata {
    HopMetadata {
        service_tag: tag(SERVICE),
        target_latency_ms: 200,
        ..HopMetadata::default()
    }
}

/// Times of the SYNs that a target was sent.
fn arrivals(sim: &Simulation, index: usize) -> Vec<u64> {
    let of_target = sim.syn_arrivals.iter().filter(|(_, to)| *to == index);
    of_target.map(|(at_ms, _)| *at_ms).collect()
}

/// Largest number of these times in any second.
fn most_in_a_second(times: &[u64]) -> usize {
    let starts = times.iter().enumerate();
    let counts = starts.map(|(first, start_ms)| {
        let later = times[first..].iter();
        later
            .take_while(|at_ms| *at_ms - start_ms < SECOND_MS)
            .count()
    });
    counts.max().unwrap_or_default()
}

/// Sends the requests of the callers that have received a SYN+ACK in the last step.
fn send_requests(sim: &mut Simulation) {
    let received = sim.received.iter().rev();
    let recent = received.take_while(|(at_ms, _, _)| sim.now_ms - at_ms < sim.tick_ms);
    let opened: Vec<_> = recent
        .filter(|(_, _, flags)| *flags == SYN | ACK)
        .map(|(_, to, _)| *to)
        .collect();
    for to in opened {
        sim.send_from_caller(0, sim.request_from(to));
    }
}

/// Number of callers from `numbers` that have received a response.
fn answered(sim: &Simulation, numbers: std::ops::Range<u16>) -> usize {
    let received = sim.received.iter();
    let responses = received.filter(|(_, _, flags)| *flags == ACK);
    let callers: HashSet<_> = responses.map(|(_, to, _)| *to).collect();
    numbers
        .filter(|number| callers.contains(&caller(*number)))
        .count()
}

// Added targets attract all senders at once, which know nothing of the limit. Guards against SYNs
// that reach the target directly, from the queue, with a grant or as retransmissions.
#[test]
fn a_herd_of_unaware_senders_does_not_exceed_the_limit() {
    let mut sim = simulation(2, 6, RATE);
    make_cold(&mut sim, 0..1);
    let started_at_ms = sim.now_ms;
    let mut number = 0;
    for step in 0..400_u16 {
        for _ in 0..3 {
            sim.send_to_agent(0, syn(number, 0), unaware_hop());
            number += 1;
        }
        if step >= 20 {
            sim.send_to_agent(0, syn((step - 20) * 3, 1), unaware_hop());
            let granted = HopMetadata {
                tried: 1,
                ..unaware_hop()
            };
            sim.send_to_agent(0, syn(20_000 + step, 0), granted);
        }
        send_requests(&mut sim);
        sim.advance(10);
    }
    let times = arrivals(&sim, 0);
    let times: Vec<_> = times
        .into_iter()
        .filter(|at| *at >= started_at_ms)
        .collect();
    assert!(
        most_in_a_second(&times) <= LIMIT,
        "{}",
        most_in_a_second(&times)
    );
    // Sustained for four seconds.
    assert!(times.len() >= 75, "{} SYNs in 4 s", times.len());
    let answered = answered(&sim, 0..number);
    assert!(
        answered * 10 >= usize::from(number) * 9,
        "{answered} of {number} answered"
    );
}

// Retransmissions that are sent to the target again count, and so do the probes of a target that
// stays silent.
#[test]
fn retransmissions_and_probes_count() {
    for is_silent in [false, true] {
        let mut sim = simulation(1, 1, 3_000);
        make_cold(&mut sim, 0..1);
        sim.agents[0].target.is_silent = is_silent;
        for step in 0..120_u16 {
            sim.send_to_agent(0, syn(step % 4, u32::from(step / 4).min(2)), unaware_hop());
            sim.advance(20);
        }
        let times = arrivals(&sim, 0);
        // 3 times 1.2 and 2 more, rounded down.
        let most = most_in_a_second(&times);
        assert!(most <= 5, "{most}, silent: {is_silent}");
        assert!(times.len() >= 4);
    }
}

// The caller of a flow that cannot be served in time may try elsewhere at once. A retransmission is
// not answered with a reset, since an earlier copy may have opened the flow.
#[test]
fn a_first_syn_that_comes_too_early_for_the_cold_target_is_refused() {
    let mut sim = simulation(1, 1, 200);
    make_cold(&mut sim, 0..1);
    for number in 0..6 {
        sim.send_to_agent(0, syn(number, 0), unaware_hop());
        sim.send_to_agent(0, syn(100 + number, 1), unaware_hop());
    }
    // The second SYN is queued for a second; the next would be sent five seconds later.
    assert_eq!(arrivals(&sim, 0).len(), 1);
    assert!(!sim.was_reset(0));
    assert!((1..6).all(|number| sim.was_reset(number)));
    assert!((100..106).all(|number| !sim.was_reset(number)));
}

// The domain of three of nine targets returns to service while a burst of 2.5 times the usual rate
// of 70% utilization is on. Without the limit, placement prefers the idle targets.
#[test]
fn a_returned_domain_ramps_up_under_a_burst() {
    let mut sim = simulation(6, 9, RATE);
    for index in 0..3 {
        sim.agents[index].is_draining = true;
    }
    sim.advance(600);
    let returned_at_ms = sim.now_ms;
    for index in 0..3 {
        sim.agents[index].is_draining = false;
        let evacuations = &mut sim.agents[index].core.peering.evacuations;
        let known = evacuations.version();
        for (later, names) in [(1, vec!["a".into()]), (2, Vec::new())] {
            let revision = Revision(known.revision.0 + later);
            let version = EvacuationVersion::new(known.era, revision);
            evacuations.adopt(&EvacuationSet::new(names, version), returned_at_ms);
        }
    }
    // Six targets of two slots and 20 ms serve 600 requests per second: 4.2 of 6 per step are usual.
    let mut number = 0_u16;
    for step in 0..300_u16 {
        let flows = if step % 2 == 0 { 10 } else { 11 };
        for _ in 0..flows {
            sim.send_from_caller(usize::from(number % 6), syn(number, 0));
            number += 1;
        }
        send_requests(&mut sim);
        sim.advance(10);
    }
    for index in 0..3 {
        let times = arrivals(&sim, index);
        let times: Vec<_> = times
            .into_iter()
            .filter(|at| *at >= returned_at_ms)
            .collect();
        assert!(
            most_in_a_second(&times) <= LIMIT,
            "{}",
            most_in_a_second(&times)
        );
        // Three seconds less the time until the next heartbeat says that the target is ready.
        assert!(times.len() >= 45, "{} SYNs in 3 s", times.len());
    }
}

// The new process does not know what the earlier one has admitted in the last second.
#[test]
fn a_restarted_agent_does_not_admit_the_limit_again() {
    let mut sim = simulation(2, 4, RATE);
    make_cold(&mut sim, 0..1);
    let started_at_ms = sim.now_ms;
    for number in 0..300 {
        sim.send_to_agent(0, syn(number, 0), unaware_hop());
        send_requests(&mut sim);
        if number % 60 == 59 {
            sim.restart_agent(0);
        }
        sim.advance(10);
    }
    let times = arrivals(&sim, 0);
    let times: Vec<_> = times
        .into_iter()
        .filter(|at| *at >= started_at_ms)
        .collect();
    assert!(
        most_in_a_second(&times) <= LIMIT,
        "{}",
        most_in_a_second(&times)
    );
}

// Before the first heartbeat to a restarted agent, a target that sends packets counts as ready,
// although it may be cold.
#[test]
fn a_target_without_a_heartbeat_counts_as_cold() {
    let mut sim = simulation(1, 2, RATE);
    let owner = sim.open_flow(0, 1);
    sim.advance(10);
    sim.restart_agent(owner);
    sim.advance(20);
    sim.send_from_caller(0, sim.request(1));
    sim.advance(50);
    let load = |sim: &Simulation| sim.agents[owner].core.load(sim.now_ms);
    assert_eq!(load(&sim).state, TargetState::Ready);
    assert_eq!(load(&sim).cold_allowance, Some(0));
    // The heartbeat says that the target is warm.
    sim.advance(500);
    assert_eq!(load(&sim).cold_allowance, None);
}

// Without the routes an agent does not know the rate, and would send a cold target any number of SYNs.
#[test]
fn a_started_agent_reads_no_packets_before_it_has_the_routes() {
    let mut sim = Simulation::new(1, 2, 2, 20);
    let accepts = |sim: &Simulation| sim.agents[0].core.accepts_packets(sim.now_ms);
    // Routes without limits are not waited for.
    sim.restart_agent(0);
    sim.advance(300);
    assert!(accepts(&sim));
    let warm_up = WarmUp::new(SERVICE, WARMUP_MS, RATE);
    let routes = (*routes(2)).clone().with_warm_ups(vec![warm_up]);
    let routes = Arc::new(routes);
    sim.balancers[0].set_routes(Arc::clone(&routes));
    sim.restart_agent(0);
    sim.advance(300);
    assert!(!accepts(&sim));
    sim.agents[0].core.set_routes(&routes);
    assert!(accepts(&sim));
    // Without an answer it serves all the same.
    sim.restart_agent(0);
    sim.advance(500);
    assert!(accepts(&sim));
}

// Placement then works with old reports; the agent enforces the limit all the same.
#[test]
fn lost_load_reports_do_not_lift_the_limit() {
    let mut sim = simulation(4, 4, RATE);
    make_cold(&mut sim, 0..1);
    let started_at_ms = sim.now_ms;
    let from = sim.agent_address(0);
    for number in 0..600_u16 {
        // Presence messages come through at times, so that the agent is not suspected.
        for index in 0..4 {
            let pair = (from, sim.balancer_address(index));
            if number % 20 == 0 {
                sim.lost_notices.remove(&pair);
            } else {
                sim.lost_notices.insert(pair);
            }
        }
        sim.send_from_caller(usize::from(number % 4), syn(number, 0));
        send_requests(&mut sim);
        if number % 2 == 0 {
            sim.advance(10);
        }
    }
    let times = arrivals(&sim, 0);
    let times: Vec<_> = times
        .into_iter()
        .filter(|at| *at >= started_at_ms)
        .collect();
    assert!(!times.is_empty());
    assert!(
        most_in_a_second(&times) <= LIMIT,
        "{}",
        most_in_a_second(&times)
    );
}

// A balancer that counts what it has placed does not send the burst to the cold target at all.
#[test]
fn placement_stops_at_the_allowance() {
    let mut sim = simulation(1, 3, RATE);
    make_cold(&mut sim, 0..1);
    sim.advance(40);
    let allowance = sim.agents[0].core.load(sim.now_ms).cold_allowance;
    let allowance = usize::try_from(allowance.unwrap()).unwrap();
    for number in 0..60 {
        let mut bytes = syn(number, 0);
        sim.balancers[0].handle_caller_packet(&mut bytes, sim.now_ms);
    }
    let members = sim.balancers[0].peering.directory.members().iter();
    let placed = members.map(|member| (member.load.cold_allowance, member.placed_since_report));
    let placed: Vec<_> = placed
        .filter(|(allowance, _)| allowance.is_some())
        .collect();
    assert_eq!(placed.len(), 1);
    assert!(
        placed[0].1 as usize <= allowance,
        "{placed:?}, allowance {allowance}"
    );
}

// A sibling that requests a slot is granted none beyond the allowance.
#[test]
fn slot_grants_respect_the_allowance() {
    let mut sim = simulation(1, 2, 0);
    sim.warm_ups = vec![WarmUp::new(SERVICE, WARMUP_MS, 1)];
    sim.cold_bounds = ColdBounds {
        over_permille: 0,
        slack_milli: 0,
    };
    sim.restart_agent(0);
    make_cold(&mut sim, 0..1);
    let from = sim.agent_address(1);
    let now_ms = sim.now_ms;
    sim.agents[0]
        .core
        .handle_notice(from, Notice::SlotRequest, now_ms);
    sim.agents[0].core.grant_slots(sim.now_ms);
    let core = &mut sim.agents[0].core;
    let mut notices = core.peering.outbox.drain();
    assert!(!notices.any(|(_, notice)| matches!(notice, Notice::SlotGrant)));
}

// The remaining time counts down from the last heartbeat.
#[test]
fn the_limit_ends_without_further_heartbeats() {
    let mut sim = simulation(1, 2, RATE);
    make_cold(&mut sim, 0..1);
    sim.agents[0].target.is_silent = true;
    sim.advance(3_000);
    assert!(sim.agents[0].core.load(sim.now_ms).cold_allowance.is_some());
    sim.advance(3_000);
    assert_eq!(sim.agents[0].core.load(sim.now_ms).cold_allowance, None);
}

// Deployments without the figure are served as before, also beside cold targets.
#[test]
fn without_a_rate_nothing_changes() {
    let run = |warm_ups: Vec<WarmUp>| {
        let mut sim = Simulation::new(2, 4, 2, 20);
        sim.warm_ups = warm_ups;
        sim.cold_bounds = BOUNDS;
        (0..4).for_each(|index| sim.restart_agent(index));
        sim.advance(500);
        make_cold(&mut sim, 0..2);
        for number in 0..300_u16 {
            sim.send_from_caller(usize::from(number % 2), syn(number, 0));
            send_requests(&mut sim);
            if number % 3 == 0 {
                sim.advance(10);
            }
        }
        sim.advance(1_000);
        let loads = sim.agents.iter().map(|agent| agent.core.load(sim.now_ms));
        assert!(loads.into_iter().all(|load| load.cold_allowance.is_none()));
        (sim.syn_arrivals, sim.received)
    };
    let as_before = run(Vec::new());
    assert!(as_before.0.len() >= 300);
    assert_eq!(run(vec![WarmUp::new(SERVICE, WARMUP_MS, 0)]), as_before);
    // The figure of another service.
    assert_eq!(
        run(vec![WarmUp::new("sonoteca", WARMUP_MS, RATE)]),
        as_before
    );
}

// A flow that is late because of a cold target must lead from its log lines to that cause.
#[test]
fn the_limit_is_logged_and_counted() {
    let mut sim = simulation(1, 1, RATE);
    let now_ms = sim.now_ms;
    let core = &mut sim.agents[0].core;
    let heartbeat = Heartbeat {
        id: "target-0-1".into(),
        started_at_unix_ms: 1,
        sequence: 1_000,
        service: SERVICE.into(),
        is_draining: false,
        capacity: 50,
        cold_left_ms: 100,
    };
    core.handle_heartbeat(heartbeat, now_ms);
    for number in 0..10 {
        let mut bytes = syn(number, 0);
        PlatformPacket.write_hop_metadata(&mut bytes, unaware_hop());
        core.handle_inbound(&mut bytes, now_ms);
    }
    core.tick(now_ms + 150);
    let decisions = &mut core.peering.decisions;
    let is_cold = |decision: &&Decision| {
        matches!(decision, Decision::TargetCold { cold, sequence: 1_000, .. }
            if cold.limit as usize == LIMIT && cold.left_ms == Some(100))
    };
    assert_eq!(decisions.iter().filter(is_cold).count(), 1);
    let is_limited = |decision: &&Decision| {
        matches!(decision, Decision::Queued { cold: Some(window), .. }
            if window.admitted == 6 && window.limit as usize == LIMIT)
    };
    assert_eq!(decisions.iter().filter(is_limited).count(), 4);
    let counters = Counters::new();
    DecisionLog::new(discard_logger(), counters.clone()).record(decisions, now_ms);
    assert_eq!(counters.get(Event::FlowColdLimited), 4);
    // Cold, and warm again.
    assert_eq!(counters.get(Event::TargetWarmthChanged), 2);
}

// Messages of an earlier build lack the new fields.
#[test]
fn messages_carry_the_figures_and_decode_without_them() {
    let table = RouteTable::new(7, Vec::new())
        .with_era(StoreEra(2))
        .with_warm_ups(vec![WarmUp::new("b", 1, 2), WarmUp::new("a", 3, 4)]);
    let bytes = table.to_message().encode_to_vec();
    let decoded = RouteTable::from_message(wire::RouteTable::decode(&*bytes).unwrap());
    assert_eq!(decoded, table);
    let earlier = wire::RouteTable {
        services: Vec::new(),
        ..table.to_message()
    };
    assert_eq!(RouteTable::from_message(earlier).warm_up("a"), None);
    for cold_allowance in [None, Some(0), Some(5)] {
        let load = TargetLoad {
            cold_allowance,
            ..TargetLoad::default()
        };
        assert_eq!(TargetLoad::from_message(&load.to_message(true)), load);
    }
    assert_eq!(
        TargetLoad::from_message(&wire::Load::default()).cold_allowance,
        None
    );
}

fn any_cold() -> impl Strategy<Value = ColdTarget> {
    (0_u64..200_000, 0_u64..3_000, 0_u64..20_000).prop_map(|(rate, over_permille, slack_milli)| {
        let bounds = ColdBounds {
            over_permille,
            slack_milli,
        };
        let warm_up = WarmUp::new(SERVICE, WARMUP_MS, rate + 1);
        ColdTarget::new(&warm_up, bounds, None, None, 0).expect("cold before a heartbeat")
    })
}

proptest! {
    // Whatever the pattern of arrivals, the pauses and the warm phases between cold ones.
    #[test]
    fn no_second_exceeds_the_limit(
        cold in any_cold(),
        steps in prop::collection::vec((0_u64..400, 0_u32..60, any::<bool>()), 1..200),
    ) {
        let mut window = SynWindow::new(0);
        let mut now_ms = 0;
        let mut times = Vec::new();
        for (pause_ms, syns, _) in steps {
            now_ms += pause_ms;
            for _ in 0..syns {
                if window.allowance(cold, now_ms) > 0 {
                    window.record(Some(cold), now_ms);
                    times.push(now_ms);
                }
            }
        }
        prop_assert!(most_in_a_second(&times) <= cold.limit as usize);
        prop_assert!(times.first().is_none_or(|first| *first >= SECOND_MS));
    }

    // Steady demand is admitted at the sustainable rate and evenly, and `wait_ms` tells when.
    #[test]
    fn steady_demand_is_admitted_at_the_sustainable_rate(rate in 1_000_u64..100_000) {
        let warm_up = WarmUp::new(SERVICE, WARMUP_MS, rate);
        let cold = ColdTarget::new(&warm_up, BOUNDS, Some(WARMUP_MS), None, 0).expect("cold");
        let mut window = SynWindow::new(0);
        let mut times = Vec::new();
        for now_ms in 1_100..21_100 {
            let allowance = window.allowance(cold, now_ms);
            prop_assert_eq!(allowance > 0, window.wait_ms(cold, 1, now_ms) == 0);
            if allowance > 0 {
                window.record(Some(cold), now_ms);
                times.push(now_ms);
            }
        }
        let expected = usize::try_from(rate * 20 / 1_000).expect("few");
        prop_assert!(times.len() >= expected - 1, "{} of {}", times.len(), expected);
        let steady = &times[times.len() / 2..];
        let longest_ms = steady.windows(2).map(|pair| pair[1] - pair[0]).max();
        prop_assert!(longest_ms <= Some(1_000_000 / rate + 2));
    }
}
