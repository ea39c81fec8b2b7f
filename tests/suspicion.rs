//! Judgement of the local target by its agent, against the figures of the siblings.

use bamboowind::{
    flow::packet::{Flags, FlowKey, Segment},
    forward::agent::flows::AgentFlows,
    forward::agent::suspicion::{
        ClassReference, Outcome, Suspicion, SuspicionChange, TrustedAgain, class_references,
        class_tag,
    },
    membership::instance::{ClassResponses, MAX_CLASSES, TargetLoad},
    proto::flow as wire,
};
use prost::Message;
use rand::{Rng, SeedableRng, rngs::StdRng};

/// Typical responses of the siblings: time in milliseconds and length in bytes.
const USUAL: (u64, u16) = (22, 1_000);
/// An error, or a response that the target is too busy to run the request.
const ERROR: (u64, u16) = (1, 150);

fn flow(number: u16) -> FlowKey {
    FlowKey {
        caller: format!("100.64.0.1:{}", 1_024 + number).parse().unwrap(),
        service: "198.18.0.1:443".parse().unwrap(),
    }
}

fn references((latency_ms, len): (u64, u16), siblings: usize) -> Vec<ClassReference> {
    vec![ClassReference {
        tag: class_tag(flow(0).service),
        latency_ms: u32::try_from(latency_ms).unwrap(),
        first_packet_len: len.into(),
        siblings,
    }]
}

/// State of a target that has responded like its siblings so far.
fn suspicion() -> Suspicion {
    let mut suspicion = Suspicion::new();
    assert_eq!(suspicion.set_references(references(USUAL, 5), 0), None);
    for number in 0..10 {
        assert_eq!(suspicion.record(flow(number), response(USUAL), 900), None);
    }
    suspicion
}

fn response((latency_ms, first_packet_len): (u64, u16)) -> Outcome {
    Outcome::Response {
        latency_ms,
        first_packet_len,
    }
}

/// Records outcomes of requests on different flows at 20 ms intervals. Returns the number of the one
/// after which the target is first suspect.
fn suspected_after(
    suspicion: &mut Suspicion,
    outcomes: impl IntoIterator<Item = Outcome>,
) -> Option<usize> {
    let mut at_ms = 1_000;
    outcomes
        .into_iter()
        .enumerate()
        .find_map(|(index, outcome)| {
            at_ms += 20;
            suspicion.record(flow(u16::try_from(index % 5_000).unwrap()), outcome, at_ms);
            suspicion.is_suspect(at_ms).then_some(index + 1)
        })
}

/// A target that is suspect since 1,000 ms.
fn suspect() -> Suspicion {
    let mut suspicion = suspicion();
    for number in 0..4 {
        suspicion.record(flow(number), response(ERROR), 1_000);
    }
    assert!(suspicion.is_suspect(1_000));
    suspicion
}

/// Each failure mode leads to a suspicion after the fourth failed request.
#[test]
fn errors_resets_and_missing_responses_lead_to_a_suspicion() {
    let missing = Outcome::Missing { waited_ms: 400 };
    for outcome in [response(ERROR), Outcome::Reset, missing] {
        let failures = std::iter::repeat_n(outcome, 10);
        assert_eq!(
            suspected_after(&mut suspicion(), failures),
            Some(4),
            "{outcome:?}"
        );
    }
}

/// A target may fail only some of its requests, and serve the others in the usual time.
#[test]
fn a_target_that_fails_a_share_of_its_requests_is_suspected() {
    for seed in 0..20 {
        let mut random = StdRng::seed_from_u64(seed);
        let outcomes = std::iter::repeat_with(|| {
            let fails = random.random_bool(0.45);
            response(if fails { ERROR } else { USUAL })
        });
        let after = suspected_after(&mut suspicion(), outcomes.take(100));
        assert!(
            after.is_some_and(|requests| requests <= 30),
            "seed {seed}: {after:?}"
        );
    }
}

/// A target that is only fast, only cold, or serves short responses in the usual time must stay in
/// use.
#[test]
fn a_fast_a_cold_and_an_easily_served_target_are_not_suspected() {
    for honest in [
        (1, 1_000),
        (0, 700),
        (60, 1_000),
        (300, 1_200),
        (20, 150),
        (11, 30),
    ] {
        let outcomes = std::iter::repeat_n(response(honest), 1_000);
        assert_eq!(
            suspected_after(&mut suspicion(), outcomes),
            None,
            "{honest:?}"
        );
    }
}

/// Siblings that respond as quickly and as briefly have the same mix of requests.
#[test]
fn a_target_whose_siblings_look_the_same_is_not_suspected() {
    let mut suspicion = Suspicion::new();
    suspicion.set_references(references(ERROR, 5), 0);
    let outcomes = std::iter::repeat_n(response(ERROR), 1_000);
    assert_eq!(suspected_after(&mut suspicion, outcomes), None);
}

/// Healthy targets whose times and lengths are spread widely are not suspected. The spreads are those
/// of the load that this is designed for, with the unfavourable assumption of a normal distribution.
#[test]
fn widely_spread_responses_lead_to_few_false_suspicions() {
    let mut random = StdRng::seed_from_u64(7);
    let mut normal = |mean: f64, spread: f64| {
        let sum: f64 = (0..12).map(|_| random.random::<f64>()).sum();
        (mean * (1.0 + spread * (sum - 6.0))).max(mean / 20.0)
    };
    for (mean_ms, mean_len) in [
        (22.0, 1_000.0),
        (29.0, 600.0),
        (13.0, 2_000.0),
        (17.0, 600.0),
        (5.0, 20_000.0),
        (4.2, 300.0),
    ] {
        let mut suspicion = Suspicion::new();
        let median_len: f64 = f64::min(mean_len, 1_200.0);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        suspicion.set_references(references((mean_ms as u64, median_len as u16), 5), 0);
        let mut suspicions = 0;
        for number in 0..200_000_u32 {
            let (latency_ms, len) = (normal(mean_ms, 0.5), normal(mean_len, 0.6).min(1_200.0));
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            let outcome = response((latency_ms as u64, len as u16));
            let now_ms = u64::from(number) * 17;
            suspicion.tick(now_ms);
            let change = suspicion.record(
                flow(u16::try_from(number % 5_000).unwrap()),
                outcome,
                now_ms,
            );
            suspicions += u32::from(matches!(change, Some(SuspicionChange::Suspected(_))));
        }
        assert!(
            suspicions <= 1,
            "{suspicions} suspicions at {mean_ms} ms, {mean_len} bytes"
        );
    }
}

/// Some responses of a fast target are short and so look failed. The many quick ones of full length
/// show that the target is fast.
#[test]
fn a_fast_target_with_spread_lengths_is_not_suspected() {
    for (seed, fast_share) in [(1, 1.0), (2, 0.5), (3, 1.0), (4, 0.5)] {
        let mut random = StdRng::seed_from_u64(seed);
        let outcomes = std::iter::repeat_with(|| {
            let latency_ms = if random.random_bool(fast_share) {
                1
            } else {
                22
            };
            let len = if random.random_bool(0.2) { 400 } else { 1_000 };
            response((latency_ms, len))
        });
        let mut suspicion = Suspicion::new();
        suspicion.set_references(references(USUAL, 5), 0);
        let after = suspected_after(&mut suspicion, outcomes.take(100_000));
        assert_eq!(after, None, "seed {seed}");
    }
}

/// An agent that starts beside a failing target has no earlier responses to compare with.
#[test]
fn a_target_that_fails_from_the_start_is_suspected_after_eight_requests() {
    let mut suspicion = Suspicion::new();
    suspicion.set_references(references(USUAL, 5), 0);
    let failures = std::iter::repeat_n(response(ERROR), 100);
    assert_eq!(suspected_after(&mut suspicion, failures), Some(8));
}

#[test]
fn requests_of_a_single_flow_do_not_lead_to_a_suspicion() {
    let mut suspicion = suspicion();
    for at_ms in 0..1_000 {
        suspicion.record(flow(at_ms % 2), response(ERROR), at_ms.into());
    }
    assert!(!suspicion.is_suspect(1_000));
}

#[test]
fn failures_that_are_far_apart_do_not_lead_to_a_suspicion() {
    let mut suspicion = suspicion();
    for number in 0..100 {
        suspicion.record(flow(number), response(ERROR), u64::from(number) * 4_000);
    }
    assert!(!suspicion.is_suspect(400_000));
}

#[test]
fn without_figures_of_three_siblings_there_is_no_judgement() {
    let class = |samples| ClassResponses {
        tag: class_tag(flow(0).service),
        latency_ms: 22,
        first_packet_len: 1_000,
        samples,
    };
    let reports = [[class(9)], [class(9)], [class(2)]];
    let mut suspicion = Suspicion::new();
    suspicion.set_references(class_references(reports.iter().map(|r| &r[..])), 0);
    let outcomes = [
        response(ERROR),
        Outcome::Reset,
        Outcome::Missing { waited_ms: 9_000 },
    ];
    for outcome in outcomes {
        let failures = std::iter::repeat_n(outcome, 100);
        assert_eq!(suspected_after(&mut suspicion, failures), None);
    }
    assert_eq!(suspicion.missing_after_ms(class_tag(flow(0).service)), None);
}

/// A change of the mix of requests reaches the figures of the siblings later than the own responses.
/// Targets that were suspected meanwhile must not wait for the end of their pause.
#[test]
fn a_suspicion_ends_when_the_figures_of_the_siblings_show_the_same_change() {
    let mut suspicion = suspect();
    let change = suspicion.set_references(references(ERROR, 5), 1_200);
    let expected = SuspicionChange::Trusted {
        reason: TrustedAgain::SiblingsAlike,
        suspect_for_ms: 200,
    };
    assert_eq!(change, Some(expected));
    assert!(!suspicion.is_suspect(1_200));
}

/// Lost reports of the siblings end the judgement.
#[test]
fn a_suspicion_ends_without_figures_of_the_siblings() {
    let mut suspicion = suspect();
    assert!(suspicion.set_references(Vec::new(), 1_200).is_some());
    assert!(!suspicion.is_suspect(1_200));
}

#[test]
fn a_new_incarnation_of_the_target_is_not_suspect() {
    let mut suspicion = suspect();
    assert!(suspicion.restart_target(1_100).is_some());
    assert!(!suspicion.is_suspect(1_100));
    assert_eq!(suspicion.class_responses(1_100), []);
}

#[test]
fn a_suspect_gets_one_flow_at_a_time_after_its_pause_until_five_responses_look_well() {
    let mut suspicion = suspect();
    suspicion.tick(1_999);
    assert!(suspicion.is_suspect(1_999));
    suspicion.tick(2_000);
    let mut change = None;
    for number in 0..5 {
        let at_ms = 2_000 + u64::from(number) * 50;
        assert_eq!(change, None);
        assert!(!suspicion.is_suspect(at_ms), "flow {number} may be placed");
        suspicion.record_admitted(at_ms);
        assert!(suspicion.is_suspect(at_ms), "flow {number} is alone");
        change = suspicion.record(flow(number), response(USUAL), at_ms + 25);
    }
    let reason = TrustedAgain::RespondsWell;
    assert!(matches!(change, Some(SuspicionChange::Trusted { reason: r, .. }) if r == reason));
    suspicion.record_admitted(2_300);
    assert!(!suspicion.is_suspect(2_300));
}

/// A caller that opens a flow without sending a request must not keep the target out of use.
#[test]
fn a_flow_without_a_response_ends_the_trial_after_a_while() {
    let mut suspicion = suspect();
    suspicion.tick(2_000);
    suspicion.record_admitted(2_000);
    assert!(suspicion.is_suspect(2_499));
    assert!(!suspicion.is_suspect(2_500));
}

/// A target that fails again gets longer pauses, also if it serves some requests in between.
#[test]
fn the_pause_doubles_at_each_relapse_up_to_its_maximum() {
    let mut suspicion = suspect();
    let mut now_ms = 1_000;
    let mut pauses = Vec::new();
    for round in 0..6_u16 {
        while suspicion.is_suspect(now_ms) {
            now_ms += 10;
            suspicion.tick(now_ms);
        }
        // In every other round the target is trusted before it fails.
        let well = if round % 2 == 0 { 5 } else { 2 };
        for number in 0..well {
            suspicion.record(flow(number), response(USUAL), now_ms);
        }
        let mut failures =
            (0..4).map(|number| suspicion.record(flow(number), response(ERROR), now_ms));
        let change = failures.find_map(|change| change);
        let Some(SuspicionChange::Suspected(figures)) = change else {
            panic!("not suspected in round {round}: {change:?}");
        };
        pauses.push(figures.pause_ms);
    }
    assert_eq!(pauses, [2_000, 4_000, 8_000, 8_000, 8_000, 8_000]);
}

/// A stalled target responds after all. It must not be left out for longer than it was stalled.
#[test]
fn a_late_response_ends_the_pause_of_a_target_suspected_for_missing_ones() {
    let mut suspicion = suspicion();
    for number in 0..4 {
        suspicion.record(flow(number), Outcome::Missing { waited_ms: 400 }, 1_000);
    }
    assert!(suspicion.is_suspect(1_100));
    suspicion.record(flow(0), response((500, 1_000)), 1_100);
    suspicion.tick(1_100);
    assert!(!suspicion.is_suspect(1_100));
}

#[test]
fn responses_of_at_most_eight_classes_are_measured_and_expire() {
    let mut suspicion = Suspicion::new();
    for port in 0..20 {
        let service = format!("198.18.0.1:{}", 1_000 + port).parse().unwrap();
        suspicion.record(FlowKey { service, ..flow(1) }, response(USUAL), 1_000);
    }
    assert_eq!(suspicion.class_responses(1_000).len(), MAX_CLASSES);
    assert_eq!(suspicion.class_responses(4_001), []);
    suspicion.record(flow(1), response(USUAL), 4_002);
    assert_eq!(suspicion.class_responses(4_002).len(), 1);
}

/// A build that lacks the new fields neither reports a suspicion nor loses the others.
#[test]
fn a_load_report_without_the_new_fields_names_no_suspect() {
    let load = TargetLoad {
        running: 3,
        ..TargetLoad::default()
    };
    let encoded = load.to_message(false).encode_to_vec();
    assert_eq!(encoded, [32, 3]);
    let message = wire::Load::decode(&encoded[..]).unwrap();
    assert_eq!(TargetLoad::from_message(&message), load);
}

#[test]
fn a_class_costs_few_bytes_in_a_load_report() {
    let class = ClassResponses {
        tag: u16::MAX,
        latency_ms: 250,
        first_packet_len: 1_200,
        samples: 15,
    };
    let load = TargetLoad {
        is_suspect: true,
        class_responses: vec![class; 3],
        ..TargetLoad::default()
    };
    let message = load.to_message(false);
    assert_eq!(TargetLoad::from_message(&message), load);
    assert!(
        message.encoded_len() <= 50,
        "{} bytes",
        message.encoded_len()
    );
}

/// Packet of a caller with a request at this sequence number.
fn request(sequence: u32) -> Segment {
    Segment {
        source: flow(1).caller,
        destination: flow(1).service,
        flags: Flags::default(),
        sequence,
        acknowledged: 1,
        data_len: 100,
    }
}

/// Flows of a target that has been sent a request on one at 100 ms.
fn flows_with_request() -> AgentFlows {
    let mut flows = AgentFlows::new();
    flows.record_syn(flow(1), 0, 90);
    let syn_ack = Segment {
        flags: Flags {
            syn: true,
            ack: true,
            ..Flags::default()
        },
        ..response_packet(0)
    };
    flows.record_target_packet(flow(1), &syn_ack, 95);
    flows.record_caller_packet(flow(1), &request(8), &[], 100);
    flows
}

fn response_packet(data_len: u16) -> Segment {
    Segment {
        source: flow(1).service,
        destination: flow(1).caller,
        flags: Flags::default(),
        sequence: 0,
        acknowledged: 8,
        data_len,
    }
}

fn reset_packet() -> Segment {
    let flags = Flags {
        rst: true,
        ..Flags::default()
    };
    Segment {
        flags,
        ..response_packet(0)
    }
}

#[test]
fn the_first_packet_of_a_response_is_measured() {
    let mut flows = flows_with_request();
    let ack = flows.record_target_packet(flow(1), &response_packet(0), 101);
    assert_eq!(ack.outcome, None);
    let first = flows.record_target_packet(flow(1), &response_packet(1_200), 122);
    assert_eq!(first.outcome, Some(response((22, 1_200))));
    let second = flows.record_target_packet(flow(1), &response_packet(300), 123);
    assert_eq!(second.outcome, None);
}

/// A reset without a request in progress is no failure, and neither is one of a flow that the target
/// has lost with its previous incarnation.
#[test]
fn only_resets_of_requests_at_this_incarnation_of_the_target_are_failures() {
    let mut flows = flows_with_request();
    let reset = flows.record_target_packet(flow(1), &reset_packet(), 110);
    assert_eq!(reset.outcome, Some(Outcome::Reset));

    let mut flows = flows_with_request();
    flows.record_target_packet(flow(1), &response_packet(100), 105);
    let reset = flows.record_target_packet(flow(1), &reset_packet(), 110);
    assert_eq!(reset.outcome, None);

    let mut flows = flows_with_request();
    flows.restart_target();
    let reset = flows.record_target_packet(flow(1), &reset_packet(), 110);
    assert_eq!(reset.outcome, None);
}

#[test]
fn a_request_without_a_response_is_missing_it_once() {
    let limit = |_| Some(600);
    let mut flows = flows_with_request();
    assert_eq!(flows.take_missing(limit, 699), []);
    assert_eq!(flows.take_missing(|_| None, 700), []);
    assert_eq!(flows.take_missing(limit, 700), [(flow(1), 600)]);
    assert_eq!(flows.take_missing(limit, 900), []);
}

/// The response is not expected if it has started, if packets of the request may be missing, if the
/// caller has given up, if the target has restarted, or if this process has not read for a while.
#[test]
fn requests_that_need_not_have_a_response_are_not_missing_it() {
    let cases: [fn(&mut AgentFlows); 5] = [
        |flows| {
            flows.record_target_packet(flow(1), &response_packet(9), 300);
        },
        |flows| {
            flows.record_caller_packet(flow(1), &request(108), &[], 101);
        },
        |flows| flows.remove(flow(1), 300),
        |flows| {
            flows.restart_target();
        },
        AgentFlows::forget_recent_requests,
    ];
    for (index, change) in cases.iter().enumerate() {
        let mut flows = flows_with_request();
        change(&mut flows);
        assert_eq!(flows.take_missing(|_| Some(400), 900), [], "case {index}");
    }
}
