//! Handlers for announcements from discovery, for the configured endpoint list, and for a failed watch.

use super::record::Fingerprint;
use crate::event::{Action, Endpoint, EndpointState};
use crate::limiter::Limiter;

impl Limiter {
    /// Handles an announcement, which lists either all servers (`complete`) or those that changed.
    pub(crate) fn on_endpoints_changed(
        &mut self,
        complete: bool,
        endpoints: &[Endpoint],
        out: &mut Vec<Action>,
    ) {
        self.tombstones.is_cut_off_from_discovery = false;
        self.apply_endpoints(complete, endpoints, out);
        // Must come after the announcement has been applied: the servers of the first announcement may have
        // started long ago, so their ages are estimated in the state before discovery was connected.
        self.endpoints.start_times.record_connected();
    }

    /// Installs the endpoint list from the configuration file. Discovery has not responded yet, which is
    /// handled as a failure of the watch. The list may be stale, so peers are polled several times
    /// immediately for servers that have departed since the list was written.
    pub(crate) fn on_endpoints_configured(&mut self, endpoints: &[Endpoint], out: &mut Vec<Action>) {
        self.apply_endpoints(true, endpoints, out);
        self.on_watch_failed(out);
        self.poll_peers_at_startup(out);
    }

    /// Subscribes again after the watch on the endpoint list has failed.
    ///
    /// Peers are polled for tombstones until discovery answers again, in two cases: the limiter subscribes to
    /// the list itself, or discovery has never answered this process. In all other cases, an agent on this
    /// host pushes the list and has already done so once: this process knows everything that the agent knows.
    pub(crate) fn on_watch_failed(&mut self, out: &mut Vec<Action>) {
        let was_connected = self.endpoints.start_times.was_ever_connected();
        self.tombstones.is_cut_off_from_discovery = self.context.settings.must_subscribe || !was_connected;
        self.endpoints.start_times.record_disconnected(self.context.now);
        out.push(Action::SubscribeToEndpoints);
    }

    /// Updates the registry and the tombstones, and forwards queued requests that may have waited for a
    /// server.
    fn apply_endpoints(&mut self, complete: bool, endpoints: &[Endpoint], out: &mut Vec<Action>) {
        let departed = self.endpoints.update(&mut self.context, complete, endpoints);
        for fingerprint in departed {
            self.tombstones.record(self.context.now, fingerprint);
        }
        for endpoint in endpoints {
            if endpoint.state == EndpointState::Serving {
                self.tombstones.remove(Fingerprint::of(endpoint));
            }
        }
        self.drain_queue(out);
    }
}
