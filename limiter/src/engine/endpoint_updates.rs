//! Installs endpoint lists: the configured list, and the lists that discovery announces.

use std::rc::Rc;
use std::sync::Arc;

use limiter_core::{Endpoint, Event, Millis};

use super::replaced_servers::end_replaced_servers;
use super::Engine;
use crate::endpoints::EndpointUpdate;
use crate::runtime::duration;

/// Time in milliseconds for which a new process waits for the first announcement of discovery, if the limiter
/// has to subscribe to the endpoint list. Afterwards, the process relies on the configured list.
const SUBSCRIBED_DISCOVERY_TIMEOUT_MS: Millis = 2000.0;
/// Time in milliseconds for which a new process waits for the first announcement of discovery, if the
/// endpoint list is pushed. A discovery agent on this machine answers immediately, unless the agent has no
/// list. Afterwards, the process relies on the configured list.
const PUSHED_DISCOVERY_TIMEOUT_MS: Millis = 500.0;
/// Time in milliseconds for the peers to answer a new process that has installed the configured list and
/// polls them for tombstones. The process is ready only afterwards, and clients connect only to a ready
/// process.
const TOMBSTONE_POLL_TIMEOUT_MS: Millis = 250.0;

impl Engine {
    /// Installs the configured endpoint list immediately if the limiter has to subscribe to endpoint lists,
    /// and withholds it if the lists are pushed.
    ///
    /// Where lists are pushed, the list of the discovery agent on this machine applies from the start of the
    /// process. Until the agent answers, no request may be forwarded on the basis of an older list.
    pub(super) fn install_configured_list(self: &Rc<Self>) {
        let Some(list) = &self.config.known_endpoints else { return };
        let list = EndpointUpdate { complete: true, ..list.resolve(&self.config.names) };
        log_invalid_entries(&list);
        if self.config.settings.must_subscribe {
            self.apply_configured_list(list);
        } else {
            self.withheld_list.set(Some(list));
        }
    }

    /// Installs the withheld configured list, if discovery announces nothing in time.
    pub async fn fall_back_to_configured_endpoints(self: Rc<Self>) {
        let waited_ms = self.discovery_timeout_ms();
        tokio::time::sleep(duration::from_ms(waited_ms)).await;
        if let Some(list) = self.withheld_list.take() {
            tracing::warn!(waited_ms, "discovery silent, using configured endpoint list");
            self.apply_configured_list(list);
        }
    }

    fn discovery_timeout_ms(&self) -> Millis {
        if self.config.settings.must_subscribe {
            SUBSCRIBED_DISCOVERY_TIMEOUT_MS
        } else {
            PUSHED_DISCOVERY_TIMEOUT_MS
        }
    }

    /// Returns whether the installed list is treated as current: discovery has announced a list, or the time
    /// for discovery and then the time for the peers to answer has passed.
    pub(super) fn is_endpoint_list_current(&self) -> bool {
        let max_wait_ms = self.discovery_timeout_ms() + TOMBSTONE_POLL_TIMEOUT_MS;
        self.discovery_has_announced.get() || self.clock.age_ms() > max_wait_ms
    }

    /// Installs an announcement of discovery. The first announcement is applied to the configured list, if
    /// that list is withheld.
    pub fn update_endpoints(self: &Rc<Self>, update: EndpointUpdate) {
        self.discovery_has_announced.set(true);
        log_invalid_entries(&update);
        let update = match self.withheld_list.take() {
            Some(earlier) => update.applied_to(earlier),
            None => update,
        };
        let complete = update.complete;
        self.apply_endpoints(update, |endpoints| Event::EndpointsChanged { complete, endpoints });
    }

    fn apply_configured_list(self: &Rc<Self>, list: EndpointUpdate) {
        self.apply_endpoints(list, |endpoints| Event::EndpointsConfigured { endpoints });
    }

    /// Installs an update in the endpoint table without the servers that others have replaced, and passes its
    /// servers to the core as an event.
    fn apply_endpoints(
        self: &Rc<Self>,
        mut update: EndpointUpdate,
        event: impl FnOnce(Arc<[Endpoint]>) -> Event,
    ) {
        let mut state = self.state.borrow_mut();
        end_replaced_servers(&mut update, &state.endpoints);
        state.endpoints.apply(&update, self.upstream.as_ref());
        let endpoints = update.endpoints.into_iter().map(|resolved| resolved.endpoint).collect();
        self.dispatch_event(&mut state, event(endpoints));
    }
}

fn log_invalid_entries(update: &EndpointUpdate) {
    for _ in 0..update.invalid_entries {
        tracing::warn!("unreadable endpoint entry ignored");
    }
}
