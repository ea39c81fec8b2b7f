//! A search is no proof while an agent that is away may be unknown: the store may have lost its
//! entry, so only instances that have been running for longer know of it.

mod simulation;

use std::net::SocketAddrV4;

use bamboowind::{
    control::store::{StoreEra, StoreReply},
    flow::routes::RouteVersion,
    forward::{
        history::{ANSWER_MS, History, HistoryGap, START_SPREAD_MS},
        notices::{MemberList, Notice},
        peering::Peering,
    },
    membership::{
        directory::Directory,
        evacuation_set::EvacuationSet,
        instance::{Instance, InstanceRole, Presence, TargetLoad, TargetState},
    },
};
use simulation::{Simulation, flow};

const BALANCERS: u8 = 2;
const AGENTS: u8 = 6;
const VERSION: RouteVersion = RouteVersion {
    number: 1,
    era: StoreEra(1),
};

/// Restarts all agents but one, with a pause after each.
fn restart_others(sim: &mut Simulation, index: usize, pause_ms: u64) {
    for other in (0..usize::from(AGENTS)).filter(|other| *other != index) {
        sim.restart_agent(other);
        sim.advance(pause_ms);
    }
}

/// Sends a request of a flow through each balancer, and checks that the flow is not reset.
fn assert_not_reset(sim: &mut Simulation, number: u16, owner: usize) {
    assert!(sim.agents[owner].target.flows.contains(&flow(number)));
    for balancer in 0..usize::from(BALANCERS) {
        sim.send_from_caller(balancer, sim.request(number));
    }
    assert!(!sim.was_reset(number), "the target holds the flow");
}

// Fails if a started agent takes the store's list for complete: the entry of an agent that is away
// was removed before.
#[test]
fn a_flow_of_an_agent_without_an_entry_is_not_reset_by_agents_that_start_in_its_absence() {
    let mut sim = Simulation::new(BALANCERS, AGENTS, 5, 20);
    let (number, order) = sim.open_flow_with_owner_at(2);
    let owner = order[2];
    sim.remove_entry(owner);
    sim.advance(4_200);
    sim.leave_agent(owner);
    restart_others(&mut sim, owner, 10);
    sim.restart_balancer(1);
    sim.advance(10);
    assert_not_reset(&mut sim, number, owner);
    for away_ms in (500..=8_000).step_by(500) {
        sim.advance(500);
        assert_not_reset(&mut sim, number, owner);
        assert!(!sim.was_reset(number), "away for {away_ms} ms");
    }
}

// Fails if the knowledge of an awaited agent ends with the processes that heard from it: each
// process restarts once while two agents are frozen and the store has lost their entries.
#[test]
fn a_flow_of_a_frozen_agent_is_not_reset_after_all_others_have_restarted_in_turn() {
    let mut sim = Simulation::new(BALANCERS, AGENTS, 5, 20);
    let (number, order) = sim.open_flow_with_owner_at(2);
    let owner = order[2];
    sim.advance(1_000);
    sim.freeze_agent(owner);
    sim.restore_store();
    sim.advance(500);
    restart_others(&mut sim, owner, 500);
    for balancer in 0..usize::from(BALANCERS) {
        sim.restart_balancer(balancer);
        sim.advance(500);
    }
    for _ in 0..8 {
        sim.advance(500);
        assert_not_reset(&mut sim, number, owner);
    }
}

// Fails if resets come later than without the comparison of histories, after a loss of all power:
// all processes start within a second of each other, and nobody has been running for long.
#[test]
fn a_lost_flow_is_reset_as_soon_as_all_processes_are_back_after_a_loss_of_power() {
    let mut sim = Simulation::new(BALANCERS, AGENTS, 5, 20);
    let (number, _) = sim.open_flow_with_owner_at(2);
    sim.advance(5_000);
    for index in 0..usize::from(AGENTS) {
        sim.restart_target(index);
    }
    for balancer in 0..usize::from(BALANCERS) {
        sim.restart_balancer(balancer);
    }
    for index in 0..usize::from(AGENTS) {
        sim.restart_agent(index);
    }
    // The last agent starts 900 ms after the first ones.
    sim.advance(900);
    sim.restart_agent(0);
    sim.advance(10);
    sim.send_from_caller(1, sim.request(number));
    sim.advance(40);
    assert!(sim.was_reset(number), "no target holds the flow");
}

// The same if all processes start in the same moment.
#[test]
fn a_lost_flow_is_reset_at_once_if_all_processes_start_together() {
    let mut sim = Simulation::new(BALANCERS, AGENTS, 5, 20);
    let (number, _) = sim.open_flow_with_owner_at(2);
    sim.advance(5_000);
    for index in 0..usize::from(AGENTS) {
        sim.restart_target(index);
    }
    for balancer in 0..usize::from(BALANCERS) {
        sim.restart_balancer(balancer);
    }
    for index in 0..usize::from(AGENTS) {
        sim.restart_agent(index);
    }
    sim.advance(20);
    sim.send_from_caller(1, sim.request(number));
    sim.advance(40);
    assert!(sim.was_reset(number), "no target holds the flow");
}

fn instance(name: &str, role: InstanceRole, host: u8) -> Instance {
    let address = |port| SocketAddrV4::new([10, 0, 0, host].into(), port);
    Instance {
        name: name.into(),
        incarnation: 1,
        role,
        failure_domain: "a".into(),
        packet_address: address(8_000),
        control_address: address(7_000),
    }
}

fn presence(instance: &Instance, history_ms: u32) -> Presence {
    let load = TargetLoad {
        state: TargetState::Ready,
        capacity: 5,
        ..TargetLoad::default()
    };
    Presence {
        instance: instance.clone(),
        leaving_for_ms: None,
        route_version: VERSION,
        load: (instance.role == InstanceRole::Agent).then_some(load),
        reaches_store: true,
        is_in_rotation: false,
        next_within_ms: 200,
        receiver_was_draining: false,
        evacuations: EvacuationSet::default(),
        limits_cold_targets: false,
        history_ms,
    }
}

fn peering(name: &str, host: u8, now_ms: u64) -> Peering {
    Peering::new(
        instance(name, InstanceRole::Agent, host),
        Vec::new(),
        now_ms,
    )
}

fn listing(instances: &[&Instance]) -> StoreReply<Vec<Instance>> {
    let instances = instances.iter().map(|instance| (*instance).clone());
    StoreReply::new(StoreEra(1), instances.collect())
}

/// Whether searches from this process await the agent `name`.
fn is_awaited(peering: &Peering, name: &str, now_ms: u64) -> bool {
    let view = peering.directory.search_view(7, u64::MAX, now_ms);
    view.awaited
        .is_some_and(|member| *member.instance.name == *name)
}

/// The lists that a process sends to one that asks for them, with their encoding.
fn lists(peering: &mut Peering, to: &Instance, now_ms: u64) -> Vec<MemberList> {
    peering.outbox.drain().for_each(drop);
    peering.handle_presence(presence(to, 1), true, VERSION, None, now_ms);
    let notices = peering.outbox.drain();
    let decoded = notices.filter_map(|(_, notice)| Notice::decode(&notice.encode()));
    decoded
        .filter_map(|notice| match notice {
            Notice::Members(list) => Some(list),
            _ => None,
        })
        .collect()
}

// Fails if an awaited agent is awaited anew by each process that is told of it: it would be awaited
// for as long as processes exchange lists.
#[test]
fn an_agent_that_lists_name_is_awaited_no_longer_than_where_it_was_heard() {
    let away = instance("away", InstanceRole::Agent, 9);
    let mut first = peering("first", 1, 0);
    first.handle_presence(presence(&away, 1), false, VERSION, None, 0);
    let mut now_ms = 5_000;
    let mut peerings = vec![first];
    for host in 2..8 {
        let mut next = peering(&format!("next-{host}"), host, now_ms);
        let to = next.local_instance().clone();
        let last = peerings.last_mut().unwrap();
        let from = last.local_instance().control_address;
        for list in lists(last, &to, now_ms) {
            next.handle_members(from, &list, VERSION, None, now_ms);
        }
        assert!(is_awaited(&next, "away", now_ms), "hop {host}");
        peerings.push(next);
        now_ms += 1_500;
    }
    assert!(
        peerings
            .iter()
            .all(|peering| is_awaited(peering, "away", 14_900))
    );
    assert!(
        !peerings
            .iter()
            .any(|peering| is_awaited(peering, "away", 15_100))
    );
}

// Fails if an awaited agent counts as alive where it is not heard: it would be sent load reports, or
// packets would be read before a live agent is known.
#[test]
fn an_agent_that_others_await_is_not_alive() {
    let away = instance("away", InstanceRole::Agent, 9);
    let mut directory = Directory::new("local".into());
    directory.await_agent(away.clone(), 10_000, 1_000);
    assert!(!directory.members()[0].is_alive(1_000));
    directory.handle_presence(presence(&away, 1), 1_100);
    assert!(directory.members()[0].is_alive(1_100));
}

// Fails if a part that is lost goes unnoticed: the agent that it names would be taken for absent.
#[test]
fn a_list_counts_only_with_all_its_parts() {
    let part = |list_id, part| MemberList {
        history_ms: 20_000,
        list_id,
        part,
        parts: 3,
        ..MemberList::default()
    };
    let [from, other] = [1, 2].map(|host| instance("", InstanceRole::Agent, host).control_address);
    let mut history = History::new(0);
    assert!(!history.record_part(from, &part(7, 0), 10));
    assert!(!history.record_part(from, &part(7, 0), 10), "a copy");
    assert!(!history.record_part(from, &part(7, 2), 10));
    assert!(
        !history.record_part(from, &part(8, 1), 10),
        "of another list"
    );
    assert!(
        !history.record_part(other, &part(7, 1), 10),
        "of another sender"
    );
    assert!(!history.record_part(from, &part(7, 3), 10), "out of range");
    assert!(history.record_part(from, &part(7, 1), 10));
    assert_eq!(history.history_ms(110), 20_100);
}

// Fails if lists of earlier builds, which do not say how many parts there are, prove anything.
#[test]
fn a_list_of_an_earlier_build_extends_no_history() {
    let mut history = History::new(0);
    assert!(!history.record_part(
        instance("", InstanceRole::Agent, 1).control_address,
        &MemberList::default(),
        10,
    ));
    assert_eq!(history.history_ms(110), 110);
}

/// The gap of an agent that has read this list of the store at time 0 and is answered by others.
fn gap(listed: &[&Instance], answers: &[(&Instance, u32)], now_ms: u64) -> Option<HistoryGap> {
    let mut peering = peering("local", 1, 0);
    peering.handle_listing(listing(listed), VERSION, None, 0);
    for (from, history_ms) in answers {
        peering.handle_presence(presence(from, *history_ms), false, VERSION, None, 0);
    }
    peering.history_gap(now_ms, now_ms)
}

// Fails if a started agent concludes something before the instances that were running could answer.
#[test]
fn a_started_agent_waits_for_answers_of_the_listed_instances() {
    let balancer = instance("balancer", InstanceRole::Balancer, 2);
    let agent = instance("agent", InstanceRole::Agent, 3);
    let missing = Some(HistoryGap::AnswersMissing);
    assert_eq!(gap(&[], &[], 10), missing, "nobody is known");
    assert_eq!(gap(&[&balancer], &[], 10), missing);
    assert_eq!(gap(&[&balancer], &[(&agent, 10)], 10), missing);
    assert_eq!(gap(&[&balancer], &[], ANSWER_MS), None, "nobody answers");
    let answers = [(&balancer, 10), (&agent, 10)];
    assert_eq!(gap(&[&balancer, &agent], &answers, 10), None);
    assert_eq!(gap(&[&agent], &answers[1..], 10), missing, "no balancer");
    let has_waited = [(&agent, u32::try_from(ANSWER_MS).unwrap())];
    assert_eq!(gap(&[&balancer], &has_waited, 10), None);
}

// Fails if a started agent concludes something while an instance that is heard knows more.
#[test]
fn a_started_agent_needs_the_list_of_an_instance_that_has_been_running_for_longer() {
    let balancer = instance("balancer", InstanceRole::Balancer, 2);
    let spread_ms = u32::try_from(START_SPREAD_MS).unwrap();
    let missing = Some(HistoryGap::ListMissing);
    assert_eq!(gap(&[&balancer], &[(&balancer, spread_ms + 1)], 0), missing);
    assert_eq!(gap(&[&balancer], &[(&balancer, spread_ms)], 0), None);
    assert_eq!(
        gap(&[&balancer], &[(&balancer, 0)], 0),
        None,
        "earlier build"
    );
}

// Fails if a started agent does not ask for the list at once, or asks with each message.
#[test]
fn the_list_of_an_instance_that_has_been_running_for_longer_is_requested_at_once() {
    let balancer = instance("balancer", InstanceRole::Balancer, 2);
    let mut peering = peering("local", 1, 0);
    let mut requests = |now_ms: u64| {
        peering.handle_presence(presence(&balancer, 20_000), false, VERSION, None, now_ms);
        let notices = peering.outbox.drain();
        notices
            .filter(|(_, notice)| matches!(notice, Notice::Presence(_, true)))
            .count()
    };
    assert_eq!([0, 10, 50, 110].map(&mut requests), [1, 0, 0, 1]);
}
