//! The watch on one source: applies its lists, and is reopened whenever it ends.

use std::rc::Rc;
use std::time::Duration;

use hyper::body::Incoming;
use limiter_core::Event;
use tokio::time::Instant;

use super::backoff::Backoff;
use super::error::WatchError;
use super::in_flight::InFlightRequests;
use super::policy::WatchPolicy;
use super::reader::ListReader;
use super::source::{WatchSource, WatchTarget};
use crate::endpoints::EndpointList;
use crate::engine::Engine;
use crate::observability::metrics::Metrics;

/// A watch that has ended.
struct EndedWatch {
    /// Why the watch has ended.
    error: WatchError,
    /// When the watch was requested.
    requested_at: Instant,
    /// Discovery had accepted the request.
    was_accepted: bool,
    /// A list of another version than before was read.
    has_progressed: bool,
}

/// Watches one source.
pub struct Watch {
    engine: Rc<Engine>,
    target: Rc<WatchTarget>,
    source: WatchSource,
    policy: WatchPolicy,
    requests: InFlightRequests,
    backoff: Backoff,
    /// The core knows that discovery is connected by the present watch.
    has_reported_connection: bool,
    /// Why the last watch ended, to log a repeated error once.
    last_error: Option<String>,
}

impl Watch {
    /// Creates a watch that has not been requested. The seed of its backoff is the limiter's, altered by the
    /// source's number.
    pub fn new(engine: Rc<Engine>, target: Rc<WatchTarget>, source: WatchSource) -> Watch {
        let policy = WatchPolicy::new(&engine.config().settings);
        let seed = engine.config().seed ^ u64::from(source.number);
        Watch {
            engine,
            target,
            source,
            policy,
            requests: InFlightRequests::new(policy.response_timeout),
            backoff: Backoff::new(policy, seed),
            has_reported_connection: false,
            last_error: None,
        }
    }

    /// Watches the source until there is a newer one and the present watch has ended. A watch that ends,
    /// breaks or falls silent is reopened from the last version. The connection of a watch is closed before
    /// the wait for the next one.
    ///
    /// Cancelling ends the watch and closes all its connections; the lists that were read have been applied.
    pub async fn run(mut self) {
        loop {
            let ended = self.watch_once().await;
            if self.target.newest() != self.source.number {
                let address = self.source.address;
                let error = &ended.error;
                tracing::info!(%address, %error, "endpoint watch superseded");
                return;
            }
            self.engine.handle_event(Event::WatchFailed);
            let wait = self.next_wait(&ended);
            self.log_end(&ended);
            tokio::time::sleep(wait).await;
            // Changes that cannot be read from the last version on may be readable in the complete list.
            if ended.error.is_unreadable() && !ended.has_progressed {
                self.source.version = None;
            }
        }
    }

    /// Requests a watch and reads it until it ends.
    async fn watch_once(&mut self) -> EndedWatch {
        let requested_at = Instant::now();
        let version_before = self.source.version;
        let mut was_accepted = false;
        let error = match self.requests.open_watch(&self.source).await {
            Ok(mut stream) => {
                was_accepted = true;
                self.read(&mut stream.body).await
            }
            Err(error) => error.into(),
        };
        let has_progressed = self.source.version != version_before;
        EndedWatch { error, requested_at, was_accepted, has_progressed }
    }

    /// Returns the time until the next request. Every call makes one random draw, also where no backoff is
    /// waited for.
    fn next_wait(&mut self, ended: &EndedWatch) -> Duration {
        let is_silent = matches!(ended.error, WatchError::Silent);
        let elapsed = ended.requested_at.elapsed();
        // MAX_SILENCE has already bounded the time of a watch that fell silent, whatever it announced. Any
        // other watch that ended soon counts as a failure, unless a list was read.
        let has_lasted = ended.was_accepted && (is_silent || elapsed > self.policy.max_backoff);
        let backoff = if ended.has_progressed || has_lasted {
            self.backoff.after_success()
        } else if ended.was_accepted {
            self.backoff.after_failure(Duration::ZERO)
        } else {
            self.backoff.after_failure(elapsed)
        };
        if is_silent && self.policy.retry_timeout_immediately {
            Duration::ZERO
        } else {
            backoff
        }
    }

    /// Logs why a watch has ended. An error that occurs many times a second is logged once.
    fn log_end(&mut self, ended: &EndedWatch) {
        let reason = ended.error.reason();
        Metrics::count(&self.engine.metrics().endpoint_watches_ended, reason);
        let error = ended.error.to_string();
        if ended.has_progressed || self.last_error.as_ref() != Some(&error) {
            tracing::info!(%reason, %error, "endpoint watch failed, reconnecting");
        }
        self.last_error = Some(error);
    }

    /// Reads the lists that the source announces until the watch ends. Returns why it has ended.
    async fn read(&mut self, body: &mut Incoming) -> WatchError {
        self.has_reported_connection = false;
        let mut reader = ListReader::new();
        loop {
            if let Err(error) = self.read_frame(&mut reader, body).await {
                return error;
            }
        }
    }

    /// Reads one frame, and applies the lists that are complete with it. After a list that cannot be read,
    /// the watch is reopened from the last version that could be read.
    async fn read_frame(&mut self, reader: &mut ListReader, body: &mut Incoming) -> Result<(), WatchError> {
        let frame = reader.next_frame(body).await?;
        if self.target.is_superseded(self.source.number) {
            return Err(WatchError::Superseded);
        }
        let Some(data) = frame.data_ref() else { return Ok(()) };
        reader.push(data);
        while let Some(list) = reader.next_list()? {
            self.apply(&list);
            reader.renew_deadline();
        }
        // A keep-alive within an incomplete list does not prove that the watch makes progress.
        if reader.is_between_lists() {
            reader.renew_deadline();
            self.report_connection();
        }
        Ok(())
    }

    /// Passes a list to the engine.
    fn apply(&mut self, list: &EndpointList) {
        self.source.version = Some(list.version);
        self.target.record_announcement(self.source.number);
        self.engine.update_endpoints(list.resolve(&self.engine.config().names));
    }

    /// Reports to the core, once a watch, that discovery is connected. An empty change does so: that nothing
    /// has changed is an announcement, too.
    fn report_connection(&mut self) {
        if !std::mem::replace(&mut self.has_reported_connection, true) {
            self.engine.handle_event(Event::EndpointsChanged { complete: false, endpoints: [].into() });
        }
    }
}
