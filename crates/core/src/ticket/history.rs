//! Compact record of what happened to each ticket serial.
//!
//! At two bits per serial it can be kept far longer than the responses, so that an old ticket is
//! still refused with the right outcome.

use std::collections::VecDeque;

key_type! {
    /// State of one ticket serial.
    pub enum SerialState {
        /// Never claimed, or released because its request did not run.
        Unused,
        /// Claimed; whether its request ran is not known.
        Claimed,
        /// Its request ran to completion.
        Ran,
        /// Barred from use: its request did not run here, and the caller was sent elsewhere.
        Void,
        /// Too old: the state was evicted from the history.
        Forgotten,
    }
}

const SERIALS_PER_WORD: u64 = 32;

/// States of the most recent serials, at two bits each.
///
/// ```
/// use snipehollow_core::ticket::{SerialHistory, SerialState};
///
/// let mut history = SerialHistory::new(64);
/// history.set(40, SerialState::Ran);
/// assert_eq!(history.get(40), SerialState::Ran);
/// assert_eq!(history.get(41), SerialState::Unused);
/// history.set(200, SerialState::Claimed);
/// assert_eq!(history.get(40), SerialState::Forgotten);
/// ```
#[derive(Clone, Debug)]
pub struct SerialHistory {
    words: VecDeque<u64>,
    /// Number of words evicted so far: the index of `words[0]` counted from serial 0.
    first_word: u64,
    max_words: usize,
}

impl SerialHistory {
    /// Creates an empty history that keeps the last `serials` serials, rounded up to a full word
    /// of 32.
    pub fn new(serials: u64) -> SerialHistory {
        let max_words = serials.div_ceil(SERIALS_PER_WORD).max(1) as usize;
        SerialHistory { words: VecDeque::new(), first_word: 0, max_words }
    }

    /// Returns the state of a serial; `Unused` for one that was never set.
    pub fn get(&self, serial: u64) -> SerialState {
        let word = serial / SERIALS_PER_WORD;
        let Some(index) = word.checked_sub(self.first_word) else {
            return SerialState::Forgotten;
        };
        let bits = self.words.get(index as usize).map_or(0, |word| word >> bit_offset(serial));
        match bits & 0b11 {
            0 => SerialState::Unused,
            1 => SerialState::Claimed,
            2 => SerialState::Ran,
            _ => SerialState::Void,
        }
    }

    /// Records the state of a serial, and evicts the oldest serials if the history is full. Does
    /// nothing for a serial that was itself evicted.
    pub fn set(&mut self, serial: u64, state: SerialState) {
        let bits = match state {
            SerialState::Unused => 0u64,
            SerialState::Claimed => 1,
            SerialState::Ran => 2,
            SerialState::Void => 3,
            SerialState::Forgotten => return,
        };
        let word = serial / SERIALS_PER_WORD;
        if word < self.first_word {
            return;
        }
        self.extend_to(word);
        let Some(index) = word.checked_sub(self.first_word) else {
            return;
        };
        let entry = &mut self.words[index as usize];
        *entry &= !(0b11 << bit_offset(serial));
        *entry |= bits << bit_offset(serial);
    }

    /// Returns the memory used for the states, in bytes.
    pub fn bytes(&self) -> usize {
        self.words.len() * size_of::<u64>()
    }

    fn extend_to(&mut self, word: u64) {
        while self.first_word + self.words.len() as u64 <= word {
            self.words.push_back(0);
            if self.words.len() > self.max_words {
                self.words.pop_front();
                self.first_word += 1;
            }
        }
    }
}

fn bit_offset(serial: u64) -> u64 {
    (serial % SERIALS_PER_WORD) * 2
}
