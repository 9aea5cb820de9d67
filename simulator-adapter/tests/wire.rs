//! The adapter against batches written here.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const SETUP: &str = r#"{"Balancers":2,"Position":0,"Zone":"a","Dcs":["a","b"],"RoundMs":4,"Discovery":"automatic",
"Classes":[{"Name":"look","AimMs":1000,"Effect":"read_like","LateWorth":0,"Unheard":1}],
"TiersOfService":[{"Name":"basic","Rate":0,"StoreSize":0}],
"Bounds":{"MostTries":3,"DialTimeoutMs":250,"Cancelling":true,"MayTell":true},
"Obligations":{"StartCapacity":0.2,"ColdMs":9000,"FallMultiple":3,"TipAfterMs":2000},"Domain":{"MailPerS":60}}"#;

/// What the adapter made of its input.
struct AdapterOutput {
    is_success: bool,
    /// A reply to each batch.
    replies: Vec<String>,
    stderr: String,
}

impl AdapterOutput {
    fn last_reply(&self) -> &str {
        self.replies.last().expect("a reply")
    }
}

impl From<Output> for AdapterOutput {
    fn from(output: Output) -> Self {
        let stdout = String::from_utf8(output.stdout).expect("text");
        AdapterOutput {
            is_success: output.status.success(),
            replies: stdout.lines().map(str::to_string).collect(),
            stderr: String::from_utf8(output.stderr).expect("text"),
        }
    }
}

/// Runs the adapter on these lines, then ends its input.
fn run_adapter(lines: &[String]) -> AdapterOutput {
    let mut child = Command::new(env!("CARGO_BIN_EXE_simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut text = lines.join("\n");
    text.push('\n');
    // A write may fail once the adapter has given up; its exit is what counts.
    let _ = child.stdin.take().expect("piped").write_all(text.as_bytes());
    child.wait_with_output().expect("the adapter ends").into()
}

fn batch(turn: u32, events: &str) -> String {
    format!(r#"{{"MomentMs":{},"turn":{turn},"in":[{events}]}}"#, 1000 + turn * 10)
}

/// Page 3 of the endpoint list, with one server.
fn endpoint_page(server: &str) -> String {
    let endpoint =
        format!(r#"{{"Server":"{server}","Site":"a","Machine":"m","Stripe":0,"Condition":"in_service"}}"#);
    format!(r#"{{"m":"CENSUS","Page":3,"Elements":[{endpoint}]}}"#)
}

/// A new limiter, which gets page 3 of the endpoint list as it stands.
fn new_limiter(n: u32) -> String {
    let setup = SETUP.replace('\n', "");
    format!(
        r#"{{"m":"NEW_INSTANCE","LimiterId":"limiter-{n}","Seed":{n},"Setup":{setup}}},
            {{"m":"BACKENDS_CHANGED","LimiterId":"limiter-{n}","Scope":"cached","Version":1,"Page":3}}"#
    )
    .replace('\n', "")
}

/// Two limiters, the first in front of server s:1, the second of s:2, by a page that changes in between.
fn start_events() -> String {
    [endpoint_page("s:1"), new_limiter(0), endpoint_page("s:2"), new_limiter(1)].join(",")
}

fn start() -> String {
    batch(1, &start_events())
}

fn request(limiter: u32, ticket: u32) -> String {
    format!(
        r#"{{"m":"WORK_ITEM","LimiterId":"limiter-{limiter}","Ticket":{ticket},"Service":"look","Plan":"basic",
        "ClientId":"00000000000000ff","BudgetMs":900.5,"PriceUnits":1,"EntryPoints":2,"SetFrom":0,"New":[1]}}"#
    )
    .replace('\n', "")
}

#[test]
fn each_batch_gets_one_reply_and_end_of_input_ends_well() {
    let output = run_adapter(&[batch(0, ""), start(), batch(2, &request(0, 5))]);
    assert!(output.is_success);
    assert_eq!(output.replies.len(), 3);
    assert_eq!(output.replies[0], r#"{"turn":0,"steps":[]}"#);
    let last = output.last_reply();
    assert!(last.contains(r#""m":"PASS_ON","LimiterId":"limiter-0","Ticket":5"#), "{last}");
}

#[test]
fn a_list_page_used_again_counts_for_the_events_after_it() {
    let requests = [request(0, 5), request(1, 6)].join(",");
    let text = run_adapter(&[start(), batch(2, &requests)]).replies.join("\n");
    assert!(text.contains(r#""Ticket":5,"CapMs":0.0,"Server":"s:1""#), "{text}");
    assert!(text.contains(r#""Ticket":6,"CapMs":0.0,"Server":"s:2""#), "{text}");
}

#[test]
fn an_outcome_a_stop_and_a_new_start_are_taken_in_one_batch() {
    let attempt_end = r#"{"m":"ATTEMPT_END","LimiterId":"limiter-0","Ticket":5,"Trial":0,"Server":"s:1","Outcome":"errored","DurationMs":2}"#;
    let down = r#"{"m":"DOWN","LimiterId":"limiter-1"}"#;
    let events = [attempt_end, down, &start_events(), &request(1, 9)].join(",");
    let output = run_adapter(&[start(), batch(2, &request(0, 5)), batch(3, &events)]);
    assert!(output.is_success, "{}", output.stderr);
    let last = output.last_reply();
    assert!(last.contains(r#""Ticket":5"#) && last.contains(r#""Ticket":9"#), "{last}");
}

/// A line that the adapter must not accept, after a good batch.
struct MalformedLine {
    line: String,
    /// What the error must name.
    named: &'static str,
}

fn malformed(line: String, named: &'static str) -> MalformedLine {
    MalformedLine { line, named }
}

fn malformed_event(event: &str, named: &'static str) -> MalformedLine {
    malformed(batch(2, event), named)
}

/// A request with one text replaced by another.
fn malformed_request(from: &str, to: &str, named: &'static str) -> MalformedLine {
    malformed_event(&request(0, 5).replace(from, to), named)
}

/// A second start with one text replaced by another.
fn malformed_start(from: &str, to: &str, named: &'static str) -> MalformedLine {
    malformed(batch(2, &start_events()).replace(from, to), named)
}

#[test]
fn malformed_input_ends_with_one_plain_line_and_no_guess() {
    for MalformedLine { line, named } in [
        malformed("nonsense".to_string(), "line 2"),
        malformed(r#"{"turn":2,"in":[]}"#.to_string(), "MomentMs"),
        malformed_event(r#"{"m":"SURPRISE","LimiterId":"limiter-0"}"#, "SURPRISE"),
        malformed_request(r#""BudgetMs":900.5,"#, "", "BudgetMs"),
        malformed_request("look", "gaze", "gaze"),
        malformed_request("basic", "gold", "gold"),
        malformed_request("00ff", "zzzz", "ClientId"),
        malformed_event(&request(7, 5), "limiter-7"),
        malformed_event(r#"{"m":"HEARD","LimiterId":"limiter-0","Who":1,"Body":"abc"}"#, "Body"),
        malformed_event(
            r#"{"m":"BACKENDS_CHANGED","LimiterId":"limiter-0","Scope":"full","Version":2,"Page":9}"#,
            "page 9",
        ),
        malformed_event(
            r#"{"m":"TOTAL","LimiterId":"limiter-0","EntryName":1,"Outcome":"fine","DurationMs":1}"#,
            "fine",
        ),
        malformed_start("read_like", "perhaps", "perhaps"),
        malformed_start("\"Balancers\":2", "\"Balancers\":0", "limiters"),
    ] {
        let output = run_adapter(&[start(), line.clone()]);
        assert!(!output.is_success, "{line}");
        let error = &output.stderr;
        assert!(error.contains(named) && error.lines().count() == 1, "{named}: {error}");
        assert_eq!(output.replies.len(), 1, "only the reply to the good batch: {line}");
    }
}
