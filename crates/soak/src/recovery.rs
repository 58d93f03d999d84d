//! Checks after the last fault: that every node serves and has the newest configuration.

use std::thread;
use std::time::Instant;

use snipehollow_standins::load::CallResult;
use tokio::runtime::Runtime;

use crate::callers::read_once;
use crate::invariants::Violation;
use crate::run::{RECOVERY_LIMIT, STEP_INTERVAL, Soak};

/// Consecutive reads that must succeed at every node after the faults.
const REQUIRED_GOOD_READS: usize = 5;

impl Soak {
    /// Checks that every node serves reads and has the applied revision in force.
    pub(crate) fn check_recovery(&mut self, runtime: &Runtime) {
        let start = Instant::now();
        let deadline = start + RECOVERY_LIMIT;
        let mut good_in_a_row = vec![0; self.running.len()];
        let mut last_result: Vec<Option<CallResult>> = vec![None; self.running.len()];
        while good_in_a_row.iter().any(|good| *good < REQUIRED_GOOD_READS)
            && Instant::now() < deadline
        {
            for host in 0..good_in_a_row.len() {
                let result = runtime.block_on(read_once(self.caller_links[host].addr()));
                good_in_a_row[host] = if result.is_ok() { good_in_a_row[host] + 1 } else { 0 };
                last_result[host] = Some(result);
            }
            thread::sleep(STEP_INTERVAL);
        }
        for host in 0..good_in_a_row.len() {
            if good_in_a_row[host] < REQUIRED_GOOD_READS {
                let reason = last_result[host].as_ref().and_then(|result| result.reason);
                let reason = reason.map_or("no response", |reason| reason.as_str());
                let problem = format!("node {} does not serve: {reason}", self.host_name(host));
                self.violations.push(Violation::NotRecovered { problem });
            }
            self.check_revision(host, deadline);
        }
    }

    /// Checks that a node gets to the last accepted revision in time and never goes back to a lower
    /// one.
    fn check_revision(&mut self, host: usize, deadline: Instant) {
        let host_plan = self.mesh.plan.hosts[host].clone();
        loop {
            let revision = self.mesh.state(&host_plan).map_or(0, |state| state.revision);
            if revision < self.revisions[host] {
                let from = self.revisions[host];
                self.violations.push(Violation::RevisionReverted {
                    host: host_plan.name.clone(),
                    from,
                    to: revision,
                });
            }
            self.revisions[host] = self.revisions[host].max(revision);
            if revision >= self.sheets.applied_revision() {
                return;
            }
            if Instant::now() >= deadline {
                let problem = format!(
                    "node {} is at revision {revision} instead of {}",
                    host_plan.name,
                    self.sheets.applied_revision()
                );
                self.violations.push(Violation::NotRecovered { problem });
                return;
            }
            thread::sleep(STEP_INTERVAL);
        }
    }
}
