//! Moving averages of the load of a target.

/// Time constant of the moving average of the utilisation.
const UTILISATION_TIME_CONSTANT_MS: f64 = 2_000.0;
const PERMILLE: f64 = 1_000.0;

/// Reciprocal of the weight of a new sample.
const EWMA_DIVISOR: u64 = 8;

/// An exponentially weighted moving average (EWMA) of integers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ewma {
    /// `None` before the first sample.
    value: Option<u64>,
}

impl Ewma {
    /// Adds a sample.
    ///
    /// ```
    /// use bamboowind::agent::load::Ewma;
    ///
    /// let mut latency_us = Ewma::default();
    /// latency_us.add(800);
    /// latency_us.add(1_600);
    /// assert_eq!(latency_us.value(), 900);
    /// ```
    pub fn add(&mut self, sample: u64) {
        self.value = Some(match self.value {
            None => sample,
            Some(value) => (value * (EWMA_DIVISOR - 1) + sample) / EWMA_DIVISOR,
        });
    }

    /// The current average; zero before the first sample.
    #[must_use]
    pub fn value(&self) -> u64 {
        self.value.unwrap_or_default()
    }
}

/// Smoothed share of a target's slots in use, between 0 and 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct Utilisation(f64);

impl Utilisation {
    /// Converts from thousandths.
    #[must_use]
    pub fn from_permille(permille: u32) -> Self {
        Self(f64::from(permille) / PERMILLE)
    }

    /// The utilisation in thousandths.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Within 0..=1,000.
    pub fn permille(self) -> u32 {
        (self.0 * PERMILLE).round() as u32
    }

    /// Adds a sample: `running` of `slots` were in use during the last `elapsed_ms`.
    ///
    /// ```
    /// use bamboowind::agent::load::Utilisation;
    ///
    /// let mut utilisation = Utilisation::default();
    /// (0..1_000).for_each(|_| utilisation.observe(4, 5, 10));
    /// assert!((790..=800).contains(&utilisation.permille()));
    /// ```
    pub fn observe(&mut self, running: u32, slots: u32, elapsed_ms: u32) {
        let current = (f64::from(running) / f64::from(slots.max(1))).min(1.0);
        let weight = (f64::from(elapsed_ms) / UTILISATION_TIME_CONSTANT_MS).min(1.0);
        self.0 += (current - self.0) * weight;
    }

    /// The utilisation as a fraction between 0 and 1.
    #[must_use]
    pub fn value(self) -> f64 {
        self.0
    }
}
