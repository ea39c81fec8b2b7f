//! Property tests of the pure decisions: admission, homes of keys, the directory and the policy.

use std::{net::SocketAddrV4, sync::Arc};

use bamboowind::{
    agent::{
        admission::{Admission, AdmissionLimits, Effect, Finished, Ticket, Verdict},
        load::Utilisation,
        members::{Home, JOIN_DELAY_MS, Members, Notice},
        outcomes::{Begin, Claim, Outcomes},
    },
    balancer::directory::AgentDirectory,
    control::{policy, policy_cell::PolicyCell},
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

fn ticket(id: u64, class: &str, caller: u8) -> Ticket {
    Ticket {
        id,
        class: class.into(),
        caller: [10, 9, 0, caller].into(),
        start_by_ms: None,
        long_stream: false,
    }
}

fn finished(class: &str, service_us: u64) -> Finished {
    Finished {
        class: class.into(),
        service_us,
        long_stream: false,
    }
}

/// One step of a random history.
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
                    match admission.arrive(now_ms, &ticket(id, class, caller), 0) {
                        Verdict::Run => running.push((id, class)),
                        Verdict::Wait => waiting.push((id, class)),
                        Verdict::Refuse(refusal) => prop_assert!(refusal.retry_after_ms > 0),
                    }
                }
                Step::Finish => {
                    if let Some((_, class)) = running.pop() {
                        admission.finish(&finished(class, 20_000));
                    }
                }
                Step::Cancel => {
                    if let Some((id, _)) = waiting.pop() {
                        admission.cancel(id);
                    }
                }
                Step::Wait { ms } => now_ms += ms,
            }
            while let Some(effect) = admission.next_effect(now_ms) {
                let (Effect::Start(id) | Effect::Refuse(id, _)) = effect;
                let index = waiting.iter().position(|&(other, _)| other == id);
                let entry = waiting.remove(index.expect("an effect for a waiting request"));
                if matches!(effect, Effect::Start(_)) {
                    running.push(entry);
                }
            }
            prop_assert!(running.len() <= slots as usize);
            prop_assert_eq!(admission.running() as usize, running.len());
            prop_assert_eq!(admission.waiting() as usize, waiting.len());
            prop_assert!(waiting.is_empty() || running.len() == slots as usize, "idle slots");
        }
    }

    #[test]
    fn one_key_is_let_run_once_until_it_is_settled_as_not_run(
        claims in prop::collection::vec((0..3_u8, any::<u64>(), any::<bool>()), 1..200),
    ) {
        let mut outcomes = Outcomes::new();
        let mut holders: [Option<u64>; 3] = [None; 3];
        for (key, claim_id, is_settled) in claims {
            let text = format!("key-{key}");
            let holder = &mut holders[usize::from(key)];
            let claim = Claim { birth_ms: 0, fingerprint: 1, claim_id };
            if is_settled {
                outcomes.settle(&text, claim_id, None);
                if *holder == Some(claim_id) {
                    *holder = None;
                }
            } else if outcomes.begin(&text, claim) == Begin::Run {
                prop_assert!(holder.is_none(), "{} was let run twice", text);
                *holder = Some(claim_id);
            }
        }
    }

    #[test]
    fn only_the_latest_announcement_of_a_process_counts(
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
    fn the_policy_in_force_never_goes_back(versions in prop::collection::vec(0..50_u64, 1..100)) {
        let cell = PolicyCell::new();
        let mut highest = 0;
        for version in versions {
            cell.offer(Policy { version, ..policy::initial() });
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
        let mut classes = Vec::new();
        for round in 0..2_000_u64 {
            // The least urgent class floods; the others always have one request waiting.
            for (class, &(name, _)) in CLASSES.iter().enumerate() {
                let copies = if class == 0 { flood } else { 1 };
                for copy in 0..copies {
                    id += 1;
                    let asks = ticket(id, name, copy);
                    match admission.arrive(round, &asks, 0) {
                        Verdict::Run => running.push(class),
                        Verdict::Wait => classes.push((id, class)),
                        Verdict::Refuse(_) => {}
                    }
                }
            }
            if !running.is_empty() {
                let class = running.remove(0);
                admission.finish(&finished(CLASSES[class].0, 2_000));
            }
            while let Some(effect) = admission.next_effect(round) {
                if let Effect::Start(id) = effect {
                    let entry = classes.iter().find(|&&(other, _)| other == id);
                    let class = entry.expect("a waiting request").1;
                    started[class] += 1;
                    running.push(class);
                }
            }
        }
        let total: u32 = started.iter().sum();
        // Weights 1, 2 and 4: urgent work gets at least four sevenths, less one part in twenty.
        prop_assert!(started[2] * 7 * 20 >= total * 4 * 19, "{:?}", started);
        prop_assert!(started[1] * 7 * 20 >= total * 2 * 19, "{:?}", started);
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn at_most_one_agent_ever_decides_on_a_key(
        lives in prop::collection::vec(any_life(), 1..6),
        births in prop::collection::vec(0..50_000_u64, 1..12),
        delays in prop::collection::vec(250..1_000_u64, 36),
    ) {
        let deciders = deciders(&lives, &births, &delays);
        for (birth_ms, agents) in births.iter().zip(deciders) {
            prop_assert!(agents.len() <= 1, "{agents:?} decide on a key born at {birth_ms}");
        }
    }
}

/// When an agent starts, begins to drain, and is frozen.
#[allow(clippy::struct_field_names)] // The unit is part of each name.
#[derive(Clone, Copy, Debug)]
struct Life {
    start_ms: u64,
    leave_ms: Option<u64>,
    freeze_ms: Option<(u64, u64)>,
}

fn any_life() -> impl Strategy<Value = Life> {
    let freeze = (5_000..40_000_u64, 500..10_000_u64);
    (
        0..20_000_u64,
        prop::option::of(25_000..40_000_u64),
        prop::option::of(freeze),
    )
        .prop_map(|(start_ms, leave_ms, freeze_ms)| Life {
            start_ms,
            leave_ms,
            freeze_ms,
        })
}

impl Life {
    fn is_awake(&self, now_ms: u64) -> bool {
        let is_frozen = self
            .freeze_ms
            .is_some_and(|(from_ms, for_ms)| (from_ms..from_ms + for_ms).contains(&now_ms));
        let is_gone = self
            .leave_ms
            .is_some_and(|leave_ms| now_ms > leave_ms + 10_000);
        now_ms >= self.start_ms && !is_frozen && !is_gone
    }
}

/// Lets agents live for a minute, hearing of each other with delays, and notes which of them were
/// ready to decide on each key at any time after its birth.
fn deciders(lives: &[Life], births: &[u64], delays: &[u64]) -> Vec<Vec<usize>> {
    const STEP_MS: u64 = 250;
    let mut views: Vec<Members> = (0..lives.len())
        .map(|index| Members::new(agent_address(index), 600_000))
        .collect();
    let mut terms: Vec<Vec<Option<Notice>>> = vec![Vec::new(); lives.len()];
    let mut deciders = vec![Vec::new(); births.len()];
    for now_ms in (0..=60_000_u64).step_by(usize::try_from(STEP_MS).expect("small")) {
        for (index, life) in lives.iter().enumerate() {
            if !life.is_awake(now_ms) {
                terms[index].push(None);
                continue;
            }
            // What waits for a frozen process is handled before it hears anything new.
            for (key, &birth_ms) in births.iter().enumerate() {
                let is_born = birth_ms <= now_ms;
                if is_born && views[index].may_decide(&format!("key-{key}"), birth_ms, now_ms) {
                    deciders[key].push(index);
                    deciders[key].dedup();
                }
            }
            if life.leave_ms.is_some_and(|leave_ms| now_ms >= leave_ms) {
                views[index].leave(now_ms);
            }
            views[index].acknowledged(now_ms);
            terms[index].push(Some(notice(index, &views[index])));
            for other in 0..lives.len() {
                let heard_ms = now_ms.saturating_sub(delays[index * 6 + other]);
                let step = usize::try_from(heard_ms / STEP_MS).expect("small");
                let heard = terms[other].get(step).copied().flatten();
                views[index].observe(now_ms, heard);
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

fn notice(index: usize, view: &Members) -> Notice {
    let (home_since_ms, home_until_ms) = view.own_term();
    Notice {
        address: agent_address(index),
        home_since_ms,
        home_until_ms,
        work: 0,
        slots: 5,
        is_accepting: true,
        utilisation: Utilisation::default(),
    }
}

#[test]
fn a_key_born_before_its_home_joined_is_not_decided_there() {
    let own = SocketAddrV4::new([10, 0, 0, 1].into(), 7000);
    let mut members = Members::new(own, 600_000);
    members.acknowledged(10_000);
    let joined_ms = 10_000 + JOIN_DELAY_MS;
    assert_eq!(members.home("key", joined_ms - 1), Home::Unknown);
    assert!(!members.may_decide("key", joined_ms - 1, joined_ms + 5));
    members.acknowledged(11_000);
    members.acknowledged(12_000);
    assert!(members.may_decide("key", joined_ms, joined_ms + 5));
}

#[test]
fn an_agent_that_was_frozen_decides_on_no_key_born_meanwhile() {
    let own = SocketAddrV4::new([10, 0, 0, 1].into(), 7000);
    let mut members = Members::new(own, 600_000);
    for now_ms in (10_000..=20_000).step_by(500) {
        members.acknowledged(now_ms);
    }
    assert!(members.may_decide("key", 20_100, 20_100));
    assert!(
        !members.may_decide("key", 24_000, 25_000),
        "decided while frozen"
    );
    members.acknowledged(25_000);
    assert!(
        !members.may_decide("key", 24_000, 25_010),
        "decided after waking"
    );
    assert!(
        members.may_decide("key", 20_100, 25_010),
        "forgot what it decides on"
    );
}
