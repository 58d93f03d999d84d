//! Two bits for each serial, kept long after the answer is gone.

use std::collections::VecDeque;

key_type! {
    /// What is known of one serial.
    pub enum SerialState {
        /// Never claimed, or given back before dispatch.
        Unused,
        /// Claimed; whether it ran is not known.
        Claimed,
        /// Ran to its end.
        Ran,
        /// Never to be run, because its host leaves.
        Void,
        /// Older than the history reaches.
        Forgotten,
    }
}

const SERIALS_PER_WORD: u64 = 32;

/// State of the most recent serials, at two bits each.
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
    first_word: u64,
    max_words: usize,
}

impl SerialHistory {
    /// Creates a history of at least this many serials.
    pub fn new(serials: u64) -> SerialHistory {
        let max_words = serials.div_ceil(SERIALS_PER_WORD).max(1) as usize;
        SerialHistory { words: VecDeque::new(), first_word: 0, max_words }
    }

    /// Returns the state of a serial.
    pub fn get(&self, serial: u64) -> SerialState {
        let word = serial / SERIALS_PER_WORD;
        let Some(index) = word.checked_sub(self.first_word) else {
            return SerialState::Forgotten;
        };
        let bits = self.words.get(index as usize).map_or(0, |word| word >> shift(serial));
        match bits & 0b11 {
            0 => SerialState::Unused,
            1 => SerialState::Claimed,
            2 => SerialState::Ran,
            _ => SerialState::Void,
        }
    }

    /// Records the state of a serial; ignored for one that is forgotten.
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
        *entry &= !(0b11 << shift(serial));
        *entry |= bits << shift(serial);
    }

    /// Returns the memory that the history takes, in bytes.
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

fn shift(serial: u64) -> u64 {
    (serial % SERIALS_PER_WORD) * 2
}
