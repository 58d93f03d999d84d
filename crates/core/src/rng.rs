//! Seeded pseudorandom numbers (SplitMix64), so that random decisions can be replayed from a seed.

/// Deterministic pseudorandom number generator; not suitable for secrets.
#[derive(Clone, Debug)]
pub struct Rng {
    state: u64,
}

impl Rng {
    /// Creates a generator from a seed.
    ///
    /// ```
    /// use snipehollow_core::rng::Rng;
    ///
    /// assert_eq!(Rng::new(7).next_u64(), Rng::new(7).next_u64());
    /// ```
    pub fn new(seed: u64) -> Rng {
        Rng { state: seed }
    }

    /// Returns 64 random bits.
    pub fn next_u64(&mut self) -> u64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.state;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// Returns a random number below `bound`, or 0 if `bound` is 0.
    pub fn below(&mut self, bound: usize) -> usize {
        if bound == 0 {
            return 0;
        }
        (self.next_u64() % bound as u64) as usize
    }

    /// Returns a random number from 0 up to but not including 1.
    pub fn unit(&mut self) -> f64 {
        (self.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Returns true with the given probability.
    pub fn chance(&mut self, probability: f64) -> bool {
        self.unit() < probability
    }

    /// Moves `count` randomly chosen items to the front of `items` and returns them; all items if
    /// there are fewer.
    pub fn sample<'a, T>(&mut self, items: &'a mut [T], count: usize) -> &'a mut [T] {
        let count = count.min(items.len());
        for i in 0..count {
            let j = i + self.below(items.len() - i);
            items.swap(i, j);
        }
        &mut items[..count]
    }
}
