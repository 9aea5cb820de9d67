//! Pins what the adapter writes, byte for byte: each reply line and each peer message in it.
//!
//! `golden/NAME.in.jsonl` is fed to the binary, and `golden/NAME.out.jsonl` is what it has to write. Nothing
//! here uses a type of the project, so that names in the code may change while the bytes may not. Only the
//! text of a REMARK, which is for people, is masked.

use std::io::Write;
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};

/// The adapter.
const BINARY: &str = env!("CARGO_BIN_EXE_simulator-adapter");

fn golden(name: &str, end: &str) -> Vec<u8> {
    let path: PathBuf = [env!("CARGO_MANIFEST_DIR"), "tests", "golden"].iter().collect();
    let path = path.join(format!("{name}.{end}.jsonl"));
    std::fs::read(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

fn run(name: &str) -> Output {
    let mut child = Command::new(BINARY)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // A write may fail once the adapter has given up; its exit and output are what count.
    let _ = child.stdin.take().expect("piped").write_all(&golden(name, "in"));
    child.wait_with_output().expect("the adapter ends")
}

/// Replaces the text of each REMARK by a star; all other bytes stay.
fn masked(line: &str) -> String {
    const REMARK: &str = r#"{"m":"REMARK","#;
    const FIELD: &str = r#""Line":""#;
    let mut parts = line.split(REMARK);
    let mut text = parts.next().unwrap_or_default().to_string();
    for part in parts {
        let (head, rest) = part.split_once(FIELD).expect("a REMARK has a Line");
        let mut escaped = false;
        let end = rest.find(|c| {
            let ends = c == '"' && !escaped;
            escaped = c == '\\' && !escaped;
            ends
        });
        let end = end.expect("the Line ends");
        assert!(end > 0, "a REMARK says something: {line}");
        text.extend([REMARK, head, FIELD, "*", &rest[end..]]);
    }
    text
}

/// Compares all that was written with the golden lines.
fn compare(name: &str, output: &Output) {
    let text = String::from_utf8(output.stdout.clone()).expect("replies are text");
    let expected = String::from_utf8(golden(name, "out")).expect("golden lines are text");
    let written: Vec<String> = text.split('\n').map(masked).collect();
    for (i, (line, want)) in written.iter().zip(expected.split('\n')).enumerate() {
        assert_eq!(line, want, "{name}, line {}", i + 1);
    }
    assert_eq!(written.join("\n"), expected, "{name}: number of lines");
}

/// The run succeeds and writes the golden lines.
fn pinned(name: &str) {
    let output = run(name);
    let error = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{name}: {error}");
    compare(name, &output);
}

/// The run fails after the golden lines, and its one line of error names `value`.
fn fails(name: &str, value: &str) {
    let output = run(name);
    let error = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(1), "{name}: {error}");
    assert!(error.contains(value) && error.lines().count() == 1, "{name}, '{value}': {error}");
    compare(name, &output);
}

#[test]
fn quota_request_bytes() {
    pinned("quota_request");
    pinned("born_at_another_time");
}

#[test]
fn units_spent_locally_bytes() {
    pinned("units_spent_locally");
}

#[test]
fn quota_request_is_answered() {
    pinned("granted_reply_sent");
    pinned("refused_reply_sent");
    pinned("repeated_request_same_reply");
    pinned("request_after_a_pause");
}

#[test]
fn granted_reply_sends_the_request_on() {
    pinned("granted_reply_taken");
    pinned("reply_for_another_start");
}

#[test]
fn refused_reply_declines_the_request() {
    pinned("refused_reply_taken");
}

#[test]
fn settlement_bytes() {
    pinned("settlement_sent");
    pinned("settlement_of_unsent");
}

#[test]
fn settlement_charges_the_true_units() {
    pinned("settlement_taken");
    pinned("settlement_frees_place");
}

#[test]
fn units_spent_locally_lower_what_is_left() {
    pinned("spent_locally_taken");
}

#[test]
fn question_who_has_left_bytes() {
    pinned("who_has_left_sent");
}

#[test]
fn question_who_has_left_is_answered() {
    pinned("left_sent");
}

#[test]
fn server_that_left_gets_nothing_more() {
    pinned("left_taken");
    pinned("left_not_taken_in_touch");
}

#[test]
fn latency_share_of_a_peer_limits_what_is_sent() {
    pinned("latency_share_taken");
}

#[test]
fn several_lines_in_one_message() {
    pinned("several_lines");
}

#[test]
fn malformed_bodies_are_ignored() {
    pinned("malformed_bodies");
}

#[test]
fn wakeups_of_each_kind() {
    pinned("wakeups");
    pinned("aim_and_deadline");
}

#[test]
fn refusals_with_and_without_advice() {
    pinned("refusal_with_advice");
    pinned("refusal_without_advice");
}

#[test]
fn attempts_called_off() {
    pinned("call_off");
    pinned("no_cancelling");
}

#[test]
fn requests_lost() {
    pinned("lost");
}

#[test]
fn server_set_aside_is_remarked() {
    pinned("server_set_aside_failing");
    pinned("server_set_aside_silent");
}

#[test]
fn attempt_outcomes() {
    pinned("outcomes");
    pinned("keyed_repeats");
}

#[test]
fn streaming_answers() {
    pinned("streaming");
}

#[test]
fn server_lists_of_each_scope() {
    pinned("lists");
    pinned("subscription");
}

#[test]
fn instances_start_and_stop() {
    pinned("several_instances");
}

#[test]
fn events_without_effect() {
    pinned("events_without_effect");
}

#[test]
fn ceilings_and_even_parts() {
    pinned("ceiling");
    pinned("no_owner_answers");
}

#[test]
fn malformed_lines_fail() {
    fails("error_no_json", "line 2");
    fails("error_unknown_event", "SURPRISE");
    fails("error_missing_field", "BudgetMs");
    fails("error_unknown_outcome", "fine");
    fails("error_unknown_scope", "some");
    fails("error_body_not_hex", "fdxy");
    fails("error_body_half_byte", "fd0");
}

#[test]
fn unknown_names_fail() {
    fails("error_unknown_instance", "limiter-7");
    fails("error_unknown_instance_down", "limiter-7");
    fails("error_unknown_class", "gaze");
    fails("error_unknown_plan", "gold");
    fails("error_unknown_customer", "00zz");
    fails("error_unknown_site", "mars");
    fails("error_unknown_zone", "mars");
    fails("error_unknown_page", "917");
    fails("error_list_without_page", "Page");
}

#[test]
fn settings_that_cannot_be_served_fail() {
    fails("error_keyed_without_scope", "transfer");
    fails("error_settings_limiters", "65535");
    fails("error_settings_position", "8642");
    fails("error_settings_attempts", " 1 ");
    fails("error_settings_round", "-8642");
    fails("error_settings_cold_share", "86.42");
    fails("error_settings_cold_time", "time");
    fails("error_settings_fall_multiple", "-8642");
    fails("error_settings_mail", "-8642");
    fails("error_settings_class", " 4 ");
    fails("error_settings_plan", " 3 ");
    fails("error_settings_plans", "255");
}

#[test]
fn every_golden_file_is_compared() {
    let source = include_str!("pinned_bytes.rs");
    let path: PathBuf = [env!("CARGO_MANIFEST_DIR"), "tests", "golden"].iter().collect();
    let mut files = 0;
    for entry in std::fs::read_dir(path).expect("golden files") {
        let file = entry.expect("a golden file").file_name().into_string().expect("a plain name");
        let name = file.trim_end_matches(".jsonl").trim_end_matches(".in").trim_end_matches(".out");
        assert!(source.contains(&format!("(\"{name}\"")), "{file} is in no test");
        files += 1;
    }
    assert!(files > 0);
}
