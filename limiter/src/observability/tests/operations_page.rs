//! The tables of `docs/operations.md`.

use std::collections::BTreeSet;

use super::repository;
use super::source_events::LoggedEvent;

const EVENTS_HEADING: &str = "### Log events at info and above";
const DEBUG_EVENTS_HEADING: &str = "### Log events at debug";
const COUNTERS_HEADING: &str = "## Counters";

/// A function, constant or type in a source file, as `path::item`.
pub struct PlaceInCode {
    /// Path from the root of the repository.
    pub path: String,
    pub item: String,
}

/// The text of the page.
pub struct OperationsPage {
    text: String,
}

impl OperationsPage {
    pub fn read() -> OperationsPage {
        let path = repository().join("docs/operations.md");
        OperationsPage { text: std::fs::read_to_string(path).expect("docs/operations.md is readable") }
    }

    /// Returns the events in both tables.
    pub fn events(&self) -> BTreeSet<LoggedEvent> {
        let rows = self.rows(EVENTS_HEADING).into_iter().map(|row| LoggedEvent {
            level: row[1].clone(),
            message: single_code_span(&row[0]),
            fields: code_spans(&row[2]),
        });
        let debug_rows = self.rows(DEBUG_EVENTS_HEADING).into_iter().map(|row| LoggedEvent {
            level: "debug".to_string(),
            message: single_code_span(&row[0]),
            fields: code_spans(&row[1]),
        });
        rows.chain(debug_rows).collect()
    }

    /// Returns the names of the counters with their labels.
    pub fn counters(&self) -> BTreeSet<String> {
        self.rows(COUNTERS_HEADING).iter().map(|row| single_code_span(&row[0])).collect()
    }

    /// Returns the places in the code that the page names.
    pub fn places(&self) -> Vec<PlaceInCode> {
        let spans = self.text.split('`').skip(1).step_by(2);
        let places =
            spans.filter_map(|span| span.split_once("::")).filter(|(path, _)| path.contains("/src/"));
        places.map(|(path, item)| PlaceInCode { path: path.to_string(), item: item.to_string() }).collect()
    }

    /// Returns the cells of each row of the table below a heading, without the two lines of the table header.
    fn rows(&self, heading: &str) -> Vec<Vec<String>> {
        let lines = self.text.lines().skip_while(|line| *line != heading).skip(1);
        let table = lines.take_while(|line| !line.starts_with('#')).filter(|line| line.starts_with('|'));
        let rows: Vec<Vec<String>> = table.skip(2).map(cells).collect();
        assert!(!rows.is_empty(), "no table below '{heading}'");
        let names: BTreeSet<&String> = rows.iter().map(|row| &row[0]).collect();
        assert_eq!(names.len(), rows.len(), "duplicate row below '{heading}'");
        rows
    }
}

fn cells(line: &str) -> Vec<String> {
    line.trim_matches('|').split('|').map(|cell| cell.trim().to_string()).collect()
}

/// Returns the code spans of a cell, which are enclosed in backticks.
fn code_spans(cell: &str) -> BTreeSet<String> {
    cell.split('`').skip(1).step_by(2).map(str::to_string).collect()
}

fn single_code_span(cell: &str) -> String {
    let spans = code_spans(cell);
    assert_eq!(spans.len(), 1, "'{cell}' must have exactly one code span");
    spans.into_iter().next().unwrap_or_default()
}
