//! Tests of the retention of correlation ids.

use super::*;

fn id(number: usize) -> HeaderValue {
    HeaderValue::from_str(&format!("c-{number}")).expect("a header value")
}

#[test]
fn an_id_is_retained_for_its_time() {
    let mut ids = AbandonedIds::default();
    ids.insert(&id(1), 1000.0);
    assert!(ids.contains(&id(1), 1000.0 + RETENTION_MS));
    assert!(!ids.contains(&id(2), 1000.0));
    assert!(!ids.contains(&id(1), 1001.0 + RETENTION_MS));
}

#[test]
fn the_oldest_ids_are_dropped_beyond_the_bound() {
    let mut ids = AbandonedIds::default();
    for number in 0..=MAX_IDS {
        ids.insert(&id(number), 0.0);
        ids.insert(&id(number), 0.0);
    }
    assert_eq!(ids.by_age.len(), MAX_IDS);
    assert_eq!(ids.hashes.len(), MAX_IDS);
    assert!(!ids.contains(&id(0), 0.0));
    assert!(ids.contains(&id(1), 0.0));
    assert!(ids.contains(&id(MAX_IDS), 0.0));
}
