//! Detection of a target that fails the requests that it receives although its heartbeats arrive.
//!
//! Load: a few targets of a service answer all requests, or about half of them, with a short error
//! within a millisecond, reset flows instead of responding, or leave requests without a response.
//! Errors take less time than responses, so placement would prefer such a target. Its agent compares
//! what it measures with what the other agents of the service report for the same class of requests.
//! A class is an address that callers use.

use std::{collections::VecDeque, net::SocketAddrV4};

use xxhash_rust::xxh3::xxh3_64;

use crate::{
    flow::packet::FlowKey,
    membership::instance::{ClassResponses, MAX_CLASSES},
};

/// Age after which the figures of siblings and the own samples of a class are not used.
pub const FIGURES_TTL_MS: u64 = 3_000;
/// Number of the most recent responses of a class whose medians are reported.
const MAX_SAMPLES: usize = 15;
/// Minimum number of samples for the medians of a sibling to be used.
const MIN_SAMPLES: u32 = 3;
/// Minimum number of siblings with recent figures for a class to be judged.
const MIN_SIBLINGS: usize = 3;
/// A failed-looking response takes less than the median time of the siblings divided by this.
const QUICK_DIVISOR: u32 = 8;
/// The first packet of a failed-looking response is shorter than the median of the siblings divided
/// by this.
const SMALL_DIVISOR: u32 = 2;
/// Minimum median time for `QUICK_DIVISOR` to be applied, in milliseconds. An eighth of less than
/// this is below the resolution of the clock.
const MIN_QUICK_MEDIAN_MS: u32 = 8;
/// Longest time of an error, in milliseconds. Where the median is too short for `QUICK_DIVISOR`, a
/// failed-looking response takes no longer than this, less than the median divided by
/// `SHORT_DIVISOR`, and its first packet is shorter than the median divided by `SHORT_DIVISOR`.
const ERROR_MS: u32 = 1;
/// See `ERROR_MS`.
const SHORT_DIVISOR: u32 = 4;
/// Minimum time after which a request without a response counts as missing it. Callers wait for
/// 800 ms and longer; a target that is merely busy starts to respond well before.
pub const MIN_MISSING_MS: u64 = 400;
/// A request counts as missing its response after this multiple of the median time of the siblings.
const MISSING_FACTOR: u64 = 12;
/// Number of the most recent judged requests from which a target is suspected.
const WINDOW: usize = 10;
/// Minimum number of failed-looking ones among them. With three, normally distributed times and
/// lengths of healthy targets gave a false suspicion every 40,000 requests.
const MIN_FAILED: usize = 4;
/// Minimum number of requests judged since the start of the agent or the target, so that a few short
/// responses of a fast target do not lead to a suspicion before it is known to be fast.
const MIN_JUDGED: u32 = 8;
/// Maximum number of quick responses of full length among the last [`u32::BITS`], in percent of the
/// failed-looking ones. With more, the target is fast, so that its short responses are quick too.
const MAX_QUICK_PERCENT: usize = 50;
/// Minimum number of flows that the failed-looking ones belong to, so that a single unusual caller
/// does not lead to a suspicion.
const MIN_FAILED_FLOWS: usize = 3;
/// Age after which a judged request no longer counts towards a suspicion.
const OBSERVATION_TTL_MS: u64 = 10_000;
/// Time for which a suspect gets no new flows at first; doubled at each relapse.
const FIRST_PAUSE_MS: u64 = 1_000;
/// Maximum time for which a suspect gets no new flows.
const MAX_PAUSE_MS: u64 = 8_000;
/// Time without suspicion after which the next pause is `FIRST_PAUSE_MS` again; longer than
/// `MAX_PAUSE_MS`.
const RELAPSE_WINDOW_MS: u64 = 10_000;
/// Number of responses that must look well for a target on probation to be trusted again.
const PROBATION_RESPONSES: u32 = 5;
/// Time after which a target on probation gets another new flow although the last one has brought
/// no judged response.
const TRIAL_TIMEOUT_MS: u64 = 500;

/// Tag of a class in load reports.
///
/// ```
/// use bamboowind::forward::agent::suspicion::class_tag;
///
/// let tag = |address: &str| class_tag(address.parse().unwrap());
/// assert_ne!(tag("198.18.0.1:443"), tag("198.18.0.1:8080"));
/// ```
#[must_use]
pub fn class_tag(service: SocketAddrV4) -> u16 {
    let mut bytes = [0; 6];
    bytes[..4].copy_from_slice(&service.ip().octets());
    bytes[4..].copy_from_slice(&service.port().to_be_bytes());
    u16::try_from(xxh3_64(&bytes) & 0xffff).unwrap_or_default()
}

/// What became of a request at the local target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// A response has started.
    Response {
        /// Time from the arrival of the request to the first packet of the response, in
        /// milliseconds.
        latency_ms: u64,
        /// Length of the data of that packet, in bytes.
        first_packet_len: u16,
    },
    /// The target has reset the flow.
    Reset,
    /// The target has not responded yet.
    Missing {
        /// Time since the arrival of the request, in milliseconds.
        waited_ms: u64,
    },
}

/// Medians of the figures that the siblings report for a class.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ClassReference {
    /// Tag of the class.
    pub tag: u16,
    /// Median of the median response times, in milliseconds.
    pub latency_ms: u32,
    /// Median of the median lengths of the first packet of a response, in bytes.
    pub first_packet_len: u32,
    /// Number of siblings.
    pub siblings: usize,
}

/// Computes the reference of each class from the reports of the siblings. Classes with too few
/// siblings are left out.
///
/// ```
/// use bamboowind::forward::agent::suspicion::class_references;
/// use bamboowind::membership::instance::ClassResponses;
///
/// let report = |latency_ms| [ClassResponses { tag: 1, latency_ms, first_packet_len: 900, samples: 9 }];
/// let reports = [report(20), report(24), report(30)];
/// let references = class_references(reports.iter().map(|report| &report[..]));
/// assert_eq!((references[0].latency_ms, references[0].siblings), (24, 3));
/// assert!(class_references(reports[1..].iter().map(|report| &report[..])).is_empty());
/// ```
#[must_use]
pub fn class_references<'a>(
    reports: impl Iterator<Item = &'a [ClassResponses]>,
) -> Vec<ClassReference> {
    let mut figures: Vec<&ClassResponses> = reports
        .flatten()
        .filter(|class| class.samples >= MIN_SAMPLES)
        .collect();
    figures.sort_unstable_by_key(|class| class.tag);
    let by_class = figures.chunk_by(|a, b| a.tag == b.tag);
    by_class
        .filter(|class| class.len() >= MIN_SIBLINGS)
        .map(|class| ClassReference {
            tag: class[0].tag,
            latency_ms: median(class.iter().map(|sibling| sibling.latency_ms)),
            first_packet_len: median(class.iter().map(|sibling| sibling.first_packet_len)),
            siblings: class.len(),
        })
        .collect()
}

/// The upper median; 0 if there are no values.
fn median(values: impl Iterator<Item = u32>) -> u32 {
    let mut sorted: Vec<u32> = values.collect();
    sorted.sort_unstable();
    sorted.get(sorted.len() / 2).copied().unwrap_or_default()
}

/// A response of the local target.
#[derive(Clone, Copy, Debug)]
struct Sample {
    at_ms: u64,
    latency_ms: u32,
    first_packet_len: u32,
}

/// Most recent responses of a class.
#[derive(Clone, Debug)]
struct ClassSamples {
    tag: u16,
    samples: VecDeque<Sample>,
}

/// A request whose outcome could be judged when it was recorded.
#[derive(Clone, Copy, Debug)]
struct Observation {
    flow: FlowKey,
    tag: u16,
    outcome: Outcome,
    at_ms: u64,
}

/// How an outcome compares with those of the siblings.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Look {
    /// The request has most likely failed.
    Failed,
    /// The response was as quick as that to a failed request, but as long as usual.
    Quick,
    /// The request has most likely been served.
    Well,
    /// It cannot be told.
    Unclear,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Status {
    /// The target is not suspect.
    Trusted,
    /// The target gets no new flows until this time.
    Paused { until_ms: u64 },
    /// The target gets one new flow at a time.
    Probation {
        /// Number of responses that looked well.
        well: u32,
        /// Time of the last new flow, if it has brought no judged response yet.
        trial_since_ms: Option<u64>,
    },
}

/// Figures on which a suspicion is based.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Suspected {
    /// Number of failed-looking requests.
    pub failed: usize,
    /// Number of judged requests.
    pub judged: usize,
    /// What became of the last of them.
    pub outcome: Outcome,
    /// Figures of the siblings for the class of the last one.
    pub reference: ClassReference,
    /// Time for which the target gets no new flows.
    pub pause_ms: u64,
    /// Whether the target was on probation.
    pub is_relapse: bool,
}

/// Why a target is trusted again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TrustedAgain {
    /// Enough responses looked well on probation.
    RespondsWell,
    /// Compared with the current figures of the siblings, the requests that led to the suspicion do
    /// not look failed, or there are too few siblings to tell.
    SiblingsAlike,
    /// A new incarnation of the target has started.
    TargetRestarted,
}

impl TrustedAgain {
    /// Name in the log.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::RespondsWell => "responds_well",
            Self::SiblingsAlike => "siblings_alike",
            Self::TargetRestarted => "target_restarted",
        }
    }
}

/// Change of the suspicion.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SuspicionChange {
    /// The target is suspect now, or has had a relapse.
    Suspected(Suspected),
    /// The target is no longer suspect.
    Trusted {
        /// Why.
        reason: TrustedAgain,
        /// Time for which it was suspect, in milliseconds.
        suspect_for_ms: u64,
    },
}

/// What an agent has measured of its target's responses, and whether it suspects the target.
#[derive(Clone, Debug)]
pub struct Suspicion {
    /// Measured classes, sorted by tag.
    classes: Vec<ClassSamples>,
    /// Figures of the siblings, sorted by tag.
    references: Vec<ClassReference>,
    /// Most recent judged requests. None are added while the target is suspect, so that those that
    /// led to the suspicion can be judged again.
    window: VecDeque<Observation>,
    /// Which of the last judged requests had a quick response of full length, as bits.
    quick: u32,
    /// Number of judged requests.
    judged: u32,
    status: Status,
    /// Time since which the target has been suspect or, if it is not, trusted.
    since_ms: u64,
    /// Length of the last pause; 0 before the first one.
    pause_ms: u64,
}

impl Default for Suspicion {
    fn default() -> Self {
        Self {
            classes: Vec::new(),
            references: Vec::new(),
            window: VecDeque::new(),
            quick: 0,
            judged: 0,
            status: Status::Trusted,
            since_ms: 0,
            pause_ms: 0,
        }
    }
}

impl Suspicion {
    /// Creates the state of a target that is not suspect.
    ///
    /// ```
    /// use bamboowind::forward::agent::suspicion::Suspicion;
    ///
    /// assert!(!Suspicion::new().is_suspect(0));
    /// ```
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether the target is to get no new flow now.
    #[must_use]
    pub fn is_suspect(&self, now_ms: u64) -> bool {
        match self.status {
            Status::Trusted => false,
            Status::Paused { .. } => true,
            Status::Probation { trial_since_ms, .. } => trial_since_ms
                .is_some_and(|since_ms| now_ms.saturating_sub(since_ms) < TRIAL_TIMEOUT_MS),
        }
    }

    /// Time after which a request of a class counts as missing its response, in milliseconds; `None`
    /// if the class cannot be judged.
    #[must_use]
    pub fn missing_after_ms(&self, tag: u16) -> Option<u64> {
        let reference = self.reference(tag)?;
        Some(MIN_MISSING_MS.max(u64::from(reference.latency_ms) * MISSING_FACTOR))
    }

    /// Records that a new flow was sent to the target.
    pub fn record_admitted(&mut self, now_ms: u64) {
        if let Status::Probation { trial_since_ms, .. } = &mut self.status {
            *trial_since_ms = Some(now_ms);
        }
    }

    /// Records the outcome of a request. Returns whether that changes the suspicion.
    pub fn record(
        &mut self,
        flow: FlowKey,
        outcome: Outcome,
        now_ms: u64,
    ) -> Option<SuspicionChange> {
        let observation = Observation {
            flow,
            tag: class_tag(flow.service),
            outcome,
            at_ms: now_ms,
        };
        self.sample(&observation);
        let look = self.look(&observation);
        if look != Look::Unclear {
            self.quick = self.quick << 1 | u32::from(look == Look::Quick);
            self.judged = self.judged.saturating_add(1);
        }
        match self.status {
            Status::Trusted if look == Look::Unclear => None,
            Status::Trusted => {
                if self.window.len() == WINDOW {
                    self.window.pop_front();
                }
                self.window.push_back(observation);
                let is_failing = look == Look::Failed && self.is_failing(Some(now_ms));
                is_failing.then(|| self.suspect(&observation, now_ms))
            }
            Status::Paused { .. } => {
                if self.was_only_slow(outcome) {
                    self.status = Status::Paused { until_ms: now_ms };
                }
                None
            }
            Status::Probation { .. } if look == Look::Failed => {
                Some(self.suspect(&observation, now_ms))
            }
            Status::Probation { well, .. } => {
                let well = well + u32::from(look != Look::Unclear);
                self.status = Status::Probation {
                    well,
                    trial_since_ms: None,
                };
                let is_trusted = well >= PROBATION_RESPONSES;
                is_trusted.then(|| self.trust(TrustedAgain::RespondsWell, now_ms))
            }
        }
    }

    /// Whether a late response shows that the target, which was suspected only for missing
    /// responses, was stalled rather than failing.
    fn was_only_slow(&self, outcome: Outcome) -> bool {
        let is_late =
            matches!(outcome, Outcome::Response { latency_ms, .. } if latency_ms >= MIN_MISSING_MS);
        let has_failed = |observation: &Observation| {
            !matches!(observation.outcome, Outcome::Missing { .. })
                && self.look(observation) == Look::Failed
        };
        is_late && !self.window.iter().any(has_failed)
    }

    /// Replaces the figures of the siblings, and judges the requests that led to a suspicion again. A
    /// change of the mix of requests reaches the siblings' figures only after it was seen here.
    pub fn set_references(
        &mut self,
        references: Vec<ClassReference>,
        now_ms: u64,
    ) -> Option<SuspicionChange> {
        self.references = references;
        let is_dispelled = self.status != Status::Trusted && !self.is_failing(None);
        is_dispelled.then(|| self.trust(TrustedAgain::SiblingsAlike, now_ms))
    }

    /// Puts a target whose pause has ended on probation.
    pub fn tick(&mut self, now_ms: u64) {
        if matches!(self.status, Status::Paused { until_ms } if until_ms <= now_ms) {
            self.status = Status::Probation {
                well: 0,
                trial_since_ms: None,
            };
        }
    }

    /// Discards what is known of the previous incarnation of the target.
    pub fn restart_target(&mut self, now_ms: u64) -> Option<SuspicionChange> {
        let was_suspect = self.status != Status::Trusted;
        let change = self.trust(TrustedAgain::TargetRestarted, now_ms);
        *self = Self {
            references: std::mem::take(&mut self.references),
            ..Self::default()
        };
        was_suspect.then_some(change)
    }

    /// The measured classes with recent samples, as reported to the siblings.
    #[must_use]
    pub fn class_responses(&self, now_ms: u64) -> Vec<ClassResponses> {
        let classes = self.classes.iter().map(|class| {
            let is_recent =
                |sample: &&Sample| now_ms.saturating_sub(sample.at_ms) <= FIGURES_TTL_MS;
            let recent = || class.samples.iter().filter(is_recent);
            ClassResponses {
                tag: class.tag,
                latency_ms: median(recent().map(|sample| sample.latency_ms)),
                first_packet_len: median(recent().map(|sample| sample.first_packet_len)),
                samples: u32::try_from(recent().count()).unwrap_or(u32::MAX),
            }
        });
        classes.filter(|class| class.samples > 0).collect()
    }

    fn reference(&self, tag: u16) -> Option<&ClassReference> {
        find_reference(&self.references, tag)
    }

    /// Adds a response to the samples of its class. With too many classes, one without recent
    /// samples is replaced.
    fn sample(&mut self, observation: &Observation) {
        let Outcome::Response {
            latency_ms,
            first_packet_len,
        } = observation.outcome
        else {
            return;
        };
        let now_ms = observation.at_ms;
        let index = match self
            .classes
            .binary_search_by_key(&observation.tag, |c| c.tag)
        {
            Ok(index) => index,
            Err(_) if self.classes.len() >= MAX_CLASSES => {
                self.classes.retain(|class| {
                    let newest = class.samples.back();
                    newest.is_some_and(|s| now_ms.saturating_sub(s.at_ms) <= FIGURES_TTL_MS)
                });
                if self.classes.len() < MAX_CLASSES {
                    self.sample(observation);
                }
                return;
            }
            Err(index) => {
                let class = ClassSamples {
                    tag: observation.tag,
                    samples: VecDeque::with_capacity(MAX_SAMPLES),
                };
                self.classes.insert(index, class);
                index
            }
        };
        let samples = &mut self.classes[index].samples;
        if samples.len() == MAX_SAMPLES {
            samples.pop_front();
        }
        samples.push_back(Sample {
            at_ms: now_ms,
            latency_ms: u32::try_from(latency_ms).unwrap_or(u32::MAX),
            first_packet_len: first_packet_len.into(),
        });
    }

    fn look(&self, observation: &Observation) -> Look {
        look(observation, &self.references)
    }

    /// Whether enough of the judged requests look failed. With `now_ms`, old ones do not count.
    fn is_failing(&self, now_ms: Option<u64>) -> bool {
        let is_recent = |observation: &&Observation| {
            let age_ms = now_ms.map_or(0, |now_ms| now_ms.saturating_sub(observation.at_ms));
            age_ms <= OBSERVATION_TTL_MS
        };
        let recent = self.window.iter().filter(is_recent);
        let failed = recent.filter(|observation| self.look(observation) == Look::Failed);
        let mut flows: Vec<FlowKey> = failed.map(|observation| observation.flow).collect();
        let failed = flows.len();
        flows.sort_unstable();
        flows.dedup();
        failed >= MIN_FAILED && flows.len() >= MIN_FAILED_FLOWS && !self.is_fast(failed)
    }

    /// Whether quick responses of full length are too frequent for the time of the failed-looking ones
    /// to say anything, or not known yet.
    fn is_fast(&self, failed: usize) -> bool {
        let quick = usize::try_from(self.quick.count_ones()).unwrap_or(usize::MAX);
        self.judged < MIN_JUDGED || quick * 100 > failed * MAX_QUICK_PERCENT
    }

    /// Starts a pause.
    fn suspect(&mut self, last: &Observation, now_ms: u64) -> SuspicionChange {
        let is_relapse = self.status != Status::Trusted;
        let is_recent = now_ms.saturating_sub(self.since_ms) < RELAPSE_WINDOW_MS;
        self.pause_ms = if self.pause_ms > 0 && (is_relapse || is_recent) {
            (self.pause_ms * 2).min(MAX_PAUSE_MS)
        } else {
            FIRST_PAUSE_MS
        };
        if !is_relapse {
            self.since_ms = now_ms;
        }
        self.status = Status::Paused {
            until_ms: now_ms + self.pause_ms,
        };
        let failed = self.window.iter().filter(|o| self.look(o) == Look::Failed);
        SuspicionChange::Suspected(Suspected {
            failed: failed.count(),
            judged: self.window.len(),
            outcome: last.outcome,
            reference: self.reference(last.tag).copied().unwrap_or_default(),
            pause_ms: self.pause_ms,
            is_relapse,
        })
    }

    fn trust(&mut self, reason: TrustedAgain, now_ms: u64) -> SuspicionChange {
        let suspect_for_ms = now_ms.saturating_sub(self.since_ms);
        self.status = Status::Trusted;
        self.since_ms = now_ms;
        self.window.clear();
        SuspicionChange::Trusted {
            reason,
            suspect_for_ms,
        }
    }
}

fn find_reference(references: &[ClassReference], tag: u16) -> Option<&ClassReference> {
    let index = references.binary_search_by_key(&tag, |class| class.tag);
    index.ok().map(|index| &references[index])
}

/// Compares an outcome with the figures of the siblings.
fn look(observation: &Observation, references: &[ClassReference]) -> Look {
    let Some(reference) = find_reference(references, observation.tag) else {
        return Look::Unclear;
    };
    let Outcome::Response {
        latency_ms,
        first_packet_len,
    } = observation.outcome
    else {
        return Look::Failed;
    };
    let latency_ms = u32::try_from(latency_ms).unwrap_or(u32::MAX);
    let len = u32::from(first_packet_len);
    let is_less = |value: u32, divisor: u32, median: u32| value.saturating_mul(divisor) < median;
    let is_small = is_less(len, SMALL_DIVISOR, reference.first_packet_len);
    let (is_quick, is_error_len) = if reference.latency_ms >= MIN_QUICK_MEDIAN_MS {
        (
            is_less(latency_ms, QUICK_DIVISOR, reference.latency_ms),
            is_small,
        )
    } else {
        (
            latency_ms <= ERROR_MS && reference.latency_ms > ERROR_MS * SHORT_DIVISOR,
            is_less(len, SHORT_DIVISOR, reference.first_packet_len),
        )
    };
    let is_half_as_long = !is_less(latency_ms, 2, reference.latency_ms);
    let is_as_large = len.saturating_mul(4) >= reference.first_packet_len.saturating_mul(3);
    if is_quick && is_error_len {
        Look::Failed
    } else if is_quick && !is_small {
        Look::Quick
    } else if is_half_as_long || is_as_large {
        Look::Well
    } else {
        Look::Unclear
    }
}
