//! Memory for the bodies that the process holds.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;

/// Part of the limit by which responses may exceed it, as a divisor. Their requests have run, so
/// they are held while new requests are already refused.
const RESPONSE_HEADROOM_DIVISOR: usize = 4;
/// Size of the segments in which a body is kept until it is complete. One buffer that grows would take up
/// to three times its length while it is copied.
const SEGMENT_BYTES: usize = 64 << 10;

/// Counts the bytes of request and response bodies that the process holds, for slow callers and
/// upstreams in particular, against a limit.
#[derive(Clone, Debug)]
pub(crate) struct HeldBytes {
    held: Arc<AtomicUsize>,
    limit: usize,
}

/// Which limit applies to a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyKind {
    Request,
    Response,
}

/// A body that is being received. Its bytes are counted until it and all buffers made from it are
/// dropped.
#[derive(Debug)]
pub(crate) struct HeldBody {
    /// The body, if it has arrived in one piece so far.
    whole: Bytes,
    /// The body, if it has arrived in several pieces. All segments but the last one are full.
    segments: Vec<Vec<u8>>,
    reservation: Reservation,
}

/// The limit leaves no room for more bytes of a body.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct LimitReached;

/// Bytes counted for one body.
#[derive(Debug)]
struct Reservation {
    owner: HeldBytes,
    bytes: usize,
}

/// Complete body with the reservation of its bytes.
struct CountedBytes {
    bytes: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for CountedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl HeldBytes {
    /// Creates a count with a limit in bytes.
    pub(crate) fn new(limit: usize) -> HeldBytes {
        HeldBytes { held: Arc::default(), limit }
    }

    /// Returns the number of bytes held.
    pub(crate) fn get(&self) -> usize {
        self.held.load(Ordering::Acquire)
    }

    /// Starts to receive a body.
    pub(crate) fn body(&self) -> HeldBody {
        let reservation = Reservation { owner: self.clone(), bytes: 0 };
        HeldBody { whole: Bytes::new(), segments: Vec::new(), reservation }
    }

    fn limit(&self, kind: BodyKind) -> usize {
        match kind {
            BodyKind::Request => self.limit,
            BodyKind::Response => self.limit + self.limit / RESPONSE_HEADROOM_DIVISOR,
        }
    }
}

impl HeldBody {
    /// Appends bytes, or leaves the body unchanged if the limit has no room for them.
    ///
    /// A body may exceed the limit while no other is held, so that the limit on the size of a body
    /// alone decides about the largest one.
    pub(crate) fn push(&mut self, kind: BodyKind, data: Bytes) -> Result<(), LimitReached> {
        let Reservation { owner, bytes } = &mut self.reservation;
        let limit = owner.limit(kind);
        let reserve = |held: usize| {
            let total = held + data.len();
            (total <= limit || held == *bytes).then_some(total)
        };
        owner
            .held
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, reserve)
            .map_err(|_| LimitReached)?;
        *bytes += data.len();
        if self.whole.is_empty() && self.segments.is_empty() {
            self.whole = data;
            return Ok(());
        }
        let first = std::mem::take(&mut self.whole);
        self.append(&first);
        self.append(&data);
        Ok(())
    }

    fn append(&mut self, mut data: &[u8]) {
        while !data.is_empty() {
            match self.segments.last().map(Vec::len) {
                // Most bodies fit into a part of the first segment.
                None => self.segments.push(Vec::new()),
                Some(SEGMENT_BYTES) => self.segments.push(Vec::with_capacity(SEGMENT_BYTES)),
                Some(_) => {}
            }
            if let Some(last) = self.segments.last_mut() {
                let (fitting, rest) = data.split_at(data.len().min(SEGMENT_BYTES - last.len()));
                last.extend_from_slice(fitting);
                data = rest;
            }
        }
    }

    /// Returns the body, whose bytes stay counted until the last clone is dropped.
    pub(crate) fn finish(self) -> Bytes {
        let bytes = match self.segments.is_empty() {
            true => self.whole,
            false => join(self.segments, self.reservation.bytes),
        };
        if bytes.is_empty() {
            return bytes;
        }
        Bytes::from_owner(CountedBytes { bytes, _reservation: self.reservation })
    }
}

/// Copies segments with this total length into one buffer, and frees each once it is copied.
fn join(segments: Vec<Vec<u8>>, len: usize) -> Bytes {
    let mut joined = Vec::with_capacity(len);
    for segment in segments {
        joined.extend_from_slice(&segment);
    }
    joined.into()
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.owner.held.fetch_sub(self.bytes, Ordering::AcqRel);
    }
}
