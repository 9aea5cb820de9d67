//! What the platform's settings tell the program beyond those of the core.

use limiter_core::Millis;
use simulator_adapter::InstanceSettings;

use super::shutdown::MAX_CLIENT_DEADLINE_MS;

/// A server's idle time where the settings name none, in milliseconds.
const DEFAULT_SERVER_IDLE_MS: Millis = 10_000.0;
/// Most units of a request where the settings name none.
const DEFAULT_MAX_REQUEST_UNITS: f64 = 1000.0;

/// What the platform's settings tell the program beyond [`limiter_core::Settings`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SiteSettings {
    /// A server closes a connection that has been idle for so long. As it is written: not checked yet.
    pub server_idle_ms: Millis,
    /// Most units that one request may ask for.
    pub max_request_units: f64,
    /// The longest that any client waits, as far as the platform counts it.
    pub max_deadline_ms: Millis,
}

impl SiteSettings {
    /// The bounds that these settings name, or the defaults.
    pub fn new(settings: &InstanceSettings) -> SiteSettings {
        let classes = settings.classes.iter();
        let deadlines = classes.map(|class| class.deadline_ms.unwrap_or(MAX_CLIENT_DEADLINE_MS));
        SiteSettings {
            server_idle_ms: settings.capabilities.server_idle_timeout_ms.unwrap_or(DEFAULT_SERVER_IDLE_MS),
            max_request_units: settings.service.max_request_units.unwrap_or(DEFAULT_MAX_REQUEST_UNITS),
            max_deadline_ms: deadlines.map(|ms| ms.min(MAX_CLIENT_DEADLINE_MS)).fold(0.0, f64::max),
        }
    }
}
