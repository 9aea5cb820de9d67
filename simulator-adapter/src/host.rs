//! Hosts the instances: owns them and the endpoint pages, and delivers each message to its instance.

use std::collections::BTreeMap;
use std::sync::Arc;

use limiter_core::{Action, Endpoint, Event, Limiter, Millis, TimerToken};

use crate::convert::action::outbound_message;
use crate::convert::event::{attempt_ended_event, endpoint, request};
use crate::convert::settings::CoreSettings;
use crate::error::{LineError, MessageError};
use crate::hex;
use crate::names::NameIndex;
use crate::wire::action::{OutboundBatch, OutboundMessage};
use crate::wire::event::{EndpointEntry, EndpointScope, InboundBatch, InboundMessage, RequestArrival};
use crate::wire::settings::InstanceSettings;

/// A running limiter, with the index of the names in its settings.
struct Instance {
    id: Arc<str>,
    names: NameIndex,
    limiter: Limiter,
}

/// The running instances, and the endpoint pages that messages to any of them may refer to.
#[derive(Default)]
pub(crate) struct Host {
    instances: BTreeMap<String, Instance>,
    /// Endpoint lists by page number. A page that is sent again replaces the earlier one.
    endpoint_pages: BTreeMap<u32, Vec<EndpointEntry>>,
    /// The actions of the message in progress. Empty between messages; reused to avoid allocations.
    actions: Vec<Action>,
}

impl Host {
    /// Handles the messages of a batch in order, and returns the batch of the replies.
    pub(crate) fn handle_batch(&mut self, batch: InboundBatch) -> Result<OutboundBatch, LineError> {
        let mut messages = Vec::new();
        for (index, message) in batch.messages.into_iter().enumerate() {
            self.handle_message(batch.now_ms, message, &mut messages)
                .map_err(|source| LineError::Message { index, source })?;
        }
        Ok(OutboundBatch { sequence: batch.sequence, messages })
    }

    fn handle_message(
        &mut self,
        now: Millis,
        message: InboundMessage,
        replies: &mut Vec<OutboundMessage>,
    ) -> Result<(), MessageError> {
        match message {
            InboundMessage::StartInstance { limiter_id, seed, settings } => {
                self.start_instance(now, limiter_id, seed, *settings)
            }
            InboundMessage::StopInstance { limiter_id } => self.stop_instance(&limiter_id),
            InboundMessage::EndpointPage { page, endpoints } => {
                self.endpoint_pages.insert(page, endpoints);
                Ok(())
            }
            InboundMessage::EndpointsChanged { limiter_id, scope, page } => {
                let event = self.endpoints_changed_event(&limiter_id, scope, page)?;
                self.deliver(now, &limiter_id, event, replies)
            }
            InboundMessage::RequestArrived(arrival) => {
                let event = self.request_arrived_event(&arrival)?;
                self.deliver(now, &arrival.limiter_id, event, replies)
            }
            InboundMessage::ResponseStarted { limiter_id, request_id } => {
                self.deliver(now, &limiter_id, Event::ResponseStarted { id: request_id }, replies)
            }
            InboundMessage::AttemptEnded(end) => {
                self.deliver(now, &end.limiter_id, attempt_ended_event(&end), replies)
            }
            InboundMessage::ClientDisconnected { limiter_id, request_id } => {
                self.deliver(now, &limiter_id, Event::ClientDisconnected { id: request_id }, replies)
            }
            InboundMessage::TimerFired { limiter_id, token } => {
                self.fire_timer(now, &limiter_id, token, replies)
            }
            InboundMessage::GossipReceived { limiter_id, from, body } => {
                let body = hex::decode(&body)?;
                self.deliver(now, &limiter_id, Event::GossipReceived { from, body }, replies)
            }
            InboundMessage::HealthCheckEnded { limiter_id, .. }
            | InboundMessage::CounterRead { limiter_id, .. } => self.ignore_message(&limiter_id),
        }
    }

    /// Checks that an instance exists and ignores a message to it. Limiters send no health checks and do not
    /// use the shared counter, so the results of both have no effect.
    fn ignore_message(&self, limiter_id: &str) -> Result<(), MessageError> {
        self.instance(limiter_id).map(|_| ())
    }

    fn start_instance(
        &mut self,
        now: Millis,
        limiter_id: String,
        seed: u64,
        settings: InstanceSettings,
    ) -> Result<(), MessageError> {
        let CoreSettings { settings, names } = settings.into_core()?;
        let limiter = Limiter::new(settings, seed, now)?;
        let instance = Instance { id: Arc::from(limiter_id.as_str()), names, limiter };
        self.instances.insert(limiter_id, instance);
        Ok(())
    }

    fn stop_instance(&mut self, limiter_id: &str) -> Result<(), MessageError> {
        self.instances.remove(limiter_id).map(|_| ()).ok_or_else(|| unknown_instance(limiter_id))
    }

    fn request_arrived_event(&self, arrival: &RequestArrival) -> Result<Event, MessageError> {
        let instance = self.instance(&arrival.limiter_id)?;
        Ok(Event::RequestArrived(request(arrival, &instance.names)?))
    }

    /// Delivers a timer event. A number that does not encode a token is ignored, but the instance has to
    /// exist.
    fn fire_timer(
        &mut self,
        now: Millis,
        limiter_id: &str,
        token: u64,
        replies: &mut Vec<OutboundMessage>,
    ) -> Result<(), MessageError> {
        match TimerToken::decode(token) {
            Some(token) => self.deliver(now, limiter_id, Event::TimerFired { token }, replies),
            None => self.ignore_message(limiter_id),
        }
    }

    fn endpoints_changed_event(
        &self,
        limiter_id: &str,
        scope: EndpointScope,
        page: Option<u32>,
    ) -> Result<Event, MessageError> {
        let instance = self.instance(limiter_id)?;
        if scope == EndpointScope::Failed {
            return Ok(Event::WatchFailed);
        }
        let page = page.ok_or(MessageError::MissingPage)?;
        let entries = self.endpoint_pages.get(&page).ok_or(MessageError::UnknownPage(page))?;
        let endpoints = entries
            .iter()
            .map(|entry| endpoint(entry, &instance.names))
            .collect::<Result<Arc<[Endpoint]>, _>>()?;
        Ok(Event::EndpointsChanged { complete: scope != EndpointScope::Delta, endpoints })
    }

    /// Delivers an event to an instance, and appends the messages for the resulting actions to `replies`.
    fn deliver(
        &mut self,
        now: Millis,
        limiter_id: &str,
        event: Event,
        replies: &mut Vec<OutboundMessage>,
    ) -> Result<(), MessageError> {
        let instance = self.instances.get_mut(limiter_id).ok_or_else(|| unknown_instance(limiter_id))?;
        instance.limiter.handle(now, event, &mut self.actions);
        let actions = self.actions.drain(..);
        replies.extend(actions.map(|action| outbound_message(instance.id.clone(), action)));
        Ok(())
    }

    fn instance(&self, limiter_id: &str) -> Result<&Instance, MessageError> {
        self.instances.get(limiter_id).ok_or_else(|| unknown_instance(limiter_id))
    }
}

fn unknown_instance(limiter_id: &str) -> MessageError {
    MessageError::UnknownInstance(limiter_id.to_string())
}
