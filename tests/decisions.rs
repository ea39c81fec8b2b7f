//! Property tests of the decision logic that does no I/O: admission, ownership of idempotency keys,
//! the agent directory and the policy.

use std::{net::SocketAddrV4, sync::Arc};

use bamboowind::{
    agent::{
        admission::{
            Admission, AdmissionLimits, AdmissionRequest, FinishedRequest, QueueDecision, Verdict,
        },
        load::Utilisation,
        members::{JOIN_DELAY_MS, KeyOwner, MemberReport, Members},
        outcomes::{Claim, ClaimStatus, Outcomes},
    },
    balancer::directory::AgentDirectory,
    control::{policy, shared_policy::SharedPolicy},
    proto::{
        control::{AgentState, Announce},
        policy::{ChangeRequest, Exception, Limits, Policy},
    },
};
use proptest::prelude::*;
use rand::{SeedableRng, rngs::StdRng};

const CLASSES: [(&str, u32); 3] = [("bulk", 1), ("normal", 2), ("urgent", 4)];

fn admission(slots: u32, queue_length: u32) -> Admission {
    Admission::new(AdmissionLimits {
        slots,
        long_streams: 3,
        queue_length,
        queue_timeout_ms: 500,
        classes: CLASSES
            .iter()
            .map(|&(name, weight)| (Arc::from(name), weight))
            .collect(),
    })
}

fn admission_request(id: u64, class: &str, caller: u8) -> AdmissionRequest {
    AdmissionRequest {
        id,
        class: class.into(),
        caller: [10, 9, 0, caller].into(),
        start_by_ms: None,
        long_stream: false,
    }
}

fn finished_request(class: &str, service_us: u64) -> FinishedRequest {
    FinishedRequest {
        class: class.into(),
        service_us,
        long_stream: false,
    }
}

/// One step of a random sequence of admission events.
#[derive(Clone, Debug)]
enum Step {
    Arrive { class: usize, caller: u8 },
    Finish,
    Cancel,
    Wait { ms: u64 },
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..3_usize, any::<u8>()).prop_map(|(class, caller)| Step::Arrive { class, caller }),
        3 => Just(Step::Finish),
        1 => Just(Step::Cancel),
        1 => (1..200_u64).prop_map(|ms| Step::Wait { ms }),
    ]
}

proptest! {
    #[test]
    fn every_request_starts_once_or_is_refused_once(
        steps in prop::collection::vec(any_step(), 1..300),
        slots in 1..6_u32,
    ) {
        let mut admission = admission(slots, 8);
        let (mut now_ms, mut running, mut waiting) = (0, Vec::new(), Vec::new());
        for (id, step) in (1_u64..).zip(steps) {
            match step {
                Step::Arrive { class, caller } => {
                    let class = CLASSES[class].0;
                    match admission.submit(now_ms, &admission_request(id, class, caller), 0) {
                        Verdict::Run => running.push((id, class)),
                        Verdict::Wait => waiting.push((id, class)),
                        Verdict::Refuse(refusal) => prop_assert!(refusal.retry_after_ms > 0),
                    }
                }
                Step::Finish => {
                    if let Some((_, class)) = running.pop() {
                        admission.finish(&finished_request(class, 20_000));
                    }
                }
                Step::Cancel => {
                    if let Some((id, _)) = waiting.pop() {
                        admission.cancel(id);
                    }
                }
                Step::Wait { ms } => now_ms += ms,
            }
            while let Some(decision) = admission.next_queue_decision(now_ms) {
                let (QueueDecision::Start(id) | QueueDecision::Refuse(id, _)) = decision;
                let index = waiting.iter().position(|&(other, _)| other == id);
                let entry = waiting.remove(index.expect("a decision on a waiting request"));
                if matches!(decision, QueueDecision::Start(_)) {
                    running.push(entry);
                }
            }
            prop_assert!(running.len() <= slots as usize);
            prop_assert_eq!(admission.running() as usize, running.len());
            prop_assert_eq!(admission.waiting() as usize, waiting.len());
            prop_assert!(
                waiting.is_empty() || running.len() == slots as usize,
                "a slot is idle while requests wait"
            );
        }
    }

    #[test]
    fn a_key_runs_at_most_once_until_it_is_settled_as_not_run(
        claims in prop::collection::vec((0..3_u8, any::<u64>(), any::<bool>()), 1..200),
    ) {
        let mut outcomes = Outcomes::new();
        let mut running_claims: [Option<u64>; 3] = [None; 3];
        for (key, claim_id, is_settlement) in claims {
            let key_text = format!("key-{key}");
            let running_claim = &mut running_claims[usize::from(key)];
            let claim = Claim { created_at_ms: 0, fingerprint: 1, claim_id };
            if is_settlement {
                outcomes.settle(&key_text, claim_id, None);
                if *running_claim == Some(claim_id) {
                    *running_claim = None;
                }
            } else if outcomes.try_claim(&key_text, claim) == ClaimStatus::Granted {
                prop_assert!(running_claim.is_none(), "{} was granted twice", key_text);
                *running_claim = Some(claim_id);
            }
        }
    }

    #[test]
    fn only_the_latest_announcement_of_an_agent_is_kept(
        announcements in prop::collection::vec((0..3_u64, 0..50_u64, 1..3_u32), 1..100),
    ) {
        let mut directory = AgentDirectory::new();
        let address = SocketAddrV4::new([10, 0, 0, 1].into(), 7000);
        let mut latest = (0, 0, 0);
        for (epoch_ms, sequence, service_number) in announcements {
            let announce = Announce {
                service_number,
                epoch_ms,
                sequence,
                state: AgentState::Accepting.into(),
                ..Announce::default()
            };
            directory.record_announce(0, address, announce);
            if latest.2 == 0 || (epoch_ms, sequence) > (latest.0, latest.1) {
                latest = (epoch_ms, sequence, service_number);
            }
            let entry = &directory.entries()[0].announce;
            prop_assert_eq!(directory.entries().len(), 1);
            prop_assert_eq!((entry.epoch_ms, entry.sequence, entry.service_number), latest);
        }
    }

    #[test]
    fn a_new_flow_goes_only_to_accepting_agents_of_its_service(
        agents in prop::collection::vec((1..4_u16, 0..5_i32, 0..3_u32), 1..20),
        service in 1..4_u16,
        seed in any::<u64>(),
    ) {
        let mut directory = AgentDirectory::new();
        for (index, (service, state, connections)) in (1_u8..).zip(&agents) {
            let announce = Announce {
                service_number: u32::from(*service),
                epoch_ms: 1,
                sequence: 1,
                state: *state,
                slots: 5,
                connections: *connections,
                connection_limit: 2,
                ..Announce::default()
            };
            directory.record_announce(0, SocketAddrV4::new([10, 0, 0, index].into(), 7000), announce);
        }
        let mut random = StdRng::seed_from_u64(seed);
        let is_eligible = |&(other, state, connections): &(u16, i32, u32)| {
            other == service && state == AgentState::Accepting as i32 && connections < 2
        };
        match directory.choose(10, service, &mut random) {
            Some(route) => {
                let index = usize::from(route.agent.ip().octets()[3]) - 1;
                prop_assert!(is_eligible(&agents[index]));
            }
            None => prop_assert!(!agents.iter().any(is_eligible)),
        }
    }

    #[test]
    fn the_policy_version_never_decreases(versions in prop::collection::vec(0..50_u64, 1..100)) {
        let cell = SharedPolicy::new();
        let mut highest = 0;
        for version in versions {
            cell.update_if_newer(Policy { version, ..policy::initial() });
            highest = highest.max(version);
            prop_assert_eq!(cell.version(), highest);
        }
    }

    #[test]
    fn an_exception_without_a_reason_is_never_accepted(
        reason in " {0,3}",
        slots in 1..10_u32,
    ) {
        let request = ChangeRequest {
            put_exception: Some(Exception {
                name: "slow-disk".to_owned(),
                reason,
                host: Some("catalogo-1".to_owned()),
                limits: Some(Limits { slots: Some(slots), ..Limits::default() }),
                ..Exception::default()
            }),
            ..ChangeRequest::default()
        };
        prop_assert!(policy::apply(&policy::initial(), &request, 0).is_err());
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(16))]

    #[test]
    fn a_class_keeps_its_share_while_another_floods(flood in 1..50_u8, seed in any::<u64>()) {
        let mut admission = admission(4, 64);
        let mut started = [0_u32; 3];
        let mut running: Vec<usize> = Vec::new();
        let mut id = seed % 1_000;
        let mut waiting = Vec::new();
        for round in 0..2_000_u64 {
            // The class with the lowest weight floods; the others submit one request per round, so
            // that they always have one waiting.
            for (class, &(name, _)) in CLASSES.iter().enumerate() {
                let requests = if class == 0 { flood } else { 1 };
                for caller in 0..requests {
                    id += 1;
                    let request = admission_request(id, name, caller);
                    match admission.submit(round, &request, 0) {
                        Verdict::Run => running.push(class),
                        Verdict::Wait => waiting.push((id, class)),
                        Verdict::Refuse(_) => {}
                    }
                }
            }
            if !running.is_empty() {
                let class = running.remove(0);
                admission.finish(&finished_request(CLASSES[class].0, 2_000));
            }
            while let Some(decision) = admission.next_queue_decision(round) {
                if let QueueDecision::Start(id) = decision {
                    let entry = waiting.iter().find(|&&(other, _)| other == id);
                    let class = entry.expect("only waiting requests are started").1;
                    started[class] += 1;
                    running.push(class);
                }
            }
        }
        let total: u32 = started.iter().sum();
        // With weights 1, 2 and 4, the urgent class gets at least 4/7 of the starts and the normal
        // class 2/7, with a tolerance of 5 %.
        prop_assert!(started[2] * 7 * 20 >= total * 4 * 19, "{:?}", started);
        prop_assert!(started[1] * 7 * 20 >= total * 2 * 19, "{:?}", started);
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn at_most_one_agent_ever_decides_on_a_key(
        lifetimes in prop::collection::vec(any_lifetime(), 1..6),
        creation_times_ms in prop::collection::vec(0..50_000_u64, 1..12),
        report_delays_ms in prop::collection::vec(250..1_000_u64, 36),
    ) {
        let deciders = simulate_deciders(&lifetimes, &creation_times_ms, &report_delays_ms);
        for (created_at_ms, agents) in creation_times_ms.iter().zip(deciders) {
            prop_assert!(
                agents.len() <= 1,
                "agents {agents:?} decide on a key created at {created_at_ms} ms"
            );
        }
    }
}

/// Events in the lifetime of a simulated agent.
#[allow(clippy::struct_field_names)] // The unit is part of each name.
#[derive(Clone, Copy, Debug)]
struct AgentLifetime {
    start_ms: u64,
    /// Time at which the agent starts to drain; it exits 10 s later. `None` if it never drains.
    drain_ms: Option<u64>,
    /// Start and duration of a period in which the process is suspended.
    suspension_ms: Option<(u64, u64)>,
}

fn any_lifetime() -> impl Strategy<Value = AgentLifetime> {
    let suspension = (5_000..40_000_u64, 500..10_000_u64);
    (
        0..20_000_u64,
        prop::option::of(25_000..40_000_u64),
        prop::option::of(suspension),
    )
        .prop_map(|(start_ms, drain_ms, suspension_ms)| AgentLifetime {
            start_ms,
            drain_ms,
            suspension_ms,
        })
}

impl AgentLifetime {
    fn is_running(&self, now_ms: u64) -> bool {
        let is_suspended = self.suspension_ms.is_some_and(|(start_ms, duration_ms)| {
            (start_ms..start_ms + duration_ms).contains(&now_ms)
        });
        let has_exited = self
            .drain_ms
            .is_some_and(|drain_ms| now_ms > drain_ms + 10_000);
        now_ms >= self.start_ms && !is_suspended && !has_exited
    }
}

/// Simulates one minute of agents that receive each other's reports with delays. Returns for each
/// key the agents that were allowed to decide on it at any time after its creation.
fn simulate_deciders(
    lifetimes: &[AgentLifetime],
    creation_times_ms: &[u64],
    report_delays_ms: &[u64],
) -> Vec<Vec<usize>> {
    const STEP_MS: u64 = 250;
    let mut members: Vec<Members> = (0..lifetimes.len())
        .map(|index| Members::new(agent_address(index), 600_000))
        .collect();
    let mut reports: Vec<Vec<Option<MemberReport>>> = vec![Vec::new(); lifetimes.len()];
    let mut deciders = vec![Vec::new(); creation_times_ms.len()];
    for now_ms in (0..=60_000_u64).step_by(usize::try_from(STEP_MS).expect("small")) {
        for (index, lifetime) in lifetimes.iter().enumerate() {
            if !lifetime.is_running(now_ms) {
                reports[index].push(None);
                continue;
            }
            // After a suspension an agent handles queued requests before it receives new reports.
            for (key, &created_at_ms) in creation_times_ms.iter().enumerate() {
                let exists = created_at_ms <= now_ms;
                if exists && members[index].may_decide(&format!("key-{key}"), created_at_ms, now_ms)
                {
                    deciders[key].push(index);
                    deciders[key].dedup();
                }
            }
            if lifetime.drain_ms.is_some_and(|drain_ms| now_ms >= drain_ms) {
                members[index].leave(now_ms);
            }
            members[index].record_ack(now_ms);
            reports[index].push(Some(report(index, &members[index])));
            for other in 0..lifetimes.len() {
                let sent_at_ms = now_ms.saturating_sub(report_delays_ms[index * 6 + other]);
                let step = usize::try_from(sent_at_ms / STEP_MS).expect("small");
                let received = reports[other].get(step).copied().flatten();
                members[index].apply_reports(now_ms, received);
            }
        }
    }
    for agents in &mut deciders {
        agents.sort_unstable();
        agents.dedup();
    }
    deciders
}

fn agent_address(index: usize) -> SocketAddrV4 {
    SocketAddrV4::new([10, 0, 0, u8::try_from(index).expect("small")].into(), 7000)
}

fn report(index: usize, members: &Members) -> MemberReport {
    let (owner_since_ms, owner_until_ms) = members.own_period();
    MemberReport {
        address: agent_address(index),
        owner_since_ms,
        owner_until_ms,
        outstanding: 0,
        slots: 5,
        is_accepting: true,
        utilisation: Utilisation::default(),
    }
}

#[test]
fn an_agent_does_not_decide_on_a_key_created_before_it_joined() {
    let own = SocketAddrV4::new([10, 0, 0, 1].into(), 7000);
    let mut members = Members::new(own, 600_000);
    members.record_ack(10_000);
    let joined_ms = 10_000 + JOIN_DELAY_MS;
    assert_eq!(members.key_owner("key", joined_ms - 1), KeyOwner::Unknown);
    assert!(!members.may_decide("key", joined_ms - 1, joined_ms + 5));
    members.record_ack(11_000);
    members.record_ack(12_000);
    assert!(members.may_decide("key", joined_ms, joined_ms + 5));
}

#[test]
fn a_suspended_agent_does_not_decide_on_a_key_created_meanwhile() {
    let own = SocketAddrV4::new([10, 0, 0, 1].into(), 7000);
    let mut members = Members::new(own, 600_000);
    for now_ms in (10_000..=20_000).step_by(500) {
        members.record_ack(now_ms);
    }
    assert!(members.may_decide("key", 20_100, 20_100));
    assert!(
        !members.may_decide("key", 24_000, 25_000),
        "the last acknowledgement is too old"
    );
    members.record_ack(25_000);
    assert!(
        !members.may_decide("key", 24_000, 25_010),
        "the key was created during the suspension"
    );
    assert!(
        members.may_decide("key", 20_100, 25_010),
        "the key was created before the suspension"
    );
}
