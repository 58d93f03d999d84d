//! Splits the requests of a route among its targets by weight.

/// Chooses the targets of a route in proportion to their weights.
///
/// Uses smooth weighted round robin: in each cycle, which is as many requests long as the sum of
/// the weights, every target is chosen exactly as many times as its weight, spread evenly over the
/// cycle.
///
/// ```
/// use snipehollow_core::routing::WeightedChoice;
///
/// let mut choice = WeightedChoice::default();
/// let picks: Vec<usize> = (0..4).filter_map(|_| choice.next(&[3, 1])).collect();
/// assert_eq!(picks, [0, 0, 1, 0]);
/// ```
#[derive(Clone, Debug, Default)]
pub struct WeightedChoice {
    weights: Vec<u32>,
    credits: Vec<i64>,
}

impl WeightedChoice {
    /// Creates a choice that starts `offset` requests into the cycle, modulo its length.
    ///
    /// Nodes with different offsets do not all choose the same target at the same time.
    pub fn starting_at(weights: &[u32], offset: u64) -> WeightedChoice {
        let mut choice = WeightedChoice::default();
        let sum: u64 = weights.iter().map(|weight| u64::from(*weight)).sum();
        for _ in 0..offset.checked_rem(sum).unwrap_or(0).min(MAX_START_OFFSET) {
            choice.next(weights);
        }
        choice
    }

    /// Returns the index of the next target; `None` if no weight is above zero.
    ///
    /// Changed weights start a new cycle.
    pub fn next(&mut self, weights: &[u32]) -> Option<usize> {
        if self.weights != weights {
            self.weights = weights.to_vec();
            self.credits = vec![0; weights.len()];
        }
        let sum: i64 = weights.iter().map(|weight| i64::from(*weight)).sum();
        for (credit, weight) in self.credits.iter_mut().zip(weights) {
            *credit += i64::from(*weight);
        }
        let eligible = (0..weights.len()).filter(|i| weights[*i] > 0);
        let chosen = eligible.max_by_key(|i| (self.credits[*i], std::cmp::Reverse(*i)))?;
        self.credits[chosen] -= sum;
        Some(chosen)
    }
}

/// Maximum number of requests that a start offset skips; bounds the cost of creating a choice.
const MAX_START_OFFSET: u64 = 1_000;
