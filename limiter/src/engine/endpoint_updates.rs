//! How the engine takes endpoint lists in: the configured one, and what discovery announces.

use std::rc::Rc;
use std::sync::Arc;

use limiter_core::{Endpoint, Event, Millis};

use super::Engine;
use crate::endpoints::EndpointUpdate;
use crate::runtime::duration;

/// The endpoint list of the configuration counts as current after this long without an announcement of discovery.
const DISCOVERY_PATIENCE_MS: Millis = 2000.0;
/// The same where lists are pushed: an agent on this machine answers at once, unless it knows nothing.
const PUSHED_DISCOVERY_PATIENCE_MS: Millis = 500.0;
/// A process that takes its configured list asks its peers which servers have departed since: they have answered by
/// then, and only then do clients come.
const PEERS_PATIENCE_MS: Millis = 250.0;

impl Engine {
    /// What an agent on this machine has counts as announced from the first moment: until it is heard, nothing may be
    /// sent by an older list. Where lists are subscribed to, the list counts at once.
    pub(super) fn take_configured_list(self: &Rc<Self>) {
        let Some(list) = &self.config.known_endpoints else { return };
        let list = EndpointUpdate { complete: true, ..list.resolve(&self.config.names) };
        log_invalid_entries(&list);
        if self.config.settings.must_subscribe {
            self.apply_configured_list(list);
        } else {
            self.configured_list.set(Some(list));
        }
    }

    /// Takes the endpoint list of the configuration for current, if discovery announces nothing in time.
    pub async fn fall_back_to_configured_endpoints(self: Rc<Self>) {
        tokio::time::sleep(duration::from_ms(self.discovery_patience_ms())).await;
        if let Some(list) = self.configured_list.take() {
            let waited_ms = self.discovery_patience_ms();
            tracing::warn!(waited_ms, "discovery silent, using configured endpoint list");
            self.apply_configured_list(list);
        }
    }

    fn discovery_patience_ms(&self) -> Millis {
        if self.config.settings.must_subscribe {
            DISCOVERY_PATIENCE_MS
        } else {
            PUSHED_DISCOVERY_PATIENCE_MS
        }
    }

    /// Whether discovery has announced something, or has had its chance and the peers after it.
    pub(super) fn has_endpoint_list(&self) -> bool {
        self.discovery_heard.get() || self.clock.age_ms() > self.discovery_patience_ms() + PEERS_PATIENCE_MS
    }

    /// Takes an announcement of discovery in.
    pub fn update_endpoints(self: &Rc<Self>, update: EndpointUpdate) {
        self.discovery_heard.set(true);
        log_invalid_entries(&update);
        let update = match self.configured_list.take() {
            Some(earlier) => update.applied_to(earlier),
            None => update,
        };
        self.apply_update(update);
    }

    fn apply_update(self: &Rc<Self>, update: EndpointUpdate) {
        let complete = update.complete;
        let event = |endpoints| Event::EndpointsChanged { complete, endpoints };
        self.apply_endpoints(update, event);
    }

    fn apply_configured_list(self: &Rc<Self>, list: EndpointUpdate) {
        self.apply_endpoints(list, |endpoints| Event::EndpointsConfigured { endpoints });
    }

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
