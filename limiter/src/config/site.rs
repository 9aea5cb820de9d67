//! Settings of the program that are not settings of the core.

use limiter_core::Millis;
use simulator_adapter::InstanceSettings;

use super::shutdown::MAX_CLIENT_DEADLINE_MS;

/// Idle timeout of servers in milliseconds if the settings name none.
const DEFAULT_SERVER_IDLE_MS: Millis = 10_000.0;
/// Highest number of quota units that one request may cost if the settings name none.
const DEFAULT_MAX_REQUEST_UNITS: f64 = 1000.0;

/// The settings of the file that the program uses beyond [`limiter_core::Settings`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SiteSettings {
    /// Time in milliseconds after which a server closes an idle connection. Not validated yet.
    pub server_idle_ms: Millis,
    /// Highest number of quota units that one request may cost.
    pub max_request_units: f64,
    /// Longest time in milliseconds that a client waits, at most [`MAX_CLIENT_DEADLINE_MS`].
    pub max_deadline_ms: Millis,
}

impl SiteSettings {
    /// Returns the values from the settings of the file, or the defaults for absent ones.
    pub fn new(settings: &InstanceSettings) -> SiteSettings {
        SiteSettings {
            server_idle_ms: settings.capabilities.server_idle_timeout_ms.unwrap_or(DEFAULT_SERVER_IDLE_MS),
            max_request_units: settings.service.max_request_units.unwrap_or(DEFAULT_MAX_REQUEST_UNITS),
            max_deadline_ms: max_deadline_ms(settings),
        }
    }
}

/// Returns the longest deadline of the classes in milliseconds, at most [`MAX_CLIENT_DEADLINE_MS`].
fn max_deadline_ms(settings: &InstanceSettings) -> Millis {
    let mut max_deadline_ms: Millis = 0.0;
    for class in &settings.classes {
        let deadline_ms = class.deadline_ms.unwrap_or(MAX_CLIENT_DEADLINE_MS);
        max_deadline_ms = max_deadline_ms.max(deadline_ms.min(MAX_CLIENT_DEADLINE_MS));
    }
    max_deadline_ms
}
