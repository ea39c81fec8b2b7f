//! Numbers at the ends of their range, in heartbeats of targets and in notices of other instances:
//! they end no process, and new flows are served afterwards. Sums that exceed their type end a test
//! build; a release build would go on with a wrong figure.

mod simulation;

use bamboowind::{
    balancer::directory::AgentDirectory,
    flow::packet::PacketFormat,
    forward::{
        agent::target::Heartbeat,
        notices::{MemberList, Notice, Outbox},
        socket::MAX_DATAGRAM_LEN,
    },
    membership::instance::{Instance, InstanceRole, TargetLoad, TargetState},
    placement::{Candidate, cost_us},
    proto::{
        control::{AgentState, Announce},
        flow as wire,
    },
};
use proptest::prelude::*;
use prost::Message;
use rand::SeedableRng;
use simulation::{
    ACK, SERVICE, SYN, Simulation, caller, packet::PlatformPacket, schedule::share_of_cases, syn,
};

const BALANCERS: u8 = 2;
const AGENTS: u8 = 3;

fn any_u32() -> impl Strategy<Value = u32> {
    prop_oneof![
        Just(0),
        Just(1),
        Just(u32::MAX - 1),
        Just(u32::MAX),
        any::<u32>()
    ]
}

fn any_u64() -> impl Strategy<Value = u64> {
    prop_oneof![
        Just(0),
        Just(1),
        Just(u64::MAX - 1),
        Just(u64::MAX),
        any::<u64>()
    ]
}

/// Load of a target as another instance may send it.
fn any_load() -> impl Strategy<Value = wire::Load> {
    let numbers = (
        any_u32(),
        any_u32(),
        any_u32(),
        any_u32(),
        any_u32(),
        any_u32(),
    );
    let class = (any_u32(), any_u32(), any_u32(), any_u32());
    let class =
        class.prop_map(
            |(tag, latency_ms, first_packet_len, samples)| wire::ClassResponses {
                tag,
                latency_ms,
                first_packet_len,
                samples,
            },
        );
    let suspicion = (any::<bool>(), prop::collection::vec(class, 0..12));
    let load = (-1..7_i32, numbers, any::<bool>(), suspicion);
    load.prop_map(|(state, numbers, has_service, suspicion)| {
        let (is_suspect, class_responses) = suspicion;
        let (capacity, running, flows, service_time_us, cold_left_ms, cold_allowance) = numbers;
        wire::Load {
            state,
            service: if has_service { SERVICE } else { "" }.into(),
            capacity,
            running,
            flows,
            service_time_us,
            cold_left_ms,
            is_suspect,
            class_responses,
            cold_allowance,
        }
    })
}

fn any_heartbeat() -> impl Strategy<Value = Heartbeat> {
    let numbers = (any_u64(), any_u64(), any_u32(), any_u64());
    (numbers, any::<bool>()).prop_map(|(numbers, is_draining)| {
        let (started_at_unix_ms, sequence, capacity, cold_left_ms) = numbers;
        Heartbeat {
            id: "target-odd".into(),
            started_at_unix_ms,
            sequence,
            service: SERVICE.into(),
            is_draining,
            capacity,
            cold_left_ms,
        }
    })
}

/// A message that reaches a process.
#[derive(Clone, Debug)]
enum Input {
    /// Heartbeat of the target of an agent.
    Heartbeat(usize, Heartbeat),
    /// Load report that seems to come from an agent.
    Load(usize, wire::Load),
    /// Presence message that seems to come from an agent, with its load, route version, era,
    /// interval and time since the announcement of its exit.
    Presence(usize, wire::Load, (u64, u64), (u32, u32)),
    /// New flows, and time in milliseconds for them to be served.
    Flows(u16, u64),
}

fn any_input() -> impl Strategy<Value = Input> {
    let agent = 0..usize::from(AGENTS);
    prop_oneof![
        (agent.clone(), any_heartbeat()).prop_map(|(index, beat)| Input::Heartbeat(index, beat)),
        (agent.clone(), any_load()).prop_map(|(index, load)| Input::Load(index, load)),
        (
            agent,
            any_load(),
            (any_u64(), any_u64()),
            (any_u32(), any_u32())
        )
            .prop_map(|(index, load, versions, times)| Input::Presence(
                index, load, versions, times
            )),
        (1..8_u16, 10..100_u64).prop_map(|(flows, ms)| Input::Flows(flows, ms)),
    ]
}

/// Sends a notice to all processes but its sender, encoded and decoded.
fn send_to_all(sim: &mut Simulation, index: usize, body: wire::notice::Body) {
    let bytes = wire::Notice { body: Some(body) }.encode_to_vec();
    let Some(notice) = Notice::decode(&bytes) else {
        return;
    };
    let (from, now_ms) = (sim.agent_address(index), sim.now_ms);
    for core in &mut sim.balancers {
        core.handle_notice(from, notice.clone(), now_ms);
    }
    let agents = sim.agents.iter_mut().enumerate();
    for (_, agent) in agents.filter(|(other, _)| *other != index) {
        agent.core.handle_notice(from, notice.clone(), now_ms);
    }
}

fn apply(sim: &mut Simulation, input: Input, next_flow: &mut u16) {
    use wire::notice::Body;
    match input {
        Input::Heartbeat(index, heartbeat) => {
            let now_ms = sim.now_ms;
            sim.agents[index].core.handle_heartbeat(heartbeat, now_ms);
        }
        Input::Load(index, load) => send_to_all(sim, index, Body::Load(load)),
        Input::Presence(index, load, versions, times) => {
            let instance = sim.agents[index].core.peering.local_instance().to_message();
            let presence = wire::Presence {
                instance: Some(instance),
                is_leaving: times.1 % 2 == 1,
                route_version: versions.0,
                route_era: versions.1,
                load: Some(load),
                next_within_ms: times.0,
                leaving_for_ms: times.1,
                ..wire::Presence::default()
            };
            send_to_all(sim, index, Body::Presence(presence));
        }
        Input::Flows(count, ms) => {
            for _ in 0..count {
                let balancer = usize::from(*next_flow % u16::from(BALANCERS));
                sim.send_from_caller(balancer, syn(*next_flow, 0));
                *next_flow += 1;
            }
            sim.advance(ms);
        }
    }
}

proptest! {
    #![proptest_config(share_of_cases(2))]

    // A sum of figures that a neighbour or a target has sent exceeds its type.
    #[test]
    fn extreme_numbers_end_no_process_and_new_flows_are_served(
        inputs in prop::collection::vec(any_input(), 1..12),
    ) {
        let mut sim = Simulation::new(BALANCERS, AGENTS, 2, 20);
        let mut next_flow = 0;
        for input in inputs {
            apply(&mut sim, input, &mut next_flow);
        }
        // The incarnations that follow send plausible figures again.
        sim.advance(1_500);
        (0..usize::from(AGENTS)).for_each(|index| sim.restart_agent(index));
        (0..usize::from(BALANCERS)).for_each(|index| sim.restart_balancer(index));
        sim.advance(1_500);
        sim.send_from_caller(0, syn(next_flow, 0));
        sim.advance(500);
        let answered = sim.received_counts(SYN | ACK);
        prop_assert!(answered.contains_key(&caller(next_flow)));
    }

    #[test]
    fn the_cost_of_a_target_grows_with_its_requests(
        load in any_load(),
        placed in any_u32(),
        median_us in any::<u32>(),
    ) {
        let load = TargetLoad { state: TargetState::Ready, ..TargetLoad::from_message(&load) };
        let fewer = Candidate::new(&load, 0, false);
        let more = Candidate::new(&load, placed, false);
        let median_us = u64::from(median_us);
        prop_assert!(cost_us(&fewer, median_us) <= cost_us(&more, median_us));
    }

    #[test]
    fn random_packets_end_no_process(
        packets in prop::collection::vec(prop::collection::vec(any::<u8>(), 36), 1..20),
    ) {
        let mut sim = Simulation::new(BALANCERS, AGENTS, 2, 20);
        for mut bytes in packets {
            let data_len = u16::from_le_bytes([bytes[8], bytes[9]]) % 1_200;
            bytes[8..10].copy_from_slice(&data_len.to_le_bytes());
            bytes.resize(36 + usize::from(data_len), b'x');
            prop_assert!(PlatformPacket.decode(&bytes).is_some());
            let now_ms = sim.now_ms;
            for core in &mut sim.balancers {
                core.handle_caller_packet(&mut bytes.clone(), now_ms);
            }
            for agent in &mut sim.agents {
                agent.core.handle_inbound(&mut bytes.clone(), now_ms);
                agent.core.handle_outbound(&mut bytes.clone(), now_ms);
            }
            sim.advance(10);
        }
        sim.advance(500);
        sim.send_from_caller(0, syn(1, 0));
        sim.advance(500);
        prop_assert!(sim.received_counts(SYN | ACK).contains_key(&caller(1)));
    }

    // A list of instances that is longer than a datagram is cut off, and names nobody.
    #[test]
    fn a_list_of_instances_with_long_names_fits_into_datagrams(
        lengths in prop::collection::vec((1..256_usize, 0..256_usize), 1..40),
    ) {
        let instances: Vec<_> = lengths.iter().map(|(name_len, domain_len)| Instance {
            name: "n".repeat(*name_len).into(),
            incarnation: u64::MAX,
            role: InstanceRole::Agent,
            failure_domain: "d".repeat(*domain_len).into(),
            packet_address: "10.0.0.1:8000".parse().unwrap(),
            control_address: "10.0.0.1:7000".parse().unwrap(),
        }).collect();
        let mut outbox = Outbox::default();
        let list = MemberList {
            live: instances.iter().map(|instance| (instance.clone(), Some(u32::MAX))).collect(),
            awaited: instances.iter().map(|instance| (instance.clone(), u32::MAX)).collect(),
            history_ms: u32::MAX,
            list_id: u32::MAX,
            ..MemberList::default()
        };
        outbox.push_members("10.0.0.2:7000".parse().unwrap(), list);
        let (mut received, mut awaited) = (Vec::new(), Vec::new());
        for (_, notice) in outbox.drain() {
            let bytes = notice.encode();
            prop_assert!(bytes.len() <= MAX_DATAGRAM_LEN);
            if let Some(Notice::Members(members)) = Notice::decode(&bytes) {
                received.extend(members.live.into_iter().map(|(instance, _)| instance));
                awaited.extend(members.awaited.into_iter().map(|(instance, _)| instance));
            }
        }
        prop_assert_eq!(&received, &instances);
        prop_assert_eq!(awaited, instances);
    }

    #[test]
    fn random_notices_end_no_process(
        notices in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..300), 1..20),
    ) {
        let mut sim = Simulation::new(BALANCERS, AGENTS, 2, 20);
        for bytes in notices {
            if let Some(notice) = Notice::decode(&bytes) {
                let (from, now_ms) = (sim.agent_address(0), sim.now_ms);
                sim.balancers[0].handle_notice(from, notice.clone(), now_ms);
                sim.agents[1].core.handle_notice(from, notice, now_ms);
            }
        }
        sim.advance(500);
        sim.send_from_caller(0, syn(1, 0));
        sim.advance(500);
        prop_assert!(sim.received_counts(SYN | ACK).contains_key(&caller(1)));
    }
}

/// Announcement of an agent on the path with QUIC.
fn any_announce() -> impl Strategy<Value = Announce> {
    let counts = (any_u32(), any_u32(), any_u32(), any_u32(), any_u32());
    let times = (any_u64(), any_u64(), any_u64(), any_u64());
    (counts, times, 0..3_u32, any_u32()).prop_map(|(counts, times, service_number, permille)| {
        Announce {
            service_number,
            epoch_ms: times.0,
            sequence: times.1,
            state: AgentState::Accepting.into(),
            running: counts.0,
            queued: counts.1,
            slots: counts.2,
            connections: counts.3,
            connection_limit: counts.4,
            home_since_ms: times.2,
            home_until_ms: times.3,
            utilisation_permille: permille,
            ..Announce::default()
        }
    })
}

proptest! {
    // A balancer on the path with QUIC that adds up what an agent has announced.
    #[test]
    fn extreme_announcements_leave_another_agent_eligible(
        announces in prop::collection::vec(any_announce(), 1..20),
        seed in any::<u64>(),
    ) {
        let mut directory = AgentDirectory::new();
        let mut rng = rand::rngs::StdRng::seed_from_u64(seed);
        let sound = Announce {
            service_number: 1, epoch_ms: 1, sequence: 1, slots: 2, connection_limit: 100,
            state: AgentState::Accepting.into(),
            ..Announce::default()
        };
        directory.record_announce(5, "10.0.0.1:7000".parse().unwrap(), sound.clone());
        for (index, announce) in announces.into_iter().enumerate() {
            let port = 7_001 + u16::try_from(index).unwrap();
            let address = std::net::SocketAddrV4::new([10, 0, 0, 2].into(), port);
            directory.record_announce(5, address, announce.clone());
            directory.choose(6, 1, &mut rng);
            let siblings = directory.siblings(6, address, &announce);
            prop_assert!(siblings.len() <= index + 1);
        }
        prop_assert!(directory.eligible_count(6, 1) >= 1);
        prop_assert!(directory.choose(6, 1, &mut rng).is_some());
    }
}
