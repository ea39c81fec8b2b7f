//! What other work keeps during a flood: `cargo bench --bench flood`.
//!
//! A queue model of one target drives the real admission. Every class asks for its quiet share of
//! the target; then one class floods. Callers do not repeat what is refused.
#![allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss
)]

use std::{cmp::Reverse, collections::BinaryHeap, sync::Arc};

use bamboowind::agent::admission::{
    Admission, AdmissionLimits, AdmissionRequest, FinishedRequest, QueueDecision, Verdict,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

const SEED: u64 = 20_261_204;
const SLOTS: u32 = 5;
const SERVICE_US: std::ops::Range<u64> = 4_000..16_000;
const MEAN_SERVICE_US: f64 = 10_000.0;
/// Class, weight, and the share of the target that it asks for when nothing floods.
const CLASSES: [(&str, u32, f64); 3] =
    [("urgent", 4, 0.40), ("normal", 2, 0.20), ("bulk", 1, 0.10)];
const CALLERS: u8 = 20;
const FLOOD_FROM_US: u64 = 20_000_000;
const FLOOD_UNTIL_US: u64 = 50_000_000;
const END_US: u64 = 70_000_000;
/// Time after a flood in which the target must be back to normal.
const RECOVERY_US: u64 = 2_000_000;

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive { class: usize },
    Finish { request: usize },
    Tick,
}

#[derive(Clone, Copy, Debug)]
struct Request {
    class: usize,
    arrived_us: u64,
    started_us: Option<u64>,
    finished_us: Option<u64>,
    work_us: u64,
}

struct Flood {
    class: usize,
    factor: f64,
}

struct Model {
    admission: Admission,
    flood: Option<Flood>,
    random: StdRng,
    now_us: u64,
    events: BinaryHeap<Reverse<(u64, usize, Event)>>,
    sequence: usize,
    requests: Vec<Request>,
}

impl Model {
    fn new(flood: Option<Flood>) -> Self {
        let classes = CLASSES
            .iter()
            .map(|&(name, weight, _)| (Arc::from(name), weight));
        let admission = Admission::new(AdmissionLimits {
            slots: SLOTS,
            long_streams: 0,
            queue_length: 64,
            queue_timeout_ms: 500,
            classes: classes.collect(),
        });
        let mut model = Self {
            admission,
            flood,
            random: StdRng::seed_from_u64(SEED),
            now_us: 0,
            events: BinaryHeap::new(),
            sequence: 0,
            requests: Vec::new(),
        };
        for class in 0..CLASSES.len() {
            model.push(0, Event::Arrive { class });
        }
        model.push(0, Event::Tick);
        model
    }

    fn push(&mut self, delay_us: u64, event: Event) {
        self.sequence += 1;
        self.events
            .push(Reverse((self.now_us + delay_us, self.sequence, event)));
    }

    fn run(mut self) -> Vec<Request> {
        while let Some(Reverse((at_us, _, event))) = self.events.pop() {
            if at_us > END_US {
                break;
            }
            self.now_us = at_us;
            match event {
                Event::Arrive { class } => self.arrive(class),
                Event::Finish { request } => self.finish(request),
                Event::Tick => {
                    self.settle();
                    self.push(10_000, Event::Tick);
                }
            }
        }
        self.requests
    }

    /// Share of the target that a class asks for now.
    fn demand(&self, class: usize) -> f64 {
        let is_flooded = (FLOOD_FROM_US..FLOOD_UNTIL_US).contains(&self.now_us);
        match &self.flood {
            Some(flood) if flood.class == class && is_flooded => flood.factor,
            _ => CLASSES[class].2,
        }
    }

    fn arrive(&mut self, class: usize) {
        let rate = f64::from(SLOTS) / MEAN_SERVICE_US * self.demand(class);
        let gap_us = -(1.0 - self.random.random::<f64>()).ln() / rate;
        self.push(gap_us as u64, Event::Arrive { class });
        let request = self.requests.len();
        self.requests.push(Request {
            class,
            arrived_us: self.now_us,
            started_us: None,
            finished_us: None,
            work_us: self.random.random_range(SERVICE_US),
        });
        let ticket = AdmissionRequest {
            id: request as u64,
            class: CLASSES[class].0.into(),
            caller: [10, 9, 0, self.random.random_range(0..CALLERS)].into(),
            start_by_ms: None,
            long_stream: false,
        };
        if self.admission.submit(self.now_us / 1_000, &ticket, 0) == Verdict::Run {
            self.start(request);
        }
        self.settle();
    }

    fn start(&mut self, request: usize) {
        self.requests[request].started_us = Some(self.now_us);
        self.push(self.requests[request].work_us, Event::Finish { request });
    }

    fn finish(&mut self, request: usize) {
        let Request { class, work_us, .. } = self.requests[request];
        self.requests[request].finished_us = Some(self.now_us);
        let class = CLASSES[class].0.into();
        self.admission.finish(&FinishedRequest {
            class,
            service_us: work_us,
            long_stream: false,
        });
        self.settle();
    }

    fn settle(&mut self) {
        while let Some(effect) = self.admission.next_queue_decision(self.now_us / 1_000) {
            if let QueueDecision::Start(id) = effect {
                self.start(id as usize);
            }
        }
    }
}

/// Share of a class's requests that were answered, and their p99, in a span of time.
fn served(requests: &[Request], class: usize, span_us: std::ops::Range<u64>) -> (f64, f64) {
    let asked = requests
        .iter()
        .filter(|request| request.class == class && span_us.contains(&request.arrived_us));
    let count = asked.clone().count();
    let mut latencies_us: Vec<u64> = asked
        .filter_map(|request| Some(request.finished_us? - request.arrived_us))
        .collect();
    latencies_us.sort_unstable();
    let p99_us = latencies_us
        .get(latencies_us.len() * 99 / 100)
        .copied()
        .unwrap_or_default();
    (
        latencies_us.len() as f64 / count as f64,
        p99_us as f64 / 1_000.0,
    )
}

/// Share of the slots' time that went into answers.
fn throughput(requests: &[Request], span_us: std::ops::Range<u64>) -> f64 {
    let finished = requests.iter().filter(|request| {
        request
            .finished_us
            .is_some_and(|at_us| span_us.contains(&at_us))
    });
    let busy_us: u64 = finished.map(|request| request.work_us).sum();
    busy_us as f64 / (f64::from(SLOTS) * (span_us.end - span_us.start) as f64)
}

fn main() {
    let span_us = FLOOD_FROM_US..FLOOD_UNTIL_US;
    let quiet = Model::new(None).run();
    print_line("quiet", &quiet, &span_us);
    for class in [2, 0] {
        for factor in [2.0, 5.0, 20.0] {
            let requests = Model::new(Some(Flood { class, factor })).run();
            let name = format!("{} floods {factor:.0} times capacity", CLASSES[class].0);
            print_line(&name, &requests, &span_us);
            let after_us = FLOOD_UNTIL_US + RECOVERY_US..END_US - RECOVERY_US;
            let (share, p99_ms) = served(&requests, 0, after_us.clone());
            let (_, quiet_ms) = served(&quiet, 0, after_us);
            println!(
                "  from 2 s after its end: urgent answered {:.1}%, p99 {p99_ms:.1} ms (quiet {quiet_ms:.1})",
                share * 100.0
            );
        }
    }
}

fn print_line(name: &str, requests: &[Request], span_us: &std::ops::Range<u64>) {
    println!(
        "{name}: target used {:.1}%",
        throughput(requests, span_us.clone()) * 100.0
    );
    for (class, (label, _, _)) in CLASSES.iter().enumerate() {
        let (share, p99_ms) = served(requests, class, span_us.clone());
        println!(
            "  {label:<7} answered {:5.1}%  p99 {p99_ms:6.1} ms",
            share * 100.0
        );
    }
}
