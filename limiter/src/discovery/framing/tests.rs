//! Splitting a stream into JSON objects.

use super::{ObjectFramer, MAX_OBJECT_BYTES};

/// Passes `text` to a framer in chunks of `chunk_length` bytes, and returns the objects.
fn split(text: &str, chunk_length: usize) -> Vec<String> {
    let mut framer = ObjectFramer::default();
    let mut objects = Vec::new();
    for chunk in text.as_bytes().chunks(chunk_length) {
        framer.push(chunk);
        while let Ok(Some(object)) = framer.next_object() {
            objects.push(String::from_utf8_lossy(&object).into_owned());
        }
    }
    assert!(
        framer.is_between_objects() || framer.next_object().is_err(),
        "{text:?} leaves an incomplete object"
    );
    objects
}

#[test]
fn objects_are_split_in_any_layout_and_chunk_length() {
    let one = "{\n  \"version\": 4,\n  \"servers\": [\n    { \"id\": \"a}\\\"{[\" }\n  ]\n}";
    let text = format!("\n\n{one}\r\n\n{{\"version\":5,\"servers\":[]}}{one}\n");
    for chunk_length in [1, 2, 3, 7, text.len()] {
        let expected = [one, "{\"version\":5,\"servers\":[]}", one];
        assert_eq!(split(&text, chunk_length), expected, "chunks of {chunk_length}");
    }
    assert!(split("null\n", 5).is_empty());
    let mut endless = ObjectFramer::default();
    endless.push(b"{");
    endless.push(&vec![b' '; MAX_OBJECT_BYTES]);
    assert!(endless.next_object().is_err());
}
