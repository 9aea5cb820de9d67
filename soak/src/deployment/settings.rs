//! The settings of a limiter in the JSON format of the platform.

use std::time::Duration;

use serde_json::{json, Value};

use super::{DedupScope, Deployment, Idempotency, RequestClass, ZONES};

impl Deployment {
    /// Returns the settings of the limiter at a position in the deployment.
    pub fn settings(&self, position: usize) -> Value {
        let classes: Vec<Value> = self.classes.iter().map(|class| self.class_settings(class)).collect();
        let plans: Vec<Value> = self.plans.iter().map(|plan| plan.settings.clone()).collect();
        json!({
            "Balancers": self.limiters, "Position": position, "Zone": ZONES[position % ZONES.len()], "Dcs": ZONES,
            "RoundMs": 4.0, "Discovery": if self.subscribes { "subscribe" } else { "automatic" },
            "Classes": classes, "TiersOfService": plans,
            "Bounds": {
                "MostTries": 4, "DialTimeoutMs": to_ms(self.connect_timeout), "Cancelling": self.can_cancel,
                "MayTell": true, "RetryAfter": true, "IdleCloseMs": to_ms(self.server_idle_timeout),
            },
            "Obligations": {
                "StartCapacity": self.initial_capacity_fraction, "ColdMs": to_ms(self.slow_start),
                "FallMultiple": self.overload_factor, "TipAfterMs": to_ms(self.overload_time),
            },
            "Domain": {"MailPerS": 100.0, "UnitsTop": 4.0},
        })
    }

    fn class_settings(&self, class: &RequestClass) -> Value {
        json!({
            "Name": class.name, "AimMs": to_ms(class.latency_objective), "DeadlineMs": to_ms(self.max_timeout),
            "Effect": effect_name(class.idempotency), "KeyScope": key_scope_name(class.idempotency),
            "LateWorth": class.late_value, "WindowMs": to_ms(class.dedup_window),
        })
    }
}

fn effect_name(idempotency: Idempotency) -> &'static str {
    match idempotency {
        Idempotency::Idempotent => "read_like",
        Idempotency::NonIdempotent => "non_idempotent",
        Idempotency::WithKey(_) => "idempotency_key",
    }
}

fn key_scope_name(idempotency: Idempotency) -> &'static str {
    match idempotency {
        Idempotency::WithKey(DedupScope::Zone) => "zone",
        Idempotency::WithKey(DedupScope::Cell) => "cell",
        Idempotency::WithKey(DedupScope::All) | Idempotency::Idempotent | Idempotency::NonIdempotent => "all",
    }
}

fn to_ms(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1000.0
}
