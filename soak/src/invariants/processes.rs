//! Checks that limiter processes start, stay within their resource limits, log no invariant violation, and
//! exit with code 0.

use super::{FinishedRun, Invariant, Timing, Violation};
use crate::record::Incarnation;

impl FinishedRun<'_> {
    /// Reports all recorded faults of limiter processes, and every process that ended unexpectedly.
    pub(super) fn check_processes(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        for fault in &self.record.process_faults {
            violations.push(process_violation(fault.clone()));
        }
        for (limiter, incarnations) in &self.record.incarnations {
            for (number, incarnation) in incarnations.iter().enumerate() {
                if ended_unexpectedly(incarnation) {
                    let exit_code = incarnation.exit_code;
                    let description =
                        format!("limiter {limiter}, incarnation {number}: exit code {exit_code:?}");
                    violations.push(process_violation(description));
                }
            }
        }
        violations
    }
}

/// Returns whether a process ended without a signal from the harness, or with an exit code other than 0 after
/// SIGTERM alone.
fn ended_unexpectedly(incarnation: &Incarnation) -> bool {
    let was_killed = incarnation.killed_at.is_some();
    let was_terminated = incarnation.terminated_at.is_some();
    let is_expected = was_killed || (was_terminated && incarnation.exit_code == Some(0));
    incarnation.ended_at.is_some() && !is_expected
}

fn process_violation(description: String) -> Violation {
    Violation::for_fleet(Invariant::Process, Timing::Independent, description)
}
