//! Settings and policies for the unit tests of the backoff and the policy.

use limiter_core::Settings;

use super::policy::WatchPolicy;

/// Returns the policy of each limiter in a fleet of `limiters` limiters that subscribe to the list.
pub fn subscribed_policy(limiters: u32) -> WatchPolicy {
    WatchPolicy::new(&Settings { must_subscribe: true, limiters, ..fleet_settings() })
}

/// Returns the settings of a fleet to which local agents push lists.
pub fn fleet_settings() -> Settings {
    Settings {
        limiters: 300,
        position: 0,
        zone: 0,
        classes: Vec::new(),
        plans: Vec::new(),
        event_interval_ms: 1.0,
        max_attempts: 1,
        connect_timeout_ms: 250.0,
        can_gossip: false,
        can_cancel: true,
        can_send_retry_after: false,
        gossip_messages_per_s: 0.0,
        must_subscribe: false,
        cold_capacity_fraction: 0.2,
        slow_start_ms: 10_000.0,
        overload_factor: 3.0,
        overload_ms: 2000.0,
    }
}
