//! The watch on one source: applies the lists of the source, and reopens the watch whenever it ends.

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
    /// Whether discovery had accepted the request.
    was_accepted: bool,
    /// Whether a list of another version than before was read.
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
    /// Whether the core has been notified that the current watch is connected.
    has_reported_connection: bool,
    /// Why the last watch ended. Used to log a repeated error only once.
    last_error: Option<String>,
}

impl Watch {
    /// Creates a watch that has not been requested. The seed of its backoff is the seed of the limiter,
    /// combined with the number of the source.
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

    /// Watches the source until there is a newer one and the current watch has ended. A watch that ends,
    /// fails or falls silent is reopened from the last version. If a list could not be read, and the watch
    /// had read no list of another version before, the next watch begins with the complete list. The
    /// connection of a watch is closed before the wait for the next one.
    ///
    /// Cancelling ends the watch and closes all its connections. Lists that were read have been applied.
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
            // If the changes since the last version cannot be read, the complete list may be readable.
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

    /// Returns the time until the next request. Every call makes one random draw, even if the next request is
    /// sent without a backoff.
    fn next_wait(&mut self, ended: &EndedWatch) -> Duration {
        let is_silent = matches!(ended.error, WatchError::Silent);
        let elapsed = ended.requested_at.elapsed();
        // A watch that fell silent has lasted for at least MAX_SILENCE, regardless of what it announced. Any
        // other watch that ended within the maximum backoff is a failure, unless a list of another version
        // was read.
        let lasted_long_enough = ended.was_accepted && (is_silent || elapsed > self.policy.max_backoff);
        let backoff = if ended.has_progressed || lasted_long_enough {
            self.backoff.after_success()
        } else if ended.was_accepted {
            self.backoff.after_failure(Duration::ZERO)
        } else {
            self.backoff.after_failure(elapsed)
        };
        if is_silent && self.policy.retry_immediately_after_timeout {
            Duration::ZERO
        } else {
            backoff
        }
    }

    /// Counts and logs the end of a watch. An error may occur many times a second: if the next watch ends
    /// with the same error, that is logged only if the watch read a list of another version.
    fn log_end(&mut self, ended: &EndedWatch) {
        let reason = ended.error.reason();
        Metrics::count(&self.engine.metrics().endpoint_watches_ended, reason);
        let error = ended.error.to_string();
        if ended.has_progressed || self.last_error.as_ref() != Some(&error) {
            tracing::info!(%reason, %error, "endpoint watch failed, reconnecting");
        }
        self.last_error = Some(error);
    }

    /// Reads and applies the lists that the source announces. Returns why the watch has ended.
    async fn read(&mut self, body: &mut Incoming) -> WatchError {
        self.has_reported_connection = false;
        let mut reader = ListReader::new();
        loop {
            if let Err(error) = self.read_frame(&mut reader, body).await {
                return error;
            }
        }
    }

    /// Reads one frame, and applies the lists that this frame completes.
    ///
    /// # Errors
    /// Why the watch has ended. A list that cannot be read ends the watch; see [`Watch::run`] for the version
    /// from which the watch is reopened.
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

    /// Records the version of a list, and passes the list to the engine.
    fn apply(&mut self, list: &EndpointList) {
        self.source.version = Some(list.version);
        self.target.record_announcement(self.source.number);
        self.engine.update_endpoints(list.resolve(&self.engine.config().names));
    }

    /// Reports to the core, once per watch, that discovery is connected. The report is an empty list of
    /// changes, which the core handles as an announcement like any other.
    fn report_connection(&mut self) {
        if !std::mem::replace(&mut self.has_reported_connection, true) {
            self.engine.handle_event(Event::EndpointsChanged { complete: false, endpoints: [].into() });
        }
    }
}
