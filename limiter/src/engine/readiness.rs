//! Readiness: whether clients may send requests to this process.

use limiter_core::Millis;

use super::Engine;

/// Time in milliseconds after which a new process is ready even if neither discovery nor the configuration
/// has listed a serving server. A fleet that was restarted while discovery is down has to answer its clients,
/// even if the responses only advise when to retry.
const STARTUP_TIMEOUT_MS: Millis = 5000.0;

impl Engine {
    /// Returns whether this process should receive requests: the process is not shutting down, and can serve
    /// requests or has waited long enough for a serving server.
    pub fn is_ready(&self) -> bool {
        if self.is_shutting_down.get() {
            return false;
        }
        self.has_startup_timed_out() || (self.is_endpoint_list_current() && self.can_serve())
    }

    /// Returns whether the startup has timed out: [`STARTUP_TIMEOUT_MS`] have passed, and no list with a
    /// serving server was ever installed.
    fn has_startup_timed_out(&self) -> bool {
        let ever_had_serving = self.state.borrow().endpoints.ever_had_serving();
        !ever_had_serving && self.clock.age_ms() > STARTUP_TIMEOUT_MS
    }

    /// Returns whether a server is serving and the core is ready to admit requests.
    fn can_serve(&self) -> bool {
        let state = self.state.borrow();
        state.endpoints.any_serving() && state.limiter.is_ready(self.now())
    }
}
