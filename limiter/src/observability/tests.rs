//! Compares `docs/operations.md` with the log events in the sources and the counters in the registry.

mod operations_page;
mod source_events;

use std::collections::BTreeSet;
use std::fmt::Debug;
use std::hash::Hash;
use std::path::PathBuf;

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;

use super::labels::{
    AttemptOutcome, ClientCloseReason, EvictedState, InvalidRequestReason, Invariant, ResponseOutcome,
    ServerConnectionOutcome, ShedReason, WatchEndReason,
};
use super::metrics::Metrics;
use operations_page::{OperationsPage, PlaceInCode};
use source_events::{declares, read_sources, LoggedEvent};

/// Returns the root of the repository.
fn repository() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("..")
}

/// Counts one event under each label value of each counter, and returns all counters in the text format.
fn all_counters() -> String {
    let metrics = Metrics::new();
    count_once_per_label(&metrics.responses, ResponseOutcome::ALL);
    count_once_per_label(&metrics.invalid_requests, InvalidRequestReason::ALL);
    count_once_per_label(&metrics.shed_requests, ShedReason::ALL);
    count_once_per_label(&metrics.attempts, AttemptOutcome::ALL);
    count_once_per_label(&metrics.server_connections, ServerConnectionOutcome::ALL);
    count_once_per_label(&metrics.client_connections_closed, ClientCloseReason::ALL);
    count_once_per_label(&metrics.client_connections_evicted, EvictedState::ALL);
    count_once_per_label(&metrics.endpoint_watches_ended, WatchEndReason::ALL);
    count_once_per_label(&metrics.invariant_violations, Invariant::ALL);
    metrics.text()
}

fn count_once_per_label<L: Copy + Eq + Hash>(family: &Family<L, Counter>, labels: &[L]) {
    for label in labels {
        Metrics::count(family, *label);
    }
}

/// Returns the names of all counters with their labels, as they are logged.
fn counter_names() -> BTreeSet<String> {
    let text = all_counters();
    let lines = text.lines().filter(|line| !line.starts_with('#'));
    lines.map(|line| line.rsplit_once(' ').expect("a value").0.to_string()).collect()
}

/// Asserts that the code and the page have the same rows. The failure message names the rows that differ.
fn assert_same_rows<T: Ord + Debug>(what: &str, in_code: &BTreeSet<T>, on_page: &BTreeSet<T>) {
    let missing: Vec<&T> = in_code.difference(on_page).collect();
    let stale: Vec<&T> = on_page.difference(in_code).collect();
    assert!(missing.is_empty(), "{what} that docs/operations.md lacks: {missing:#?}");
    assert!(stale.is_empty(), "{what} in docs/operations.md that the code lacks: {stale:#?}");
}

#[test]
fn every_counter_has_a_series_in_snake_case() {
    let text = all_counters();
    let counters = text.lines().filter_map(|line| line.strip_prefix("# TYPE ")?.strip_suffix(" counter"));
    for counter in counters {
        let series: Vec<&str> = text.lines().filter(|line| line.starts_with(counter)).collect();
        assert!(!series.is_empty(), "{counter} has no series");
        for line in series {
            let name = line.split_once(' ').expect("a value").0;
            let is_plain = |c: char| c.is_ascii_lowercase() || "_{}=\"".contains(c);
            assert!(name.chars().all(is_plain), "{name}");
        }
    }
    assert!(text.lines().any(|line| line == "limiter_requests_total 0"));
    assert!(text.lines().any(|line| line == "limiter_attempts_total{outcome=\"timed_out\"} 1"));
}

#[test]
fn the_operations_page_lists_exactly_the_log_events() {
    let sources = repository().join("limiter/src");
    let events: BTreeSet<LoggedEvent> =
        read_sources(&sources).iter().flat_map(|source| source_events::events_in(source)).collect();
    assert!(events.len() > 20, "too few log events were found in the sources");
    assert_same_rows("events", &events, &OperationsPage::read().events());
}

#[test]
fn the_operations_page_lists_exactly_the_counters_and_label_values() {
    assert_same_rows("counters", &counter_names(), &OperationsPage::read().counters());
}

#[test]
fn the_places_on_the_operations_page_exist() {
    let places = OperationsPage::read().places();
    assert!(places.len() > 20, "too few places were found on the page");
    for PlaceInCode { path, item } in places {
        let source = std::fs::read_to_string(repository().join(&path));
        let source = source.unwrap_or_else(|error| panic!("docs/operations.md names {path}: {error}"));
        assert!(
            declares(&source, &item),
            "docs/operations.md names {path}::{item}, which is not declared there"
        );
    }
}
