//! Callers of flows whose targets are gone are told so, and no flow of a target that lives is reset for
//! it: what agents conclude from the connections that their own targets refuse.

mod simulation;

use std::{net::SocketAddrV4, time::Duration};

use bamboowind::{
    flow::packet::HopMetadata,
    forward::agent::{
        driver::{check_target, connection_result},
        target_check::{CheckResult, TargetChecks},
    },
    membership::{instance::TargetState, rendezvous::tag},
};
use proptest::prelude::*;
use simulation::{
    ACK, FIN, SERVICE, Simulation, caller, datagram, flow,
    schedule::{Event, check_schedule, events, fixed_cases},
    service_address, syn,
};
use tokio::net::{TcpSocket, TcpStream};

const AGENTS: u8 = 6;

/// Hop metadata of a SYN that a balancer has placed.
fn placed() -> HopMetadata {
    HopMetadata {
        service_tag: tag(SERVICE),
        entry_tag: tag("balancer-0"),
        ..HopMetadata::default()
    }
}

/// Sends a request and its retransmissions after 200 and 600 ms through balancer 1.
fn send_with_retransmissions(sim: &mut Simulation, number: u16) {
    for wait_ms in [200, 400, 10] {
        if sim.was_reset(number) {
            return;
        }
        sim.send_from_caller(1, sim.request(number));
        sim.advance(wait_ms);
    }
}

// After a loss of power, a machine without a target is removed. Searches must not wait for its agent
// while callers wait for their deadline.
#[test]
fn an_agent_that_left_beside_no_target_is_not_awaited() {
    for is_heard in [false, true] {
        for up_ms in [200, 1_300] {
            let mut sim = Simulation::new(2, AGENTS, 5, 20);
            let (number, order) = sim.open_flow_with_owner_at(2);
            let gone = order[5];
            sim.advance(500 - sim.now_ms % 500 - 10);
            sim.lose_power(gone);
            if is_heard {
                // The target of the machine ran for a moment.
                sim.restart_target(gone);
                sim.advance(30);
                sim.end_target(gone);
            }
            sim.advance(up_ms);
            sim.stop_agent(gone);
            sim.advance(1_100);
            assert!(!sim.agents[gone].is_up);
            sim.send_from_caller(1, sim.request(number));
            assert!(sim.was_reset(number), "heard {is_heard}, up for {up_ms} ms");
        }
    }
}

// An agent that has started beside no target must not keep searches incomplete until heartbeats are
// overdue.
#[test]
fn a_search_gets_past_a_started_agent_without_a_target() {
    let mut sim = Simulation::new(2, AGENTS, 5, 20);
    let (number, order) = sim.open_flow_with_owner_at(2);
    sim.advance(500 - sim.now_ms % 500 - 10);
    sim.lose_power(order[4]);
    sim.advance(100);
    send_with_retransmissions(&mut sim, number);
    assert!(sim.was_reset(number), "no target holds the flow");
}

// Agents notice the end of another one at different times. While they differ about one that held no
// flows, callers of lost flows would wait for their deadline.
#[test]
fn differing_views_of_an_agent_that_holds_no_flows_do_not_matter() {
    let mut sim = Simulation::new(2, AGENTS, 5, 20);
    let (number, order) = sim.open_flow_with_owner_at(2);
    let gone = order[5];
    sim.advance(500 - sim.now_ms % 500 - 10);
    sim.lose_power(gone);
    sim.advance(3_000);
    let address = |sim: &Simulation, index: usize| {
        let instance = sim.agents[index].core.peering.local_instance();
        instance.control_address
    };
    // One agent notices the end a second earlier than the others.
    let path = (address(&sim, gone), address(&sim, order[1]));
    sim.lost_notices.insert(path);
    sim.advance(1_000);
    assert!(sim.agents[gone].is_up);
    sim.send_from_caller(1, sim.request(number));
    assert!(sim.was_reset(number), "no target holds the flow");
}

// A target that is suspended while its agent restarts lives and holds its flows.
#[test]
fn a_flow_of_a_suspended_target_survives_the_restart_of_its_agent() {
    for result in [CheckResult::Accepted, CheckResult::TimedOut] {
        for wait_ms in [100, 1_200, 4_000] {
            let mut sim = Simulation::new(2, AGENTS, 5, 20);
            let (number, order) = sim.open_flow_with_owner_at(2);
            let owner = order[2];
            sim.agents[owner].target.is_silent = true;
            sim.agents[owner].check_result = Some(result);
            (0..usize::from(AGENTS)).for_each(|index| sim.restart_agent(index));
            sim.restart_balancer(1);
            sim.advance(wait_ms);
            send_with_retransmissions(&mut sim, number);
            assert!(!sim.was_reset(number), "{result:?}, {wait_ms} ms");
            // The agent is restarted once more, and its entry is the only trace of the flow.
            sim.leave_agent(owner);
            sim.advance(4_000);
            send_with_retransmissions(&mut sim, number);
            assert!(!sim.was_reset(number), "{result:?}, {wait_ms} ms, left");
        }
    }
}

// An agent that leaves while its target runs is awaited, however the target answers.
#[test]
fn an_accepted_or_late_connection_proves_nothing_at_the_exit() {
    for result in [
        CheckResult::Accepted,
        CheckResult::TimedOut,
        CheckResult::Failed,
    ] {
        let mut sim = Simulation::new(2, AGENTS, 5, 20);
        let (number, order) = sim.open_flow_with_owner_at(2);
        let owner = order[2];
        sim.agents[owner].check_result = Some(result);
        sim.stop_agent(owner);
        sim.advance(1_100);
        sim.restart_agent(order[0]);
        sim.restart_agent(order[1]);
        sim.restart_balancer(1);
        sim.advance(600);
        send_with_retransmissions(&mut sim, number);
        assert!(!sim.was_reset(number), "{result:?}");
    }
}

// The target starts right after a check was refused, and opens a flow through the agent.
#[test]
fn a_refused_check_does_not_hide_the_flow_of_a_target_that_starts_after_it() {
    for delay_ms in [0, 150] {
        let mut sim = Simulation::new(2, AGENTS, 5, 20);
        sim.end_target(0);
        sim.restart_agent(0);
        sim.agents[0].check_delay_ms = delay_ms;
        // The last refusal is still valid when the target sends its first heartbeat.
        sim.advance(1_500 - sim.now_ms % 500 - 10);
        sim.restart_target(0);
        sim.advance(20);
        let number = (0..200).find(|number| sim.flow_order(*number)[3] == 0);
        let number = number.expect("the agent is fourth in the order of some flow");
        sim.send_to_agent(0, syn(number, 0), placed());
        assert!(sim.agents[0].target.flows.contains(&flow(number)));
        sim.send_to_agent(0, sim.handshake_ack(number), HopMetadata::default());
        let load = sim.agents[0].core.load(sim.now_ms);
        assert_eq!((load.state, load.flows), (TargetState::Ready, 1));
        // The registrations are lost, and the flow is searched for.
        let order = sim.flow_order(number);
        sim.restart_agent(order[0]);
        sim.restart_agent(order[1]);
        sim.restart_balancer(1);
        sim.advance(20);
        send_with_retransmissions(&mut sim, number);
        assert!(!sim.was_reset(number), "{delay_ms} ms");
    }
}

// A SYN that is sent while the check at the exit is in progress may open a flow at a target that starts
// after it.
#[test]
fn a_flow_that_is_opened_during_the_check_at_the_exit_is_awaited() {
    let mut sim = Simulation::new(2, AGENTS, 5, 20);
    let agent = 0;
    sim.advance(500 - sim.now_ms % 500 + 20);
    sim.agents[agent].check_delay_ms = 50;
    sim.agents[agent].check_result = Some(CheckResult::Refused);
    sim.stop_agent(agent);
    sim.agents[agent].check_result = None;
    // By now another target runs at the address, of which the agent has not heard yet.
    sim.restart_target(agent);
    sim.send_to_agent(agent, syn(1, 0), placed());
    assert!(sim.agents[agent].target.flows.contains(&flow(1)));
    sim.send_to_agent(agent, sim.handshake_ack(1), HopMetadata::default());
    sim.advance(1_100);
    assert!(!sim.agents[agent].is_up);
    assert!(sim.agents[agent].core.stays_registered(sim.now_ms));
    assert!(!sim.was_reset(1), "the target holds the flow");
    sim.restart_balancer(1);
    sim.advance(10);
    send_with_retransmissions(&mut sim, 1);
    assert!(!sim.was_reset(1), "the target holds the flow");
}

// Once a leaving agent has announced that its target has ended, a target that starts gets no flow
// through it, which nobody would await.
#[test]
fn a_leaving_agent_opens_no_flow_after_it_has_announced_that_its_target_has_ended() {
    let mut sim = Simulation::new(2, AGENTS, 5, 20);
    let agent = 0;
    sim.end_target(agent);
    sim.stop_agent(agent);
    let load = sim.agents[agent].core.load(sim.now_ms);
    assert_eq!((load.state, load.flows), (TargetState::Absent, 0));
    sim.restart_target(agent);
    // A heartbeat of the new target arrives.
    sim.advance(600);
    sim.send_to_agent(agent, syn(1, 0), placed());
    assert!(!sim.agents[agent].target.flows.contains(&flow(1)));
    let mut others = sim.agents.iter().skip(1);
    assert!(others.any(|other| other.target.flows.contains(&flow(1))));
}

// The target ends after the agent was stopped.
#[test]
fn the_second_check_finds_a_target_that_ends_after_the_first() {
    let mut sim = Simulation::new(2, AGENTS, 5, 20);
    sim.stop_agent(0);
    assert!(sim.agents[0].core.stays_registered(sim.now_ms));
    sim.advance(300);
    sim.end_target(0);
    sim.advance(800);
    assert!(!sim.agents[0].is_up);
    assert!(!sim.agents[0].core.stays_registered(sim.now_ms));
}

// A target that does not listen with TCP refuses every connection, and holds flows nevertheless.
#[test]
fn flows_of_a_target_that_does_not_listen_survive_restarts_of_its_agent() {
    let mut sim = Simulation::new(2, AGENTS, 5, 20);
    for agent in &mut sim.agents {
        agent.check_result = Some(CheckResult::Refused);
    }
    (0..usize::from(AGENTS)).for_each(|index| sim.restart_agent(index));
    sim.advance(1_500);
    let (number, order) = sim.open_flow_with_owner_at(2);
    let owner = order[2];
    sim.stop_agent(owner);
    for index in &order[..2] {
        sim.restart_agent(*index);
    }
    sim.restart_balancer(1);
    sim.advance(1_100);
    send_with_retransmissions(&mut sim, number);
    assert!(!sim.was_reset(number), "while the agent is away");
    sim.restart_agent(owner);
    sim.advance(20);
    send_with_retransmissions(&mut sim, number);
    assert!(!sim.was_reset(number), "after its return");
}

// A target that does not listen refuses connections, and before its first heartbeat only bare
// acknowledgements may have been seen. Its earlier flows were returned to the agent.
#[test]
fn flows_that_were_returned_to_an_agent_keep_it_awaited_beside_a_target_that_does_not_listen() {
    for wait_ms in [10, 100, 1_200] {
        let mut sim = Simulation::new(2, AGENTS, 5, 20);
        for agent in &mut sim.agents {
            agent.check_result = Some(CheckResult::Refused);
        }
        (0..usize::from(AGENTS)).for_each(|index| sim.restart_agent(index));
        sim.advance(1_500);
        let (number, order) = sim.open_flow_with_owner_at(2);
        let owner = order[2];
        sim.agents[owner].target.is_silent = true;
        sim.restart_agent(owner);
        sim.advance(wait_ms);
        sim.stop_agent(owner);
        sim.advance(1_100);
        assert!(!sim.agents[owner].core.recovered_flows().is_empty());
        assert!(sim.agents[owner].core.stays_registered(sim.now_ms));
        for index in &order[..2] {
            sim.restart_agent(*index);
        }
        sim.restart_balancer(1);
        sim.advance(4_000);
        send_with_retransmissions(&mut sim, number);
        assert!(!sim.was_reset(number), "left after {wait_ms} ms");
    }
}

// A living target need not answer a bare acknowledgement or a FIN of an unknown flow, so only data that
// goes unanswered shows that there is no target.
#[test]
fn unanswered_packets_without_data_prove_nothing() {
    let mut sim = Simulation::new(1, 2, 5, 20);
    sim.agents[0].check_result = Some(CheckResult::Refused);
    sim.agents[0].target.is_silent = true;
    sim.restart_agent(0);
    for bytes in [sim.handshake_ack(1), fin(&sim, 1)] {
        sim.send_to_agent(0, bytes, HopMetadata::default());
    }
    sim.advance(150);
    let checks = |sim: &Simulation| sim.agents[0].core.target.checks.clone();
    assert!(!checks(&sim).shows_no_process(sim.now_ms));
    sim.send_to_agent(0, sim.request(1), HopMetadata::default());
    sim.advance(150);
    assert!(checks(&sim).shows_no_process(sim.now_ms));
}

// A target that does not listen may follow one that did at the same address, which tells nothing about it.
#[test]
fn an_accepted_connection_of_an_earlier_target_does_not_make_refusals_count() {
    let mut sim = Simulation::new(2, AGENTS, 5, 20);
    (0..usize::from(AGENTS)).for_each(|index| sim.restart_agent(index));
    sim.advance(1_500);
    (0..usize::from(AGENTS)).for_each(|index| {
        sim.restart_target(index);
        sim.agents[index].check_result = Some(CheckResult::Refused);
    });
    sim.advance(5_000);
    let (number, order) = sim.open_flow_with_owner_at(2);
    sim.stop_agent(order[2]);
    assert!(!sim.was_reset(number), "the target holds the flow");
    sim.advance(1_100);
    assert!(sim.agents[order[2]].core.stays_registered(sim.now_ms));
    assert!(!sim.was_reset(number), "the target holds the flow");
}

// The agent has seen one flow of a target that sends no heartbeats, and that flow has ended. The target may
// hold idle flows.
#[test]
fn an_agent_that_has_seen_only_packets_of_its_target_stays_registered() {
    let mut sim = Simulation::new(1, 2, 5, 20);
    sim.agents[0].target.is_silent = true;
    sim.agents[0].check_result = Some(CheckResult::Accepted);
    sim.restart_agent(0);
    for (flags, len) in [(ACK, 50), (FIN | ACK, 0)] {
        let bytes = datagram(service_address(), caller(1), flags, 1, 108, len);
        sim.send_from_target(0, bytes);
    }
    sim.advance(4_000);
    assert_eq!(sim.agents[0].core.flows(), 0);
    sim.stop_agent(0);
    sim.advance(1_100);
    assert!(sim.agents[0].core.stays_registered(sim.now_ms));
}

// The answer of a target may wait in the socket of an agent that was paused after it has sent a packet.
#[test]
fn a_paused_agent_does_not_judge_packets_whose_answers_it_has_not_read() {
    let mut sim = Simulation::new(1, 2, 5, 20);
    sim.agents[0].check_result = Some(CheckResult::Refused);
    sim.agents[0].target.is_silent = true;
    sim.restart_agent(0);
    sim.advance(20);
    sim.send_to_agent(0, sim.request(1), HopMetadata::default());
    sim.freeze_agent(0);
    sim.advance(150);
    let (core, now_ms) = (&mut sim.agents[0].core, sim.now_ms);
    assert!(!core.target.is_unreachable(now_ms), "before the tick");
    core.tick(now_ms);
    assert!(!core.target.is_unreachable(now_ms), "after the tick");
    sim.thaw_agent(0);
    sim.advance(150);
    assert!(sim.agents[0].core.target.is_unreachable(sim.now_ms));
}

// An agent that is stopped right after its start has heard no heartbeat yet, and no flow was returned to it.
#[test]
fn a_refusal_before_the_first_heartbeat_is_due_proves_nothing_at_the_exit() {
    let mut sim = Simulation::new(1, 2, 5, 20);
    sim.agents[0].check_result = Some(CheckResult::Refused);
    sim.restart_agent(0);
    sim.stop_agent(0);
    let load = sim.agents[0].core.load(sim.now_ms);
    assert_eq!(load.state, TargetState::Unknown);
    sim.advance(1_100);
    assert!(sim.agents[0].core.stays_registered(sim.now_ms));
}

// The callers of idle flows learn that the target has ended before they send the next request.
#[test]
fn idle_callers_are_told_at_the_exit_of_the_agent_that_their_target_has_ended() {
    let mut sim = Simulation::new(2, AGENTS, 5, 20);
    let owner = sim.open_flow(0, 1);
    let other = (2..200).find(|number| sim.open_flow(0, *number) != owner);
    let other = other.expect("not all flows have the same owner");
    sim.advance(600);
    sim.end_target(owner);
    sim.stop_agent(owner);
    assert!(sim.was_reset(1), "the target has ended");
    sim.advance(1_100);
    assert!(!sim.was_reset(other), "the other target lives");
}

/// Packet of a flow that carries a FIN and no data.
fn fin(sim: &Simulation, number: u16) -> Vec<u8> {
    let acknowledged = sim.acknowledgement(caller(number));
    let (from, to) = (caller(number), service_address());
    datagram(from, to, FIN | ACK, 8, acknowledged, 0)
}

// The address of a target that has ended answers data with resets and a FIN with a bare acknowledgement.
// Neither is a flow or a sign of life: such an agent must not be taken for ready, and must not be awaited
// once it has left.
#[test]
fn resets_and_acknowledgements_of_an_ended_target_are_no_signs_of_life() {
    let hop = HopMetadata::default;
    let mut sim = Simulation::new(2, AGENTS, 5, 20);
    let agent = 0;
    sim.lose_power(agent);
    sim.advance(20);
    for number in [1, 2] {
        for bytes in [fin(&sim, number), fin(&sim, number), sim.request(number)] {
            sim.send_to_agent(agent, bytes, hop());
            let load = sim.agents[agent].core.load(sim.now_ms);
            assert_eq!((load.state, load.flows), (TargetState::Unknown, 0));
        }
        // The probe with data precedes the FIN.
        sim.send_to_agent(agent, fin(&sim, number), hop());
    }
    sim.stop_agent(agent);
    // The second check follows after the first heartbeat was due.
    sim.advance(850);
    assert!(sim.agents[agent].is_up);
    let load = sim.agents[agent].core.load(sim.now_ms);
    assert_eq!((load.state, load.flows), (TargetState::Absent, 0));
    assert!(!sim.agents[agent].core.stays_registered(sim.now_ms));
}

// The agent of a target that was heard and has ended gets resets and bare acknowledgements of the flows
// that it knows. They must not hide that the target has ended.
#[test]
fn answers_on_open_flows_do_not_hide_that_the_target_has_ended() {
    for sends_fin in [false, true] {
        let mut sim = Simulation::new(2, AGENTS, 5, 20);
        let owner = sim.open_flow(0, 1);
        let other = (2..200).find(|number| sim.open_flow(0, *number) == owner);
        let other = other.expect("some flow has the same owner");
        sim.advance(500 - sim.now_ms % 500 + 20);
        sim.end_target(owner);
        sim.agents[owner].check_delay_ms = 20;
        sim.stop_agent(owner);
        let bytes = if sends_fin {
            fin(&sim, 1)
        } else {
            sim.request(1)
        };
        sim.send_to_agent(owner, bytes, HopMetadata::default());
        sim.advance(30);
        assert!(!sim.agents[owner].core.stays_registered(sim.now_ms));
        assert!(sim.was_reset(other), "sent a FIN: {sends_fin}");
    }
}

// A living target acknowledges data at once and may take long to respond. The first heartbeat comes later.
#[test]
fn a_bare_acknowledgement_of_data_shows_that_the_target_holds_the_flow() {
    let mut sim = Simulation::new(1, 2, 5, 20);
    sim.restart_agent(0);
    sim.agents[0].target.is_silent = true;
    sim.send_to_agent(0, sim.request(1), HopMetadata::default());
    let acknowledgement = datagram(service_address(), caller(1), ACK, 1, 108, 0);
    sim.send_from_target(0, acknowledgement);
    let load = sim.agents[0].core.load(sim.now_ms);
    assert_eq!((load.state, load.flows), (TargetState::Ready, 1));
}

proptest! {
    #![proptest_config(fixed_cases())]

    // Agents that start beside no target and leave again, targets that start and end, and checks that
    // are refused, accepted, late or time out do not reset an open flow.
    #[test]
    fn no_schedule_of_losses_of_power_resets_an_open_flow(
        agents in prop::sample::select(vec![2, 3, AGENTS]),
        schedule in events(&[
            |index, _| Event::LosePower(index),
            |index, _| Event::EndTarget(index),
            |index, _| Event::StopOrReturn(index),
            |index, _| Event::StopOrReturn(index),
            |index, _| Event::RestartAgent(index),
            Event::Check,
        ])
    ) {
        check_schedule((agents, 5, 20), &schedule)?;
    }
}

// A SYN that was sent while a check was in progress may have opened a flow whose target has not answered
// yet.
#[test]
fn a_refused_check_proves_nothing_after_a_syn() {
    for syn_at_ms in [999, 1_000, 1_001] {
        let mut checks = TargetChecks::default();
        checks.record_syn(syn_at_ms);
        checks.leave(1_000);
        let check = checks.next(false, 1_000).expect("due at the exit");
        checks.record_result(check, CheckResult::Refused);
        assert_eq!(checks.is_gone(), syn_at_ms < 1_000);
        checks.record_syn(1_002);
        assert!(!checks.is_gone());
    }
}

// A check costs the target a connection, so a target that is known to run is not checked.
#[test]
fn a_target_that_runs_is_checked_once_after_its_start_and_that_of_its_agent() {
    let mut sim = Simulation::new(1, 2, 5, 20);
    let checks = |sim: &Simulation| sim.agents[0].checks;
    assert_eq!(checks(&sim), 1);
    sim.restart_agent(0);
    sim.advance(30_000);
    assert_eq!(checks(&sim), 1);
    sim.restart_target(0);
    sim.advance(5_000);
    assert_eq!(checks(&sim), 2, "another process may not listen");
    sim.end_target(0);
    sim.restart_agent(0);
    sim.advance(30_000);
    assert_eq!(checks(&sim), 8, "every 200 ms for 1.5 s");
    sim.restart_target(0);
    sim.advance(30_000);
    assert_eq!(checks(&sim), 9, "once more when the target is heard");
    sim.stop_agent(0);
    sim.advance(1_100);
    assert_eq!(checks(&sim), 11, "twice before the exit");
}

// A target that accepts connections but stays silent gets them at growing intervals.
#[test]
fn a_silent_target_that_listens_is_checked_less_and_less_often() {
    let mut sim = Simulation::new(1, 2, 5, 20);
    sim.agents[0].target.is_silent = true;
    sim.agents[0].check_result = Some(CheckResult::Accepted);
    sim.restart_agent(0);
    let mut checks = vec![];
    for wait_ms in [900, 600, 28_500] {
        sim.advance(wait_ms);
        checks.push(sim.agents[0].checks);
    }
    assert_eq!(checks, [1, 2, 6], "at 0, 1, 3, 7, 15 and 23 s");
}

/// A listener on a free port, with its address.
fn listener(backlog: u32) -> (tokio::net::TcpListener, SocketAddrV4) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(backlog).unwrap();
    let std::net::SocketAddr::V4(address) = listener.local_addr().unwrap() else {
        unreachable!("an IPv4 socket");
    };
    (listener, address)
}

// The check itself, with real sockets: what it concludes, and that it closes its connection at once.
#[tokio::test]
async fn a_connection_is_accepted_closed_and_refused() {
    let (listener, address) = listener(16);
    assert_eq!(check_target(address).await, CheckResult::Accepted);
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut buffer = [0; 1];
    let read = tokio::io::AsyncReadExt::read(&mut stream, &mut buffer);
    let read = tokio::time::timeout(Duration::from_secs(1), read).await;
    assert_eq!(read.unwrap().unwrap(), 0, "the connection is closed");
    drop((listener, stream));
    assert_eq!(check_target(address).await, CheckResult::Refused);
}

// A connection to a port without a listener may be given that port as its own and be connected to itself,
// which must not count as accepted.
#[tokio::test]
async fn a_connection_to_itself_proves_nothing() {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = socket.local_addr().unwrap();
    let stream = socket.connect(address).await.unwrap();
    assert_eq!(connection_result(&stream), CheckResult::Failed);
}

// A suspended process answers no connection once its backlog is full, which must not count as refused.
#[tokio::test]
async fn a_connection_to_a_full_backlog_times_out() {
    let (_listener, address) = listener(1);
    let mut streams = Vec::new();
    let connect = || tokio::time::timeout(Duration::from_millis(100), TcpStream::connect(address));
    while let Ok(stream) = connect().await {
        streams.push(stream.unwrap());
    }
    assert_eq!(check_target(address).await, CheckResult::TimedOut);
}
