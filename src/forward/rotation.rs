//! When a stopping balancer leaves the fabric's rotation.
//!
//! Answers rolling restarts that overlap: balancers of one failure domain leave one after the
//! other, because the fabric sends packets to all of them, restarting or not, once fewer than half
//! are in rotation.

/// Time after which the fabric has noticed a balancer that is ready, or is not: two probes half a
/// second apart, and some time for the packets under way.
const DETECTION_MS: u64 = 1_500;
/// Longest wait for the other balancers of the failure domain. With the time to be noticed it
/// stays well under the platform's grace time of six seconds.
const MAX_WAIT_MS: u64 = 3_000;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    Serving { ready_since_ms: Option<u64> },
    Waiting { stop_requested_at_ms: u64 },
    Leaving { since_ms: u64 },
}

/// A balancer's place in the fabric's rotation.
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
    /// A balancer that has just started.
    ///
    /// ```
    /// use bamboowind::forward::rotation::Rotation;
    ///
    /// let mut rotation = Rotation::new();
    /// rotation.stop(1_000);
    /// rotation.update(true, true, 1_000);
    /// assert!(!rotation.is_ready());
    /// assert!(rotation.is_over(2_500));
    /// ```
    #[must_use]
    pub fn new() -> Self {
        Self {
            stage: Stage::Serving {
                ready_since_ms: None,
            },
        }
    }

    /// The process is asked to stop.
    pub fn stop(&mut self, now_ms: u64) {
        if matches!(self.stage, Stage::Serving { .. }) {
            self.stage = Stage::Waiting {
                stop_requested_at_ms: now_ms,
            };
        }
    }

    /// Takes notice of whether the balancer can forward, and whether enough others would stay.
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

    /// Whether readiness probes are answered with yes.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        match self.stage {
            Stage::Serving { ready_since_ms } => ready_since_ms.is_some(),
            Stage::Waiting { .. } => true,
            Stage::Leaving { .. } => false,
        }
    }

    /// Whether the fabric has surely noticed that the balancer is ready.
    #[must_use]
    pub fn is_in_rotation(&self, now_ms: u64) -> bool {
        match self.stage {
            Stage::Serving { ready_since_ms } => ready_since_ms
                .is_some_and(|since_ms| now_ms.saturating_sub(since_ms) >= DETECTION_MS / 2),
            Stage::Waiting { .. } => true,
            Stage::Leaving { .. } => false,
        }
    }

    /// Whether the fabric has noticed that the balancer leaves, so that the process can end.
    #[must_use]
    pub fn has_left(&self, now_ms: u64) -> bool {
        match self.stage {
            Stage::Leaving { since_ms } => now_ms.saturating_sub(since_ms) >= DETECTION_MS,
            Stage::Serving { .. } | Stage::Waiting { .. } => false,
        }
    }
}
