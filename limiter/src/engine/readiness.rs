//! Whether clients may send requests to this process.

use limiter_core::Millis;

use super::Engine;

/// Time in milliseconds after which a new process is ready even if no server was ever announced to it. A
/// fleet that was restarted while discovery is down has to answer its clients, if only with advice on when to
/// retry.
const MAX_STARTUP_MS: Millis = 5000.0;

impl Engine {
    /// Returns whether this process should receive requests: it is not shutting down, and can serve requests
    /// or has waited long enough for a server.
    pub fn is_ready(&self) -> bool {
        if self.is_shutting_down.get() {
            return false;
        }
        self.has_waited_for_servers() || (self.has_endpoint_list() && self.can_serve())
    }

    /// Returns whether no serving server was ever announced, and the longest time for a startup is over.
    fn has_waited_for_servers(&self) -> bool {
        let ever_had_serving = self.state.borrow().endpoints.ever_had_serving();
        !ever_had_serving && self.clock.age_ms() > MAX_STARTUP_MS
    }

    /// Returns whether a server is serving and the core is ready to admit requests.
    fn can_serve(&self) -> bool {
        let state = self.state.borrow();
        state.endpoints.any_serving() && state.limiter.is_ready(self.now())
    }
}
