//! Compares the output of the adapter byte by byte with golden files: each reply line, including the encoded
//! gossip messages.
//!
//! The input of a case is `golden/NAME.in.jsonl`, and the expected output is `golden/NAME.out.jsonl`. The
//! tests use no type of the project, so that a renaming in the code cannot change the expected bytes. Only
//! the text of a REMARK, which is written for people, is masked.

use std::io::Write;
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};

/// Path of the adapter's binary.
const BINARY: &str = env!("CARGO_BIN_EXE_simulator-adapter");

/// Returns the bytes of a golden file. The direction is `in` or `out`.
fn read_golden(name: &str, direction: &str) -> Vec<u8> {
    let path: PathBuf = [env!("CARGO_MANIFEST_DIR"), "tests", "golden"].iter().collect();
    let path = path.join(format!("{name}.{direction}.jsonl"));
    std::fs::read(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// Runs the adapter with the input of a case, and waits for its exit.
fn run_adapter(name: &str) -> Output {
    let mut child = Command::new(BINARY)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // The write may fail, because the adapter exits at the first malformed line. The tests check its exit
    // code and output instead.
    let _ = child.stdin.take().expect("piped").write_all(&read_golden(name, "in"));
    child.wait_with_output().expect("the adapter ends")
}

/// Returns the line with the text of each REMARK replaced by an asterisk. All other bytes stay.
fn mask_remark_texts(line: &str) -> String {
    const REMARK: &str = r#"{"m":"REMARK","#;
    const FIELD: &str = r#""Line":""#;
    let mut parts = line.split(REMARK);
    let mut text = parts.next().unwrap_or_default().to_string();
    for part in parts {
        let (head, rest) = part.split_once(FIELD).expect("a Line in the REMARK");
        let mut escaped = false;
        let end = rest.find(|c| {
            let is_end = c == '"' && !escaped;
            escaped = c == '\\' && !escaped;
            is_end
        });
        let end = end.expect("a quote at the end of the Line");
        assert!(end > 0, "the text of a REMARK is empty: {line}");
        text.extend([REMARK, head, FIELD, "*", &rest[end..]]);
    }
    text
}

/// Asserts that the output of the adapter equals the golden lines.
fn assert_golden_output(name: &str, output: &Output) {
    let text = String::from_utf8(output.stdout.clone()).expect("replies in UTF-8");
    let expected = String::from_utf8(read_golden(name, "out")).expect("golden lines in UTF-8");
    let lines: Vec<String> = text.split('\n').map(mask_remark_texts).collect();
    for (i, (line, expected_line)) in lines.iter().zip(expected.split('\n')).enumerate() {
        assert_eq!(line, expected_line, "{name}, line {}", i + 1);
    }
    assert_eq!(lines.join("\n"), expected, "{name}: number of lines");
}

/// Asserts that the adapter succeeds and writes the golden lines.
fn assert_golden(name: &str) {
    let output = run_adapter(name);
    let error = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{name}: {error}");
    assert_golden_output(name, &output);
}

/// Asserts that the adapter fails after it has written the golden lines, with one line of error that contains
/// `value`.
fn assert_failure(name: &str, value: &str) {
    let output = run_adapter(name);
    let error = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(1), "{name}: {error}");
    assert!(error.contains(value) && error.lines().count() == 1, "{name}, '{value}': {error}");
    assert_golden_output(name, &output);
}

#[test]
fn quota_request_is_sent_to_the_owner() {
    assert_golden("quota_request");
    assert_golden("quota_request_with_wrapped_incarnation");
}

#[test]
fn spending_report_is_sent_to_the_owner() {
    assert_golden("spending_report_sent");
}

#[test]
fn quota_request_is_answered() {
    assert_golden("granted_reply_sent");
    assert_golden("denied_reply_sent");
    assert_golden("duplicate_quota_request");
    assert_golden("quota_request_after_a_stall");
}

#[test]
fn granted_reply_forwards_the_request() {
    assert_golden("granted_reply_received");
    assert_golden("reply_to_another_incarnation");
}

#[test]
fn denied_reply_rejects_the_request() {
    assert_golden("denied_reply_received");
}

#[test]
fn settlement_is_sent_to_the_owner() {
    assert_golden("settlement_sent");
    assert_golden("settlement_of_unsent_request");
}

#[test]
fn settlement_charges_actual_units_and_frees_a_slot() {
    assert_golden("settlement_received");
    assert_golden("settlement_frees_slot");
}

#[test]
fn spending_report_lowers_the_tokens_left() {
    assert_golden("spending_report_received");
}

#[test]
fn tombstone_poll_is_sent_after_a_watch_failure() {
    assert_golden("tombstone_poll_sent");
}

#[test]
fn tombstone_poll_is_answered() {
    assert_golden("tombstones_sent");
}

#[test]
fn tombstones_exclude_servers_only_after_a_watch_failure() {
    assert_golden("tombstones_received");
    assert_golden("tombstones_ignored_without_watch_failure");
}

#[test]
fn latency_of_a_peer_limits_forwarded_requests() {
    assert_golden("peer_latency_received");
}

#[test]
fn several_lines_in_one_gossip_message_are_handled() {
    assert_golden("several_lines");
}

#[test]
fn malformed_gossip_is_ignored() {
    assert_golden("malformed_gossip");
}

#[test]
fn timers_of_each_kind() {
    assert_golden("timers");
    assert_golden("latency_objective_and_deadline");
}

#[test]
fn retry_after_is_sent_only_if_allowed() {
    assert_golden("rejection_with_retry_after");
    assert_golden("rejection_without_retry_after");
}

#[test]
fn attempts_are_cancelled() {
    assert_golden("cancelled_attempts");
    assert_golden("cancellation_not_allowed");
}

#[test]
fn possibly_executed_requests_fail() {
    assert_golden("failed_requests");
}

#[test]
fn ejection_is_logged() {
    assert_golden("ejection_after_errors");
    assert_golden("ejection_without_responses");
}

#[test]
fn attempt_outcomes_decide_whether_to_retry() {
    assert_golden("outcomes");
    assert_golden("retries_with_idempotency_key");
}

#[test]
fn streaming_responses_are_not_cancelled() {
    assert_golden("streaming");
}

#[test]
fn endpoint_lists_of_each_scope() {
    assert_golden("endpoint_lists");
    assert_golden("subscription");
}

#[test]
fn instances_start_and_stop() {
    assert_golden("several_instances");
}

#[test]
fn events_without_effect_are_ignored() {
    assert_golden("events_without_effect");
}

#[test]
fn ceilings_and_even_shares() {
    assert_golden("ceiling");
    assert_golden("even_share_without_gossip");
}

#[test]
fn malformed_lines_fail() {
    assert_failure("error_invalid_json", "line 2");
    assert_failure("error_unknown_event", "SURPRISE");
    assert_failure("error_missing_field", "BudgetMs");
    assert_failure("error_unknown_outcome", "fine");
    assert_failure("error_unknown_scope", "some");
    assert_failure("error_body_not_hex", "fdxy");
    assert_failure("error_body_odd_length", "fd0");
}

#[test]
fn unknown_names_fail() {
    assert_failure("error_unknown_instance", "limiter-7");
    assert_failure("error_stop_of_unknown_instance", "limiter-7");
    assert_failure("error_unknown_class", "gaze");
    assert_failure("error_unknown_plan", "gold");
    assert_failure("error_invalid_customer", "00zz");
    assert_failure("error_unknown_endpoint_zone", "mars");
    assert_failure("error_unknown_limiter_zone", "mars");
    assert_failure("error_unknown_page", "917");
    assert_failure("error_endpoints_without_page", "Page");
}

#[test]
fn invalid_settings_fail() {
    assert_failure("error_missing_key_scope", "transfer");
    assert_failure("error_settings_limiters", "65535");
    assert_failure("error_settings_position", "8642");
    assert_failure("error_settings_attempts", " 1 ");
    assert_failure("error_settings_event_interval", "-8642");
    assert_failure("error_settings_cold_capacity", "86.42");
    assert_failure("error_settings_slow_start_time", "time");
    assert_failure("error_settings_overload_factor", "-8642");
    assert_failure("error_settings_gossip_rate", "-8642");
    assert_failure("error_settings_class", " 4 ");
    assert_failure("error_settings_plan", " 3 ");
    assert_failure("error_settings_plan_count", "255");
}

#[test]
fn every_golden_file_is_compared() {
    let source = include_str!("pinned_bytes.rs");
    let path: PathBuf = [env!("CARGO_MANIFEST_DIR"), "tests", "golden"].iter().collect();
    let mut file_count = 0;
    for entry in std::fs::read_dir(path).expect("the folder of golden files") {
        let file =
            entry.expect("an entry of the folder").file_name().into_string().expect("a file name in UTF-8");
        let name = file.trim_end_matches(".jsonl").trim_end_matches(".in").trim_end_matches(".out");
        assert!(source.contains(&format!("(\"{name}\"")), "no test reads {file}");
        file_count += 1;
    }
    assert!(file_count > 0);
}
