//! The log events in the sources of the program, found by their macros.

use std::collections::BTreeSet;
use std::path::Path;

/// Names of the macros that log. Sources call them by their path, as in `tracing::info!`.
const LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];

/// A log event that the sources emit or the page documents.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LoggedEvent {
    pub message: String,
    pub level: String,
    pub fields: BTreeSet<String>,
}

/// Returns the text of each source file in a folder, except for tests.
pub fn read_sources(folder: &Path) -> Vec<String> {
    let mut sources = Vec::new();
    read_folder(folder, &mut sources);
    sources
}

/// Returns whether a source declares a function, constant or type of this name.
pub fn declares(source: &str, name: &str) -> bool {
    ["fn", "const", "struct"].into_iter().any(|keyword| {
        let declaration = format!("{keyword} {name}");
        source.match_indices(&declaration).any(|(start, _)| {
            let next = source[start + declaration.len()..].chars().next();
            next.is_none_or(|c| !c.is_alphanumeric() && c != '_')
        })
    })
}

fn read_folder(folder: &Path, sources: &mut Vec<String>) {
    for entry in std::fs::read_dir(folder).expect("a folder") {
        let path = entry.expect("an entry").path();
        let is_test = path.file_stem().is_some_and(|name| name == "tests");
        if is_test {
            continue;
        }
        if path.is_dir() {
            read_folder(&path, sources);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            sources.push(std::fs::read_to_string(&path).expect("a source"));
        }
    }
}

/// Returns the events that the text of a source file logs.
pub fn events_in(source: &str) -> Vec<LoggedEvent> {
    assert_is_searchable(source);
    let mut events = Vec::new();
    for level in LEVELS {
        let call = format!("tracing::{level}!(");
        for (start, _) in source.match_indices(&call) {
            let arguments = split_arguments(&source[start + call.len()..]);
            events.push(parse_event(level, &arguments));
        }
    }
    events
}

/// Asserts that no event is logged in a form that [`events_in`] does not find.
fn assert_is_searchable(source: &str) {
    for level in LEVELS {
        let num_all = source.matches(&format!("{level}!(")).count();
        let num_found = source.matches(&format!("tracing::{level}!(")).count();
        assert_eq!(num_all, num_found, "{level} events must be logged by tracing::{level}!(...)");
    }
    assert!(!source.contains("event!("), "events must be logged by the macro of their level");
}

/// Splits the arguments of a macro call at the commas outside of brackets and string literals. `text` begins
/// after the opening bracket of the call.
fn split_arguments(text: &str) -> Vec<String> {
    let mut arguments = vec![String::new()];
    let mut depth = 0;
    let mut is_in_string = false;
    for c in text.chars() {
        match c {
            '"' => is_in_string = !is_in_string,
            '(' | '[' | '{' if !is_in_string => depth += 1,
            ')' | ']' | '}' if !is_in_string => depth -= 1,
            _ => {}
        }
        if depth < 0 {
            break;
        }
        if c == ',' && depth == 0 && !is_in_string {
            arguments.push(String::new());
        } else {
            arguments.last_mut().expect("the first one at least").push(c);
        }
    }
    let trimmed = arguments.iter().map(|argument| argument.trim().to_string());
    trimmed.filter(|argument| !argument.is_empty()).collect()
}

/// Parses the arguments of a macro call. The last argument is the message, a plain string literal; all others
/// are fields, in any of the forms that `tracing` allows.
fn parse_event(level: &str, arguments: &[String]) -> LoggedEvent {
    let (message, fields) = arguments.split_last().expect("a message");
    let message = message.strip_prefix('"').and_then(|text| text.strip_suffix('"'));
    let message =
        message.unwrap_or_else(|| panic!("the last argument is not a string literal: {arguments:?}"));
    assert!(!message.contains('{'), "a message must not contain values: '{message}'");
    assert!(!message.starts_with(char::is_uppercase) && !message.ends_with('.'), "'{message}'");
    let name = |field: &String| {
        field.split('=').next().unwrap_or_default().trim_matches([' ', '%', '?']).to_string()
    };
    LoggedEvent {
        message: message.to_string(),
        level: level.to_string(),
        fields: fields.iter().map(name).collect(),
    }
}
