//! Prints the result of a run: a summary line, and the violations with the timelines of their requests.

use std::collections::BTreeMap;
use std::time::Instant;

use hdrhistogram::Histogram;

use crate::deployment::Deployment;
use crate::invariants::{Invariant, Violation};
use crate::record::{Attempt, ClientRequest, Outcome, Record, RequestId};

/// Maximum number of violations that are printed, each with the timeline of its request.
const MAX_PRINTED_VIOLATIONS: usize = 8;
/// Time before and after a request within which fault events are part of its timeline.
const EVENT_MARGIN_S: f64 = 1.5;
/// Significant digits of the latency histogram.
const LATENCY_DIGITS: u8 = 2;

/// A finished run and its result.
pub struct Report<'a> {
    /// The seed of the run.
    pub seed: u64,
    /// The deployment.
    pub deployment: &'a Deployment,
    /// The record of the run.
    pub record: &'a Record,
    /// The violations.
    pub violations: &'a [Violation],
    /// The start of the run, to which printed times are relative.
    pub started_at: Instant,
}

impl Report<'_> {
    /// Prints the report to standard output.
    pub fn print(&self) {
        self.print_figures();
        self.print_violations();
    }

    fn print_figures(&self) {
        let outcomes: Vec<String> =
            self.count_outcomes().iter().map(|(name, count)| format!("{name} {count}")).collect();
        let latencies = self.latencies();
        let quantile = |quantile| latencies.as_ref().map_or(0, |values| values.value_at_quantile(quantile));
        println!(
            "seed {}: {} requests ({}), {} attempts, p50 {} ms, p99 {} ms, {} fault events, {}, {} server stalls, \
             {} violations",
            self.seed,
            self.record.requests.len(),
            outcomes.join(", "),
            self.record.attempts.len(),
            quantile(0.5),
            quantile(0.99),
            self.record.events.len(),
            if self.deployment.subscribes { "subscribed lists" } else { "pushed lists" },
            self.record.server_stalls.len(),
            self.violations.len(),
        );
    }

    fn count_outcomes(&self) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        for request in self.record.requests.values() {
            let name = match &request.outcome {
                Some(Outcome::Answered { status, .. }) => status.to_string(),
                Some(Outcome::Closed) => "closed".to_string(),
                Some(Outcome::TimedOut) => "timed out".to_string(),
                Some(Outcome::Disconnected) => "disconnected".to_string(),
                None => "open".to_string(),
            };
            *counts.entry(name).or_default() += 1;
        }
        counts
    }

    /// Returns the latency of each ended request, from its last byte to its outcome, in milliseconds.
    fn latencies(&self) -> Option<Histogram<u64>> {
        let mut latencies = Histogram::new(LATENCY_DIGITS).ok()?;
        for request in self.record.requests.values() {
            if let Some(ended_at) = request.ended_at {
                latencies.saturating_record((ended_at - request.written_at).as_millis() as u64);
            }
        }
        Some(latencies)
    }

    fn print_violations(&self) {
        let mut counts: BTreeMap<Invariant, usize> = BTreeMap::new();
        for violation in self.violations {
            *counts.entry(violation.invariant).or_default() += 1;
        }
        for (invariant, count) in counts {
            println!("  {invariant}: {count} violations");
        }
        for violation in self.violations.iter().take(MAX_PRINTED_VIOLATIONS) {
            let Violation { invariant, description, .. } = violation;
            println!("  {invariant}: {description}");
            if let Some(id) = violation.request {
                self.print_timeline(id);
            }
        }
    }

    fn print_timeline(&self, id: RequestId) {
        let Some(request) = self.record.requests.get(&id) else { return };
        self.print_request(id, request);
        for attempt in self.record.attempts.iter().filter(|attempt| attempt.request == id) {
            self.print_attempt(attempt);
        }
        let ended_s = request.ended_at.map_or(f64::NAN, |ended_at| self.seconds_since_start(ended_at));
        println!("    {ended_s:9.3} {:?}", request.outcome);
        self.print_events_around(request);
    }

    fn print_request(&self, id: RequestId, request: &ClientRequest) {
        println!(
            "    {:9.3} request r-{id} written to limiter {} (incarnation {}), class {}, plan {}, customer {}, timeout {:?}",
            self.seconds_since_start(request.written_at),
            request.limiter,
            request.incarnation,
            self.deployment.classes[request.class].name,
            self.deployment.plans[request.plan].name,
            request.customer,
            request.timeout,
        );
    }

    fn print_attempt(&self, attempt: &Attempt) {
        let server = &self.record.servers[attempt.server];
        println!(
            "    {:9.3} attempt at {} (zone {}, cell {}), propagated deadline {:?} s, ended {:?}{}",
            self.seconds_since_start(attempt.first_byte_at),
            server.name,
            server.zone,
            server.cell,
            attempt.propagated_deadline_s,
            attempt.ended_at.map(|ended_at| self.seconds_since_start(ended_at)),
            if attempt.is_unprocessed { ", unprocessed" } else { "" },
        );
    }

    fn print_events_around(&self, request: &ClientRequest) {
        let from_s = self.seconds_since_start(request.written_at) - EVENT_MARGIN_S;
        let to_s =
            request.ended_at.map_or(f64::MAX, |ended_at| self.seconds_since_start(ended_at)) + EVENT_MARGIN_S;
        for event in &self.record.events {
            let at_s = self.seconds_since_start(event.at);
            if (from_s..to_s).contains(&at_s) {
                println!("      {at_s:9.3} {}", event.text);
            }
        }
    }

    /// Returns the time from the start of the run to the given moment in seconds.
    fn seconds_since_start(&self, moment: Instant) -> f64 {
        moment.saturating_duration_since(self.started_at).as_secs_f64()
    }
}
