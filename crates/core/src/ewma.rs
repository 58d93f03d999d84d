//! Exponentially weighted moving average.

/// Exponentially weighted moving average that starts at its first sample.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ewma {
    value: Option<f64>,
}

impl Ewma {
    /// Adds a sample with weight `alpha`, from 0 (no effect) to 1 (replaces the average).
    ///
    /// ```
    /// use snipehollow_core::ewma::Ewma;
    ///
    /// let mut avg = Ewma::default();
    /// avg.add(10.0, 0.5);
    /// avg.add(20.0, 0.5);
    /// assert_eq!(avg.get(), Some(15.0));
    /// ```
    pub fn add(&mut self, sample: f64, alpha: f64) {
        self.value = Some(match self.value {
            Some(value) => value + alpha * (sample - value),
            None => sample,
        });
    }

    /// Returns the average, or `None` before the first sample.
    pub fn get(&self) -> Option<f64> {
        self.value
    }
}
