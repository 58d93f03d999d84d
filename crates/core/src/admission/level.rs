//! Load level that a gate reports with its responses.

use std::fmt;

data_type! {
    /// Load of one gate, reported to entry nodes with responses.
    pub struct LoadLevel {
        /// Number of requests in flight at the upstream.
        pub in_flight: u32,
        /// Limit for requests in flight.
        pub limit: u32,
        /// Number of requests waiting for a slot.
        pub queued: u32,
        /// Least urgent rank that the gate would queue or dispatch now; `None` if it would refuse
        /// every rank.
        pub admits_rank: Option<u8>,
    }
}

impl LoadLevel {
    /// Returns whether the gate would queue or dispatch a request of this rank.
    pub fn admits(&self, rank: u8) -> bool {
        self.admits_rank.is_some_and(|admitted| rank <= admitted)
    }

    /// Parses the header form, `in_flight/limit/queued/admits`; `None` if the text is malformed.
    ///
    /// `admits` is a rank, or `-` if the gate would refuse every rank.
    ///
    /// ```
    /// use snipehollow_core::admission::LoadLevel;
    ///
    /// let load_level = LoadLevel::parse("3/15/0/255").unwrap();
    /// assert_eq!(load_level.to_string(), "3/15/0/255");
    /// assert!(load_level.admits(9));
    /// ```
    pub fn parse(text: &str) -> Option<LoadLevel> {
        let mut fields = text.split('/');
        let in_flight = fields.next()?.parse().ok()?;
        let limit = fields.next()?.parse().ok()?;
        let queued = fields.next()?.parse().ok()?;
        let admits_rank = match fields.next()? {
            "-" => None,
            rank => Some(rank.parse().ok()?),
        };
        if fields.next().is_some() {
            return None;
        }
        Some(LoadLevel { in_flight, limit, queued, admits_rank })
    }
}

impl fmt::Display for LoadLevel {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}/", self.in_flight, self.limit, self.queued)?;
        match self.admits_rank {
            Some(rank) => write!(f, "{rank}"),
            None => f.write_str("-"),
        }
    }
}
