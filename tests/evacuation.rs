//! Tests of the evacuation of failure domains: no opening packet reaches a target of an evacuated
//! domain, on whatever way it gets to the agent, and open flows stay.

use bamboowind::{
    control::store::{Revision, StoreEra},
    flow::packet::{HopMetadata, PacketFormat},
    forward::{
        balancer::core::Verdict,
        decision::{Decision, Reason},
        evacuation::{EvacuationSource, Evacuations},
        notices::Notice,
    },
    membership::{
        evacuation_set::{EvacuationSet, EvacuationVersion},
        instance::Presence,
        rendezvous::tag,
    },
};

mod simulation;

use simulation::{ACK, RST, SERVICE, SYN, Simulation, packet::PlatformPacket, syn};

const DOMAINS: &[&str] = &["a", "b", "c"];

/// Three balancers and nine targets with two slots each in three failure domains.
fn simulation() -> Simulation {
    Simulation::new_in(DOMAINS, 3, 9, 2, 20)
}

fn hop(tried: u8) -> HopMetadata {
    HopMetadata {
        service_tag: tag(SERVICE),
        tried,
        priority: 1,
        target_latency_ms: 200,
        ..HopMetadata::default()
    }
}

fn set(era: u64, revision: u64, names: &[&str]) -> EvacuationSet {
    let version = EvacuationVersion::new(StoreEra(era), Revision(revision));
    EvacuationSet::new(names.iter().map(|name| (*name).into()).collect(), version)
}

/// Number of SYN+ACKs that callers have received.
fn accepted(sim: &Simulation) -> usize {
    sim.received_counts(SYN | ACK).values().sum()
}

/// Makes an agent unaware of all evacuations until it hears of them again, like one that was
/// partitioned, and lets it miss the notices of all other instances.
fn isolate_agent(sim: &mut Simulation, index: usize) {
    let to = sim.agent_address(index);
    let balancers = 0..sim.balancers.len();
    let balancers = balancers.map(|balancer| sim.balancer_address(balancer));
    let agents = (0..sim.agents.len()).map(|agent| sim.agent_address(agent));
    let senders: Vec<_> = balancers.chain(agents).collect();
    sim.lost_notices
        .extend(senders.into_iter().map(|from| (from, to)));
}

// The load: 100 new flows a second, three quarters of what the remaining targets can serve.
#[test]
fn under_load_no_syn_reaches_an_evacuated_domain_and_all_flows_are_accepted() {
    let mut sim = simulation();
    let mut number = 0;
    let mut open_for = |sim: &mut Simulation, ms: u64| {
        for _ in 0..ms / 10 {
            sim.send_from_caller(usize::from(number % 3), syn(number, 0));
            sim.advance(10);
            number += 1;
        }
        number
    };
    open_for(&mut sim, 1_000);
    assert!(sim.syns_in("b") > 0, "flows are placed in all domains");
    sim.set_evacuated(0, &["b"], 5);
    let before = sim.syns_in("b");
    open_for(&mut sim, 2_000);
    assert_eq!(sim.syns_in("b"), before);
    sim.set_evacuated(0, &["b", "c"], 6);
    sim.set_evacuated(1, &["c"], 7);
    let before = (sim.syns_in("b"), sim.syns_in("c"));
    let opened = open_for(&mut sim, 2_000);
    sim.advance(500);
    assert!(
        sim.syns_in("b") > before.0,
        "one domain is in service again"
    );
    assert_eq!(sim.syns_in("c"), before.1, "the other one stays evacuated");
    assert_eq!(accepted(&sim), usize::from(opened));
}

// The agent of the domain would redirect them, which costs the caller a hop, and may not know yet.
#[test]
fn balancers_place_neither_new_flows_nor_retransmissions_in_an_evacuated_domain() {
    let mut sim = simulation();
    let agents = sim
        .agents
        .iter()
        .map(|agent| agent.core.peering.local_instance());
    let in_b = agents.filter(|instance| &*instance.failure_domain == "b");
    let in_b: Vec<_> = in_b.map(|instance| instance.packet_address).collect();
    let is_placed_in_b = |sim: &mut Simulation, mut packet: Vec<u8>| {
        let now_ms = sim.now_ms;
        match sim.balancers[0].handle_caller_packet(&mut packet, now_ms) {
            Verdict::Send(address) => in_b.contains(&address),
            Verdict::Reset(..) | Verdict::Drop => panic!("two domains are in service"),
        }
    };
    let numbers = 0..60;
    let placed = numbers.filter(|number| is_placed_in_b(&mut sim, syn(*number, 0)));
    let placed: Vec<_> = placed.collect();
    assert!(!placed.is_empty());
    sim.set_evacuated(0, &["b"], 5);
    for number in placed {
        assert!(!is_placed_in_b(&mut sim, syn(number, 1)));
    }
    for number in 100..160 {
        assert!(!is_placed_in_b(&mut sim, syn(number, 0)));
    }
}

// A SYN that is taken from the queue for a free slot in the evacuated domain would lose its place.
#[test]
fn free_slots_of_an_evacuated_domain_do_not_count() {
    let mut sim = Simulation::new_in(&["a", "b"], 1, 4, 2, 20);
    sim.set_evacuated(0, &["b"], 5);
    let now_ms = sim.now_ms;
    // Agents 0 and 2 are in domain a. Their slots are in use.
    for index in [0, 2] {
        for number in 0..3 {
            let mut packet = syn(10 * u16::try_from(index).unwrap() + number, 0);
            PlatformPacket.write_hop_metadata(&mut packet, hop(1));
            let core = &mut sim.agents[index].core;
            core.handle_inbound(&mut packet, now_ms);
        }
    }
    sim.agents[2].core.tick(now_ms + 200);
    let load = sim.agents[2].core.load(now_ms);
    let from = sim.agent_address(2);
    let core = &mut sim.agents[0].core;
    core.handle_notice(from, Notice::Load(load), now_ms);
    core.dispatch_queued(now_ms);
    assert_eq!(core.take_dispatched().len(), 0, "the SYN stays queued");
}

// A sender that knows nothing of the evacuation: a partitioned balancer, an earlier build.
#[test]
fn the_agent_of_an_evacuated_domain_redirects_syns_of_uninformed_senders() {
    let mut sim = simulation();
    sim.set_evacuated(0, &["b"], 5);
    for number in 0..20 {
        // Agents 1, 4 and 7 are in domain b. A SYN that followed grants has visited many agents.
        for (first, copy, tried) in [(100, 0, 0), (200, 0, 3), (300, 1, 0), (400, 2, 2)] {
            sim.send_to_agent(1, syn(first + number, copy), hop(tried));
        }
        sim.advance(100);
    }
    assert_eq!(sim.syns_in("b"), 0);
    assert_eq!(accepted(&sim), 80);
}

// The SYN was queued before the evacuation, and a slot becomes free after it.
#[test]
fn a_queued_syn_leaves_the_evacuated_domain() {
    let mut sim = simulation();
    sim.grants_slots = false;
    for number in 0..40 {
        sim.send_to_agent(1, syn(number, 0), hop(3));
    }
    let before = sim.syns_in("b");
    assert!(before < 40, "some SYNs are queued");
    sim.set_evacuated(0, &["b"], 5);
    sim.advance(1_000);
    assert_eq!(sim.syns_in("b"), before);
    assert_eq!(accepted(&sim), 40);
}

// The sibling has asked for a slot before it heard of the evacuation.
#[test]
fn an_evacuated_domain_grants_no_slots_and_its_grants_are_not_used() {
    let mut sim = simulation();
    let (asking, asked) = (sim.agent_address(0), sim.agent_address(1));
    sim.set_evacuated(0, &["b"], 5);
    let now_ms = sim.now_ms;
    let core = &mut sim.agents[1].core;
    core.handle_notice(asking, Notice::SlotRequest, now_ms);
    core.grant_slots(now_ms);
    let grants = core
        .peering
        .outbox
        .drain()
        .filter(|(_, n)| *n == Notice::SlotGrant);
    assert_eq!(grants.count(), 0);
    let core = &mut sim.agents[0].core;
    for number in 0..3 {
        let mut packet = syn(number, 0);
        PlatformPacket.write_hop_metadata(&mut packet, hop(1));
        core.handle_inbound(&mut packet, now_ms);
    }
    core.handle_notice(asked, Notice::SlotGrant, now_ms);
    assert_eq!(core.take_dispatched().len(), 0, "the SYN stays queued");
}

// The target got the first copy before the evacuation; its response was lost.
#[test]
fn a_retransmitted_syn_is_not_sent_to_the_target_again() {
    let mut sim = simulation();
    sim.send_to_agent(1, syn(1, 0), hop(0));
    assert_eq!(sim.syns_in("b"), 1);
    sim.set_evacuated(0, &["b"], 5);
    sim.advance(200);
    sim.send_to_agent(1, syn(1, 1), hop(0));
    assert_eq!(sim.syns_in("b"), 1);
    assert_eq!(accepted(&sim), 2, "another target accepts the flow");
    assert!(!sim.was_reset(1));
}

// A delayed copy of the SYN of an open flow must neither open it elsewhere nor reset it.
#[test]
fn open_flows_of_an_evacuated_domain_continue() {
    for evacuated in [&["b"][..], DOMAINS] {
        let mut sim = simulation();
        let numbers: Vec<_> = (0..60)
            .filter(|number| sim.open_flow(0, *number) % 3 == 1)
            .collect();
        assert!(!numbers.is_empty());
        sim.advance(100);
        sim.set_evacuated(0, evacuated, 5);
        let before: usize = DOMAINS.iter().map(|domain| sim.syns_in(domain)).sum();
        for number in &numbers {
            sim.advance(50);
            for balancer in 0..3 {
                sim.send_from_caller(balancer, sim.request(*number));
            }
            let owner = sim
                .agents
                .iter()
                .position(|agent| agent.target.flows.contains(&simulation::flow(*number)));
            sim.send_to_agent(owner.unwrap(), syn(*number, 0), hop(0));
            sim.send_to_agent(owner.unwrap(), syn(*number, 1), hop(0));
            assert_eq!(sim.request_count(*number), 3);
            assert!(sim.is_open(*number) && !sim.was_reset(*number));
        }
        let after: usize = DOMAINS.iter().map(|domain| sim.syns_in(domain)).sum();
        assert_eq!(after, before, "copies reach no target");
    }
}

// The only domain with targets: callers learn at once that they have to go elsewhere.
#[test]
fn new_flows_are_refused_at_once_while_all_targets_are_evacuated() {
    let mut sim = Simulation::new_in(&["a"], 1, 2, 2, 20);
    sim.set_evacuated(0, &["a"], 5);
    sim.send_from_caller(0, syn(1, 0));
    sim.send_to_agent(0, syn(2, 0), hop(0));
    sim.send_to_agent(0, syn(3, 1), hop(0));
    assert_eq!(sim.syns_in("a"), 0);
    let resets = sim.received_counts(RST);
    assert_eq!(resets.len(), 2, "only first SYNs are answered with a reset");
    let now_ms = sim.now_ms;
    let core = &mut sim.balancers[0];
    core.handle_caller_packet(&mut syn(4, 0), now_ms);
    let reasons = core
        .peering
        .decisions
        .iter()
        .filter_map(|decision| match decision {
            Decision::Refused { reason, .. } => Some(*reason),
            _ => None,
        });
    assert_eq!(reasons.collect::<Vec<_>>(), [Reason::DomainEvacuated]);
}

#[test]
fn a_domain_without_targets_changes_nothing() {
    let mut sim = Simulation::new_in(&["a"], 1, 2, 2, 20);
    sim.set_evacuated(0, &["z"], 5);
    sim.send_from_caller(0, syn(1, 0));
    assert_eq!(accepted(&sim), 1);
}

// The process has just started and has heard nothing: the packets wait in its socket.
#[test]
fn a_started_process_reads_no_packets_before_it_knows_the_evacuations() {
    let mut sim = simulation();
    sim.set_evacuated(0, &["b"], 5);
    for index in 0..9 {
        isolate_agent(&mut sim, index);
    }
    sim.restart_agent(1);
    sim.advance(900);
    let core = &sim.agents[1].core;
    assert!(!core.accepts_packets(sim.now_ms));
    assert!(
        core.accepts_packets(sim.now_ms + 200),
        "nothing can be learned"
    );
    sim.lost_notices.clear();
    sim.advance(250);
    assert!(sim.agents[1].core.accepts_packets(sim.now_ms));
    sim.send_to_agent(1, syn(1, 0), hop(0));
    assert_eq!(sim.syns_in("b"), 0);
    sim.stored_evacuations = None;
    sim.restart_balancer(0);
    assert!(!sim.balancers[0].accepts_packets(sim.now_ms));
    sim.advance(250);
    assert!(sim.balancers[0].accepts_packets(sim.now_ms));
    assert!(
        sim.balancers[0]
            .peering
            .evacuations
            .is_evacuated("b", sim.now_ms)
    );
}

// The routes and a target are known, but only from instances that know no evacuations.
#[test]
fn a_started_balancer_that_can_place_flows_waits_for_the_evacuations() {
    let mut sim = simulation();
    sim.stored_evacuations = None;
    sim.restart_balancer(0);
    let now_ms = sim.now_ms;
    let agent = &sim.agents[0].core;
    let load = Some(agent.load(now_ms));
    let presence = agent.peering.presence(agent.route_version(), load, now_ms);
    let presence = Presence {
        evacuations: EvacuationSet::default(),
        ..presence
    };
    let from = sim.agent_address(0);
    let core = &mut sim.balancers[0];
    core.handle_notice(from, Notice::Presence(Box::new(presence), false), now_ms);
    assert!(!core.accepts_packets(now_ms + 100));
    assert!(
        core.accepts_packets(now_ms + 1_000),
        "nothing can be learned"
    );
}

// The notice of the change is lost, so the next presence message of any instance brings the news.
#[test]
fn a_process_whose_watch_is_silent_learns_from_any_other_instance() {
    let mut sim = simulation();
    let lost: Vec<_> = (0..9)
        .map(|i| (sim.balancer_address(0), sim.agent_address(i)))
        .collect();
    sim.lost_notices.extend(lost);
    sim.lost_notices
        .insert((sim.balancer_address(0), sim.balancer_address(1)));
    sim.set_evacuated(0, &["b"], 5);
    sim.advance(500);
    for agent in &sim.agents {
        assert!(agent.core.peering.evacuations.is_evacuated("b", sim.now_ms));
    }
    assert!(
        sim.balancers[1]
            .peering
            .evacuations
            .is_evacuated("b", sim.now_ms)
    );
}

// The notices that wait in the socket of a suspended process are as old as its suspension.
#[test]
fn an_agent_that_was_suspended_admits_no_syn_before_it_hears_current_news() {
    let mut sim = simulation();
    sim.freeze_agent(1);
    sim.advance(500);
    // The socket holds notices from before the evacuation and has no room for more.
    isolate_agent(&mut sim, 1);
    sim.set_evacuated(0, &["b"], 5);
    sim.advance(6_000);
    sim.send_to_agent(1, syn(1, 0), hop(0));
    sim.thaw_agent(1);
    let evacuations = &sim.agents[1].core.peering.evacuations;
    assert!(!evacuations.is_evacuated("b", sim.now_ms));
    sim.advance(100);
    assert_eq!(sim.syns_in("b"), 0);
    sim.lost_notices.clear();
    sim.advance(400);
    assert_eq!(sim.syns_in("b"), 0);
    assert_eq!(accepted(&sim), 1);
}

// A process that hears of nobody after a suspension serves its callers all the same.
#[test]
fn a_suspended_agent_waits_for_news_for_at_most_a_second() {
    let mut sim = simulation();
    sim.freeze_agent(1);
    sim.advance(500);
    isolate_agent(&mut sim, 1);
    sim.advance(6_000);
    sim.thaw_agent(1);
    sim.send_to_agent(1, syn(1, 0), hop(3));
    sim.advance(500);
    assert_eq!(sim.syns_in("b"), 0);
    sim.advance(510);
    assert_eq!(sim.syns_in("b"), 1);
}

// Between the restore and the operator's next write, the domain would get flows again.
#[test]
fn an_evacuation_that_a_restored_store_has_lost_holds_for_three_seconds() {
    let mut evacuations = Evacuations::new();
    assert!(evacuations.adopt(&set(1, 90, &["b"]), 0));
    assert!(!evacuations.adopt(&set(2, 40, &[]), 1_000));
    assert!(evacuations.is_evacuated("b", 3_999));
    assert!(
        !evacuations.adopt(&set(1, 95, &["b"]), 2_000),
        "an earlier era"
    );
    assert!(
        evacuations.adopt(&set(1, 95, &["c"]), 2_000),
        "news of the lost era"
    );
    assert!(!evacuations.tick(3_999));
    assert!(evacuations.tick(4_010));
    assert!(!evacuations.is_evacuated("b", 4_010));
    assert_eq!(evacuations.returned_at_ms("b"), Some(4_000));
    evacuations.adopt(&set(2, 41, &["b"]), 5_000);
    assert_eq!(evacuations.returned_at_ms("b"), None);
    assert!(!evacuations.tick(9_000) && evacuations.is_evacuated("b", 9_000));
}

#[test]
fn an_evacuation_that_is_written_again_after_a_restore_has_no_gap() {
    let mut evacuations = Evacuations::new();
    evacuations.adopt(&set(1, 90, &["b"]), 0);
    for now_ms in (0..6_000).step_by(100) {
        match now_ms {
            1_000 => _ = evacuations.adopt(&set(2, 40, &[]), now_ms),
            2_500 => _ = evacuations.adopt(&set(2, 41, &["b"]), now_ms),
            _ => {}
        }
        assert!(!evacuations.tick(now_ms));
        assert!(evacuations.is_evacuated("b", now_ms), "at {now_ms} ms");
    }
    assert_eq!(evacuations.returned_at_ms("b"), None);
}

// A message of an instance that was partitioned or that runs an earlier build.
#[test]
fn an_older_set_and_an_unknown_one_replace_nothing() {
    let mut evacuations = Evacuations::new();
    evacuations.adopt(&set(1, 90, &["b"]), 0);
    assert!(!evacuations.adopt(&set(1, 80, &[]), 10));
    assert!(!evacuations.adopt(&EvacuationSet::default(), 10));
    assert!(evacuations.is_evacuated("b", 10));
    assert!(evacuations.adopt(&set(1, 91, &["c"]), 20));
    assert_eq!(evacuations.returned_at_ms("b"), Some(20));
}

#[test]
fn presence_messages_carry_the_set() {
    let mut sim = simulation();
    sim.set_evacuated(0, &["c", "b"], 5);
    let now_ms = sim.now_ms;
    let version = sim.routes.version();
    let presence = sim.balancers[0].peering.presence(version, None, now_ms);
    let bytes = Notice::Presence(Box::new(presence), false).encode();
    let Some(Notice::Presence(decoded, _)) = Notice::decode(&bytes) else {
        panic!("a presence message");
    };
    assert_eq!(decoded.evacuations, set(1, 5, &["b", "c"]));
}

// The operator sees that what remains does not suffice before callers give up.
#[test]
fn a_growing_queue_outside_the_evacuated_domains_is_reported() {
    let mut sim = Simulation::new_in(&["a", "b"], 1, 2, 1, 1_000);
    sim.set_evacuated(0, &["b"], 5);
    let mut now_ms = sim.now_ms;
    let core = &mut sim.agents[0].core;
    for number in 0..150 {
        let mut packet = syn(number, 0);
        PlatformPacket.write_hop_metadata(&mut packet, hop(3));
        core.handle_inbound(&mut packet, now_ms);
        core.dispatch_queued(now_ms);
        now_ms += 10;
        core.tick(now_ms);
    }
    let decisions = core.peering.decisions.iter();
    let reports =
        decisions.filter(|decision| matches!(decision, Decision::RemainingTargetsFull { .. }));
    let reports = reports.count();
    assert!((1..=2).contains(&reports), "{reports} reports in 1.5 s");
}

#[test]
fn the_source_of_a_change_is_recorded() {
    let mut sim = simulation();
    let set = set(1, 5, &["b"]);
    let peering = &mut sim.agents[0].core.peering;
    let source = EvacuationSource::Instance("balancer-0".into());
    assert!(peering.adopt_evacuations(&set, source.clone(), 0));
    let expected = Decision::EvacuationsChanged {
        names: vec!["b".into()],
        version: set.version,
        source,
    };
    assert_eq!(peering.decisions.last(), Some(&expected));
}
