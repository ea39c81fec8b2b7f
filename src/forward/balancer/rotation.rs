//! Departure of a stopping balancer from the fabric's rotation.
//!
//! During overlapping rolling restarts, the balancers of a failure domain leave the rotation one
//! after another. Once fewer than half of them are in rotation, the fabric sends packets to all of
//! them, including those that are restarting.

/// Time within which the fabric detects a change of readiness: two probes half a second apart, plus
/// a margin for packets in flight.
const DETECTION_MS: u64 = 1_500;
/// Maximum time to wait for the other balancers of the failure domain. Together with `DETECTION_MS`
/// it stays well below the platform's grace period of six seconds.
const MAX_WAIT_MS: u64 = 3_000;

/// Stage of a balancer between startup and exit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    /// Normal operation. `ready_since_ms` is `None` while the balancer cannot forward packets.
    Serving { ready_since_ms: Option<u64> },
    /// Waiting until enough other balancers are in rotation; readiness probes still succeed.
    Waiting { stop_requested_at_ms: u64 },
    /// Readiness probes fail, so that the fabric removes the balancer.
    Leaving { since_ms: u64 },
}

/// State of a balancer in the fabric's rotation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Rotation {
    stage: Stage,
}

impl Default for Rotation {
    fn default() -> Self {
        Self::new()
    }
}

impl Rotation {
    /// Creates the state of a balancer that has just started and is not ready yet.
    ///
    /// ```
    /// use bamboowind::forward::balancer::rotation::Rotation;
    ///
    /// let mut rotation = Rotation::new();
    /// rotation.stop(1_000);
    /// rotation.update(true, true, 1_000);
    /// assert!(!rotation.is_ready());
    /// assert!(rotation.has_left(2_500));
    /// ```
    #[must_use]
    pub fn new() -> Self {
        Self {
            stage: Stage::Serving {
                ready_since_ms: None,
            },
        }
    }

    /// Starts leaving the rotation after a request to stop.
    pub fn stop(&mut self, now_ms: u64) {
        if matches!(self.stage, Stage::Serving { .. }) {
            self.stage = Stage::Waiting {
                stop_requested_at_ms: now_ms,
            };
        }
    }

    /// Updates the state from whether the balancer can forward packets and whether enough other
    /// balancers would remain in rotation.
    pub fn update(&mut self, can_forward: bool, can_leave: bool, now_ms: u64) {
        match &mut self.stage {
            Stage::Serving { ready_since_ms } if can_forward => {
                ready_since_ms.get_or_insert(now_ms);
            }
            Stage::Serving { ready_since_ms } => *ready_since_ms = None,
            Stage::Waiting {
                stop_requested_at_ms,
            } => {
                let waited_ms = now_ms.saturating_sub(*stop_requested_at_ms);
                if can_leave || !can_forward || waited_ms >= MAX_WAIT_MS {
                    self.stage = Stage::Leaving { since_ms: now_ms };
                }
            }
            Stage::Leaving { .. } => {}
        }
    }

    /// Whether readiness probes should succeed.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        match self.stage {
            Stage::Serving { ready_since_ms } => ready_since_ms.is_some(),
            Stage::Waiting { .. } => true,
            Stage::Leaving { .. } => false,
        }
    }

    /// Whether the fabric can be assumed to send packets to the balancer. After startup this is so
    /// once the balancer has been ready for half of `DETECTION_MS`.
    #[must_use]
    pub fn is_in_rotation(&self, now_ms: u64) -> bool {
        match self.stage {
            Stage::Serving { ready_since_ms } => ready_since_ms
                .is_some_and(|since_ms| now_ms.saturating_sub(since_ms) >= DETECTION_MS / 2),
            Stage::Waiting { .. } => true,
            Stage::Leaving { .. } => false,
        }
    }

    /// Whether the fabric has detected that the balancer is leaving, so that the process can exit.
    #[must_use]
    pub fn has_left(&self, now_ms: u64) -> bool {
        match self.stage {
            Stage::Leaving { since_ms } => now_ms.saturating_sub(since_ms) >= DETECTION_MS,
            Stage::Serving { .. } | Stage::Waiting { .. } => false,
        }
    }
}
