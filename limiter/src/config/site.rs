//! The platform's settings in the program's terms: the one place that knows their JSON types.

use limiter_core::{Millis, Settings};
use simulator_adapter::wire::{self, Names, Setup};

use super::shutdown::MAX_CLIENT_DEADLINE_MS;

/// A server's idle time where the settings name none, in milliseconds.
const DEFAULT_SERVER_IDLE_MS: Millis = 10_000.0;
/// Most units of a request where the settings name none.
const DEFAULT_MAX_REQUEST_UNITS: f64 = 1000.0;

/// What the platform's settings tell the program beyond [`Settings`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SiteBounds {
    /// A server closes a connection that has been idle for so long. As it is written: not checked yet.
    pub server_idle_ms: Millis,
    /// Most units that one request may ask for.
    pub max_request_units: f64,
    /// The longest that any client waits, as far as the platform counts it.
    pub max_deadline_ms: Millis,
}

impl SiteBounds {
    /// The bounds that these settings name, or the defaults.
    pub fn new(setup: &Setup) -> SiteBounds {
        let deadlines = setup.classes.iter().map(|class| class.deadline_ms.unwrap_or(MAX_CLIENT_DEADLINE_MS));
        SiteBounds {
            server_idle_ms: setup.bounds.idle_close_ms.unwrap_or(DEFAULT_SERVER_IDLE_MS),
            max_request_units: setup.domain.units_top.unwrap_or(DEFAULT_MAX_REQUEST_UNITS),
            max_deadline_ms: deadlines.map(|ms| ms.min(MAX_CLIENT_DEADLINE_MS)).fold(0.0, f64::max),
        }
    }
}

/// The settings contradict each other.
#[derive(Debug, thiserror::Error)]
#[error("{reason}")]
pub struct InvalidSettings {
    /// Names the setting and its value.
    reason: String,
}

/// The settings of the decisions, and the names that belong to their indices.
///
/// # Errors
/// The first setting that contradicts another.
pub fn translate(setup: Setup) -> Result<(Settings, Names), InvalidSettings> {
    wire::settings(setup).map_err(|error| InvalidSettings { reason: error.to_string() })
}
