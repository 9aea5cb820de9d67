//! Installs endpoint lists: the list of the configuration, and the lists that discovery announces.

use std::rc::Rc;
use std::sync::Arc;

use limiter_core::{Endpoint, Event, Millis};

use super::Engine;
use crate::endpoints::EndpointUpdate;
use crate::runtime::duration;

/// Time in milliseconds that a new process waits for an announcement of discovery where lists are subscribed
/// to. Afterwards the list of the configuration counts as current.
const SUBSCRIBED_DISCOVERY_TIMEOUT_MS: Millis = 2000.0;
/// The same time where lists are pushed: an agent on this machine answers immediately, unless it knows
/// nothing.
const PUSHED_DISCOVERY_TIMEOUT_MS: Millis = 500.0;
/// Time in milliseconds in which peers answer a new process that has installed the list of the configuration
/// and polls them for tombstones. The process is ready only afterwards, and clients connect only then.
const TOMBSTONE_POLL_TIMEOUT_MS: Millis = 250.0;

impl Engine {
    /// Installs the endpoint list of the configuration file, or withholds the list where lists are pushed.
    ///
    /// What an agent on this machine knows counts as announced from the start of the process. Until the agent
    /// answers, nothing may be sent by an older list. Where lists are subscribed to, the list is installed at
    /// once.
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

    /// Installs the withheld endpoint list of the configuration, if discovery announces nothing in time.
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

    /// Returns whether the installed list counts as current: discovery has announced a list, or neither
    /// discovery nor, after it, the peers have answered in time.
    pub(super) fn has_endpoint_list(&self) -> bool {
        let max_wait_ms = self.discovery_timeout_ms() + TOMBSTONE_POLL_TIMEOUT_MS;
        self.has_announced_list.get() || self.clock.age_ms() > max_wait_ms
    }

    /// Installs an announcement of discovery. The first announcement is applied to the withheld list of the
    /// configuration.
    pub fn update_endpoints(self: &Rc<Self>, update: EndpointUpdate) {
        self.has_announced_list.set(true);
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

    /// Installs an update in the table of addresses, and passes its servers to the core as an event.
    fn apply_endpoints(
        self: &Rc<Self>,
        update: EndpointUpdate,
        event: impl FnOnce(Arc<[Endpoint]>) -> Event,
    ) {
        let mut state = self.state.borrow_mut();
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
