//! Tests the adapter as a process, which reads batches of events as JSON lines on its standard input and must
//! write one reply to each batch.

use std::io::Write;
use std::process::{Command, Output, Stdio};

/// The settings of a limiter. `Unheard` is an unknown key, which must be ignored.
const SETTINGS: &str = r#"{"Balancers":2,"Position":0,"Zone":"a","Dcs":["a","b"],"RoundMs":4,
"Discovery":"automatic",
"Classes":[{"Name":"look","AimMs":1000,"Effect":"read_like","LateWorth":0,"Unheard":1}],
"TiersOfService":[{"Name":"basic","Rate":0,"StoreSize":0}],
"Bounds":{"MostTries":3,"DialTimeoutMs":250,"Cancelling":true,"MayTell":true},
"Obligations":{"StartCapacity":0.2,"ColdMs":9000,"FallMultiple":3,"TipAfterMs":2000},
"Domain":{"MailPerS":60}}"#;

/// The output of the adapter for a complete input.
struct AdapterOutput {
    is_success: bool,
    /// One reply to each batch, in order.
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

/// Runs the adapter with these lines as its complete input, and waits for its exit.
fn run_adapter(lines: &[String]) -> AdapterOutput {
    let mut child = Command::new(env!("CARGO_BIN_EXE_simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut text = lines.join("\n");
    text.push('\n');
    // The write may fail, because the adapter exits at the first malformed line; its exit is checked instead.
    let _ = child.stdin.take().expect("piped").write_all(text.as_bytes());
    child.wait_with_output().expect("the adapter ends").into()
}

/// Returns the line of a batch of events. The time advances by 10 ms from batch to batch.
fn batch(sequence: u32, events: &str) -> String {
    let now_ms = 1000 + sequence * 10;
    format!(r#"{{"MomentMs":{now_ms},"turn":{sequence},"in":[{events}]}}"#)
}

/// Returns the event that defines page 3 of the endpoint list, with one server.
fn endpoint_page(server: &str) -> String {
    let endpoint =
        format!(r#"{{"Server":"{server}","Site":"a","Machine":"m","Stripe":0,"Condition":"in_service"}}"#);
    format!(r#"{{"m":"CENSUS","Page":3,"Elements":[{endpoint}]}}"#)
}

/// Returns the events that start a limiter and give it page 3 of the endpoint list as last defined.
fn start_limiter_events(limiter: u32) -> String {
    let settings = SETTINGS.replace('\n', "");
    format!(
        r#"{{"m":"NEW_INSTANCE","LimiterId":"limiter-{limiter}","Seed":{limiter},"Setup":{settings}}},
            {{"m":"BACKENDS_CHANGED","LimiterId":"limiter-{limiter}","Scope":"cached","Version":1,"Page":3}}"#
    )
    .replace('\n', "")
}

/// Returns the events that start two limiters: limiter 0 in front of server `s:1`, limiter 1 in front of
/// `s:2`. Page 3 is redefined between their starts.
fn start_events() -> String {
    [endpoint_page("s:1"), start_limiter_events(0), endpoint_page("s:2"), start_limiter_events(1)].join(",")
}

/// Returns the first batch of most tests.
fn start_batch() -> String {
    batch(1, &start_events())
}

/// Returns the event for a request that arrives at a limiter.
fn request(limiter: u32, request_id: u32) -> String {
    format!(
        r#"{{"m":"WORK_ITEM","LimiterId":"limiter-{limiter}","Ticket":{request_id},"Service":"look",
        "Plan":"basic","ClientId":"00000000000000ff","BudgetMs":900.5,"PriceUnits":1,
        "EntryPoints":2,"SetFrom":0,"New":[1]}}"#
    )
    .replace('\n', "")
}

/// A batch without events gets a reply as well, and the end of the input is not an error.
#[test]
fn each_batch_gets_one_reply_and_the_end_of_input_exits_with_success() {
    let output = run_adapter(&[batch(0, ""), start_batch(), batch(2, &request(0, 5))]);
    assert!(output.is_success);
    assert_eq!(output.replies.len(), 3);
    assert_eq!(output.replies[0], r#"{"turn":0,"steps":[]}"#);
    let last = output.last_reply();
    assert!(last.contains(r#""m":"PASS_ON","LimiterId":"limiter-0","Ticket":5"#), "{last}");
}

/// Both limiters use page 3, which is redefined between their starts: limiter 0 must keep the list that the
/// page had when it was given to that limiter.
#[test]
fn a_redefined_endpoint_page_applies_only_to_later_events() {
    let requests = [request(0, 5), request(1, 6)].join(",");
    let replies = run_adapter(&[start_batch(), batch(2, &requests)]).replies.join("\n");
    assert!(replies.contains(r#""Ticket":5,"CapMs":0.0,"Server":"s:1""#), "{replies}");
    assert!(replies.contains(r#""Ticket":6,"CapMs":0.0,"Server":"s:2""#), "{replies}");
}

/// One batch ends an attempt of limiter 0, stops limiter 1, starts both limiters anew, and sends a request to
/// limiter 1. The reply must have an action for the retry and for the new request.
#[test]
fn one_batch_may_contain_an_outcome_a_stop_and_a_start() {
    let attempt_end = concat!(
        r#"{"m":"ATTEMPT_END","LimiterId":"limiter-0","Ticket":5,"Trial":0,"#,
        r#""Server":"s:1","Outcome":"errored","DurationMs":2}"#
    );
    let stop = r#"{"m":"DOWN","LimiterId":"limiter-1"}"#;
    let events = [attempt_end, stop, &start_events(), &request(1, 9)].join(",");
    let output = run_adapter(&[start_batch(), batch(2, &request(0, 5)), batch(3, &events)]);
    assert!(output.is_success, "{}", output.stderr);
    let last = output.last_reply();
    assert!(last.contains(r#""Ticket":5"#), "{last}");
    assert!(last.contains(r#""Ticket":9"#), "{last}");
}

/// A line that the adapter must reject.
struct MalformedLine {
    line: String,
    /// The text by which the error identifies the fault.
    expected_error: &'static str,
}

fn malformed_line(line: String, expected_error: &'static str) -> MalformedLine {
    MalformedLine { line, expected_error }
}

/// Returns a batch with one malformed event.
fn malformed_event(event: &str, expected_error: &'static str) -> MalformedLine {
    malformed_line(batch(2, event), expected_error)
}

/// Returns a batch with a request in which one text is replaced.
fn malformed_request(from: &str, to: &str, expected_error: &'static str) -> MalformedLine {
    malformed_event(&request(0, 5).replace(from, to), expected_error)
}

/// Returns a batch with the start of two limiters in which one text is replaced.
fn malformed_start(from: &str, to: &str, expected_error: &'static str) -> MalformedLine {
    malformed_event(&start_events().replace(from, to), expected_error)
}

/// Returns one line for each kind of fault: no JSON, missing keys, unknown names and ids, and invalid values.
fn malformed_lines() -> Vec<MalformedLine> {
    let unknown_page =
        r#"{"m":"BACKENDS_CHANGED","LimiterId":"limiter-0","Scope":"full","Version":2,"Page":9}"#;
    let unknown_outcome =
        r#"{"m":"TOTAL","LimiterId":"limiter-0","EntryName":1,"Outcome":"fine","DurationMs":1}"#;
    vec![
        malformed_line("nonsense".to_string(), "line 2"),
        malformed_line(r#"{"turn":2,"in":[]}"#.to_string(), "MomentMs"),
        malformed_event(r#"{"m":"SURPRISE","LimiterId":"limiter-0"}"#, "SURPRISE"),
        malformed_request(r#""BudgetMs":900.5,"#, "", "BudgetMs"),
        malformed_request("look", "gaze", "gaze"),
        malformed_request("basic", "gold", "gold"),
        malformed_request("00ff", "zzzz", "ClientId"),
        malformed_event(&request(7, 5), "limiter-7"),
        malformed_event(r#"{"m":"HEARD","LimiterId":"limiter-0","Who":1,"Body":"abc"}"#, "Body"),
        malformed_event(unknown_page, "page 9"),
        malformed_event(unknown_outcome, "fine"),
        malformed_start("read_like", "perhaps", "perhaps"),
        malformed_start("\"Balancers\":2", "\"Balancers\":0", "limiters"),
    ]
}

/// A malformed line follows a valid batch. The adapter must exit with an error that identifies the fault in
/// one line, and must not reply to a line that it cannot interpret exactly.
#[test]
fn malformed_input_is_reported_in_one_line_and_gets_no_reply() {
    for MalformedLine { line, expected_error } in malformed_lines() {
        let output = run_adapter(&[start_batch(), line.clone()]);
        assert!(!output.is_success, "{line}");
        let error = &output.stderr;
        assert!(error.contains(expected_error), "{expected_error}: {error}");
        assert_eq!(error.lines().count(), 1, "{expected_error}: {error}");
        assert_eq!(output.replies.len(), 1, "only the reply to the valid batch: {line}");
    }
}
