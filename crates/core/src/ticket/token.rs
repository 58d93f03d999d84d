//! Tickets as they are sent in headers: their fields, text form and authentication.

use std::fmt;

use crate::ids::HostName;
use crate::time::Timestamp;

key_type! {
    /// Random number that a process draws when it starts, to tell its tickets from those of
    /// earlier processes of the host.
    pub struct ProcessStartId(pub u64);
}

/// Maximum length of an accepted ticket text, in bytes.
const MAX_TICKET_BYTES: usize = 320;
const SEPARATOR: char = '~';
const MAC_BYTES: usize = 16;

/// Secret key that authenticates the tickets of one process; it never leaves the process.
#[derive(Clone)]
pub struct TicketKey([u8; 32]);

impl TicketKey {
    /// Creates a key from 32 bytes, which must be random.
    pub fn new(bytes: [u8; 32]) -> TicketKey {
        TicketKey(bytes)
    }

    fn mac(&self, ticket: &Ticket) -> [u8; MAC_BYTES] {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        hasher.update(ticket.host.as_str().as_bytes());
        hasher.update(&ticket.start.0.to_le_bytes());
        hasher.update(&ticket.serial.to_le_bytes());
        hasher.update(&ticket.expires.as_micros().to_le_bytes());
        let mut mac = [0; MAC_BYTES];
        mac.copy_from_slice(&hasher.finalize().as_bytes()[..MAC_BYTES]);
        mac
    }
}

impl fmt::Debug for TicketKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("TicketKey(..)")
    }
}

/// Permission to run one request at most once, in the process that issued the ticket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// Host that issued the ticket, the only one that may run the request.
    pub host: HostName,
    /// Identifies the process that issued the ticket.
    pub start: ProcessStartId,
    /// Serial number, unique within that process.
    pub serial: u64,
    /// Expiry time on the clock of that process.
    pub expires: Timestamp,
    mac: [u8; MAC_BYTES],
}

impl Ticket {
    pub(crate) fn issue(
        key: &TicketKey,
        host: HostName,
        start: ProcessStartId,
        serial: u64,
        expires: Timestamp,
    ) -> Ticket {
        let mut ticket = Ticket { host, start, serial, expires, mac: [0; MAC_BYTES] };
        ticket.mac = key.mac(&ticket);
        ticket
    }

    /// Returns whether the ticket was issued with this key and is unchanged.
    pub(crate) fn is_genuine(&self, key: &TicketKey) -> bool {
        // Compares in constant time: a comparison that stops at the first difference would let an
        // attacker guess the authentication code byte by byte from the time that it takes.
        let expected = key.mac(self);
        let difference = expected.iter().zip(&self.mac).fold(0, |acc, (a, b)| acc | (a ^ b));
        difference == 0
    }

    /// Parses the text form `host~start~serial~expires~mac`; returns `None` if it is malformed.
    ///
    /// The authentication code is not checked, because only the issuer has the key.
    ///
    /// ```
    /// use snipehollow_core::ticket::Ticket;
    ///
    /// assert!(Ticket::parse("no ticket").is_none());
    /// ```
    pub fn parse(text: &str) -> Option<Ticket> {
        if text.len() > MAX_TICKET_BYTES {
            return None;
        }
        let mut fields = text.split(SEPARATOR);
        let host = HostName::new(fields.next()?).ok()?;
        let start = ProcessStartId(u64::from_str_radix(fields.next()?, 16).ok()?);
        let serial = fields.next()?.parse().ok()?;
        let expires = Timestamp::from_micros(fields.next()?.parse().ok()?);
        let mac = u128::from_str_radix(fields.next()?, 16).ok()?.to_be_bytes();
        if fields.next().is_some() {
            return None;
        }
        Some(Ticket { host, start, serial, expires, mac })
    }
}

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mac = u128::from_be_bytes(self.mac);
        write!(
            f,
            "{}~{:x}~{}~{}~{:032x}",
            self.host,
            self.start.0,
            self.serial,
            self.expires.as_micros(),
            mac
        )
    }
}
