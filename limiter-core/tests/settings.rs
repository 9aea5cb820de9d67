//! Invalid settings are rejected.

mod common;
use common::*;
use limiter_core::*;

/// Asserts that altered settings are rejected with an error that names the value.
fn assert_rejected(alter: fn(&mut Settings), named: &str) {
    let mut settings = settings(0);
    alter(&mut settings);
    let error = Limiter::new(settings, 1, 0.0).expect_err("must be rejected");
    assert!(error.to_string().contains(named), "{error}");
}

#[test]
fn invalid_settings_are_rejected_with_an_error_that_names_the_value() {
    assert_rejected(|settings| settings.limiters = 0, "limiters");
    assert_rejected(|settings| settings.limiters = 70_000, "limiters");
    assert_rejected(|settings| settings.position = 3, "position 3");
    assert_rejected(|settings| settings.max_attempts = 0, "max_attempts");
    assert_rejected(|settings| settings.classes[1].latency_objective_ms = 0.0, "class 1");
    assert_rejected(|settings| settings.plans[0].rate = f64::NAN, "plan 0");
    assert_rejected(|settings| settings.cold_capacity_fraction = 1.5, "cold_capacity_fraction");
    assert_rejected(|settings| settings.plans = vec![settings.plans[0].clone(); 256], "plans");
    assert_rejected(|settings| settings.event_interval_ms = f64::INFINITY, "event_interval_ms");
    assert_rejected(|settings| settings.gossip_messages_per_s = -1.0, "gossip_messages_per_s");
}
