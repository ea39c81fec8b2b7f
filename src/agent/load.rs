//! Smoothed measurements of a target's load.

/// Weight of a new sample is one part in this many.
const SMOOTHING: u64 = 8;

/// An exponentially weighted moving average of whole numbers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Smoothed {
    value: Option<u64>,
}

impl Smoothed {
    /// Adds a sample.
    ///
    /// ```
    /// use bamboowind::agent::load::Smoothed;
    ///
    /// let mut latency_us = Smoothed::default();
    /// latency_us.add(800);
    /// latency_us.add(1_600);
    /// assert_eq!(latency_us.value(), 900);
    /// ```
    pub fn add(&mut self, sample: u64) {
        self.value = Some(match self.value {
            None => sample,
            Some(value) => (value * (SMOOTHING - 1) + sample) / SMOOTHING,
        });
    }

    /// The average; zero before the first sample.
    #[must_use]
    pub fn value(&self) -> u64 {
        self.value.unwrap_or_default()
    }
}
