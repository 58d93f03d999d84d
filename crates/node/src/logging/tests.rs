//! Tests that the queue of log lines limits the rate, never blocks and counts dropped lines.

use std::io::Write;
use std::sync::mpsc::{Sender, channel};
use std::time::{Duration, Instant};

use super::queue::LineQueue;

/// Writer that sends each written piece to the test.
struct ChannelWriter(Sender<String>);

impl Write for ChannelWriter {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        // The test drops the receiver once it has seen what it needs.
        let _ = self.0.send(String::from_utf8_lossy(buf).into_owned());
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Writer that blocks, like a standard output whose reader is stuck.
struct BlockedWriter;

impl Write for BlockedWriter {
    fn write(&mut self, _: &[u8]) -> std::io::Result<usize> {
        std::thread::sleep(Duration::from_secs(3_600));
        Ok(0)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn limits_the_rate_of_each_severity_separately() {
    let (tx, rx) = channel();
    let queue = LineQueue::start(ChannelWriter(tx), 10).unwrap();
    let admitted = (0..100).filter(|_| queue.try_admit(false)).count();
    // The loop may span the end of a second, which admits 10 more lines.
    assert!((10..=20).contains(&admitted), "{admitted}");
    assert!(queue.try_admit(true), "informational lines use up the limit of warnings");
    assert!(queue.dropped() >= 80);
    queue.push(b"line\n".to_vec());
    let mut written = String::new();
    while !written.contains("were dropped") {
        written += &rx.recv_timeout(Duration::from_secs(5)).unwrap();
    }
    assert!(written.starts_with("line\n"), "{written}");
}

#[test]
fn push_and_flush_do_not_wait_for_a_blocked_writer() {
    let queue = LineQueue::start(BlockedWriter, 1_000_000).unwrap();
    let started = Instant::now();
    for _ in 0..20_000 {
        queue.push(b"line\n".to_vec());
    }
    queue.flush();
    assert!(started.elapsed() < Duration::from_secs(2), "{:?}", started.elapsed());
    assert!(queue.dropped() > 10_000, "{}", queue.dropped());
}
