//! Share of completed requests and latency per class while one class floods a target:
//! `cargo bench --bench flood`.
//!
//! A discrete-event simulation of one target runs the admission code of the agent. Each class
//! offers its normal load, and one class exceeds the capacity for a while. Callers do not retry
//! refused requests.
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
/// Range of the uniformly distributed service times.
const SERVICE_TIME_US: std::ops::Range<u64> = 4_000..16_000;
const MEAN_SERVICE_TIME_US: f64 = 10_000.0;
/// Name and weight of each class, and its offered load without a flood as a share of the capacity.
const CLASSES: [(&str, u32, f64); 3] =
    [("urgent", 4, 0.40), ("normal", 2, 0.20), ("bulk", 1, 0.10)];
const CALLER_COUNT: u8 = 20;
const FLOOD_START_US: u64 = 20_000_000;
const FLOOD_END_US: u64 = 50_000_000;
const SIMULATED_US: u64 = 70_000_000;
/// Time after the flood within which the target must have recovered; it is not measured.
const RECOVERY_US: u64 = 2_000_000;

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrival {
        class: usize,
    },
    Finish {
        request: usize,
    },
    /// Applies the queue timeout.
    Tick,
}

#[derive(Clone, Copy, Debug)]
struct Request {
    class: usize,
    arrived_us: u64,
    /// `None` until the request starts.
    started_us: Option<u64>,
    /// `None` until the request is completed.
    finished_us: Option<u64>,
    service_time_us: u64,
}

/// A class that exceeds its normal load from [`FLOOD_START_US`] to [`FLOOD_END_US`].
struct Flood {
    class: usize,
    /// Offered load as a multiple of the capacity.
    load: f64,
}

struct Simulation {
    admission: Admission,
    flood: Option<Flood>,
    random: StdRng,
    now_us: u64,
    /// Pending events by time and then by order of creation.
    events: BinaryHeap<Reverse<(u64, usize, Event)>>,
    /// Number of events created so far.
    sequence: usize,
    requests: Vec<Request>,
}

impl Simulation {
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
        let mut simulation = Self {
            admission,
            flood,
            random: StdRng::seed_from_u64(SEED),
            now_us: 0,
            events: BinaryHeap::new(),
            sequence: 0,
            requests: Vec::new(),
        };
        for class in 0..CLASSES.len() {
            simulation.schedule(0, Event::Arrival { class });
        }
        simulation.schedule(0, Event::Tick);
        simulation
    }

    /// Schedules an event.
    fn schedule(&mut self, delay_us: u64, event: Event) {
        self.sequence += 1;
        self.events
            .push(Reverse((self.now_us + delay_us, self.sequence, event)));
    }

    /// Runs the simulation and returns all requests that arrived.
    fn run(mut self) -> Vec<Request> {
        while let Some(Reverse((at_us, _, event))) = self.events.pop() {
            if at_us > SIMULATED_US {
                break;
            }
            self.now_us = at_us;
            match event {
                Event::Arrival { class } => self.handle_arrival(class),
                Event::Finish { request } => self.finish(request),
                Event::Tick => {
                    self.apply_queue_decisions();
                    self.schedule(10_000, Event::Tick);
                }
            }
        }
        self.requests
    }

    /// Load that a class offers now, as a share of the capacity.
    fn offered_load(&self, class: usize) -> f64 {
        let is_flood_time = (FLOOD_START_US..FLOOD_END_US).contains(&self.now_us);
        match &self.flood {
            Some(flood) if flood.class == class && is_flood_time => flood.load,
            _ => CLASSES[class].2,
        }
    }

    fn handle_arrival(&mut self, class: usize) {
        let rate_per_us = f64::from(SLOTS) / MEAN_SERVICE_TIME_US * self.offered_load(class);
        let gap_us = -(1.0 - self.random.random::<f64>()).ln() / rate_per_us;
        self.schedule(gap_us as u64, Event::Arrival { class });
        let request = self.requests.len();
        self.requests.push(Request {
            class,
            arrived_us: self.now_us,
            started_us: None,
            finished_us: None,
            service_time_us: self.random.random_range(SERVICE_TIME_US),
        });
        let admission_request = AdmissionRequest {
            id: request as u64,
            class: CLASSES[class].0.into(),
            caller: [10, 9, 0, self.random.random_range(0..CALLER_COUNT)].into(),
            start_by_ms: None,
            long_stream: false,
        };
        if self
            .admission
            .submit(self.now_us / 1_000, &admission_request, 0)
            == Verdict::Run
        {
            self.start(request);
        }
        self.apply_queue_decisions();
    }

    fn start(&mut self, request: usize) {
        self.requests[request].started_us = Some(self.now_us);
        self.schedule(
            self.requests[request].service_time_us,
            Event::Finish { request },
        );
    }

    fn finish(&mut self, request: usize) {
        let Request {
            class,
            service_time_us,
            ..
        } = self.requests[request];
        self.requests[request].finished_us = Some(self.now_us);
        let class = CLASSES[class].0.into();
        self.admission.finish(&FinishedRequest {
            class,
            service_us: service_time_us,
            long_stream: false,
        });
        self.apply_queue_decisions();
    }

    /// Applies the pending queue decisions and starts the requests that they name.
    fn apply_queue_decisions(&mut self) {
        while let Some(decision) = self.admission.next_queue_decision(self.now_us / 1_000) {
            if let QueueDecision::Start(id) = decision {
                self.start(id as usize);
            }
        }
    }
}

/// Share of completed requests and p99 latency in milliseconds of a class, for the requests that
/// arrived in an interval.
fn completion_stats(
    requests: &[Request],
    class: usize,
    interval_us: std::ops::Range<u64>,
) -> (f64, f64) {
    let arrived = requests
        .iter()
        .filter(|request| request.class == class && interval_us.contains(&request.arrived_us));
    let count = arrived.clone().count();
    let mut latencies_us: Vec<u64> = arrived
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

/// Share of the slot time of an interval that was spent on completed requests.
fn slot_utilisation(requests: &[Request], interval_us: std::ops::Range<u64>) -> f64 {
    let finished = requests.iter().filter(|request| {
        request
            .finished_us
            .is_some_and(|at_us| interval_us.contains(&at_us))
    });
    let busy_us: u64 = finished.map(|request| request.service_time_us).sum();
    busy_us as f64 / (f64::from(SLOTS) * (interval_us.end - interval_us.start) as f64)
}

fn main() {
    let interval_us = FLOOD_START_US..FLOOD_END_US;
    let baseline = Simulation::new(None).run();
    print_stats("no flood", &baseline, &interval_us);
    for class in [2, 0] {
        for load in [2.0, 5.0, 20.0] {
            let requests = Simulation::new(Some(Flood { class, load })).run();
            let name = format!(
                "{} floods at {load:.0} times the capacity",
                CLASSES[class].0
            );
            print_stats(&name, &requests, &interval_us);
            let recovered_us = FLOOD_END_US + RECOVERY_US..SIMULATED_US - RECOVERY_US;
            let (share, p99_ms) = completion_stats(&requests, 0, recovered_us.clone());
            let (_, baseline_p99_ms) = completion_stats(&baseline, 0, recovered_us);
            println!(
                "  from 2 s after the flood: urgent completed {:.1}%, p99 {p99_ms:.1} ms (no flood {baseline_p99_ms:.1} ms)",
                share * 100.0
            );
        }
    }
}

fn print_stats(name: &str, requests: &[Request], interval_us: &std::ops::Range<u64>) {
    println!(
        "{name}: slot utilisation {:.1}%",
        slot_utilisation(requests, interval_us.clone()) * 100.0
    );
    for (class, (label, _, _)) in CLASSES.iter().enumerate() {
        let (share, p99_ms) = completion_stats(requests, class, interval_us.clone());
        println!(
            "  {label:<7} completed {:5.1}%  p99 {p99_ms:6.1} ms",
            share * 100.0
        );
    }
}
