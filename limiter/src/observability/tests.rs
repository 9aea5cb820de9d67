use super::labels::{
    AttemptOutcome, ClientCloseReason, InvalidRequestReason, Invariant, ResponseOutcome,
    ServerConnectionOutcome, WatchEndReason,
};
use super::metrics::Metrics;

/// Counts one event under each label value of each counter, and returns the lines of all counters.
fn counter_lines() -> Vec<String> {
    let metrics = Metrics::new();
    ResponseOutcome::ALL.iter().for_each(|label| Metrics::count(&metrics.responses, *label));
    InvalidRequestReason::ALL.iter().for_each(|label| Metrics::count(&metrics.invalid_requests, *label));
    AttemptOutcome::ALL.iter().for_each(|label| Metrics::count(&metrics.attempts, *label));
    ServerConnectionOutcome::ALL.iter().for_each(|label| Metrics::count(&metrics.server_connections, *label));
    ClientCloseReason::ALL
        .iter()
        .for_each(|label| Metrics::count(&metrics.client_connections_closed, *label));
    WatchEndReason::ALL.iter().for_each(|label| Metrics::count(&metrics.endpoint_watches_ended, *label));
    Invariant::ALL.iter().for_each(|label| Metrics::count(&metrics.invariant_violations, *label));
    metrics.text().lines().map(str::to_string).collect()
}

#[test]
fn every_counter_has_a_series_in_snake_case() {
    let lines = counter_lines();
    let counters = lines.iter().filter_map(|line| line.strip_prefix("# TYPE ")?.strip_suffix(" counter"));
    for counter in counters {
        let series: Vec<&String> = lines.iter().filter(|line| line.starts_with(counter)).collect();
        assert!(!series.is_empty(), "{counter} has no series");
        for line in series {
            let name = line.split_once(' ').expect("a value").0;
            let is_plain = |c: char| c.is_ascii_lowercase() || "_{}=\"".contains(c);
            assert!(name.chars().all(is_plain), "{name}");
        }
    }
    assert!(lines.contains(&"limiter_requests_total 0".to_string()));
    assert!(lines.contains(&"limiter_attempts_total{outcome=\"timed_out\"} 1".to_string()));
}
