//! The watch on one source: reads its list and changes, and begins anew when it ends.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};
use limiter_core::Event;
use tokio::time::{timeout_at, Instant};

use super::backoff::Backoff;
use super::calls::Calls;
use super::connection::CallError;
use super::framing::{FramingError, ObjectFramer};
use super::policy::{WatchPolicy, MAX_SILENCE};
use super::source::{WatchSource, WatchTarget};
use crate::endpoints::EndpointList;
use crate::engine::Engine;
use crate::observability::labels::WatchEndReason;
use crate::observability::metrics::Metrics;

/// Why a watch has ended.
#[derive(Debug, thiserror::Error)]
pub enum WatchError {
    /// Discovery has not answered the call, or nothing has come on the watch for [`MAX_SILENCE`].
    #[error("nothing came in time")]
    Silent,
    /// The call failed otherwise.
    #[error(transparent)]
    Call(CallError),
    /// The connection failed.
    #[error("the connection failed: {0}")]
    Connection(hyper::Error),
    /// Discovery ended the watch.
    #[error("discovery ended the watch")]
    Ended,
    /// What came is no list.
    #[error("a list cannot be read: {0}")]
    InvalidList(#[from] serde_json::Error),
    /// What came cannot be cut into lists.
    #[error("a list cannot be read: {0}")]
    Framing(#[from] FramingError),
    /// A newer source counts from now on.
    #[error("superseded by a newer source")]
    Superseded,
}

impl WatchError {
    /// Returns the reason under which the end of the watch is counted.
    fn reason(&self) -> WatchEndReason {
        match self {
            WatchError::Silent => WatchEndReason::Silent,
            WatchError::Call(_) => WatchEndReason::RequestFailed,
            WatchError::Connection(_) => WatchEndReason::ConnectionFailed,
            WatchError::Ended => WatchEndReason::EndedByDiscovery,
            WatchError::InvalidList(_) | WatchError::Framing(_) => WatchEndReason::Unreadable,
            WatchError::Superseded => WatchEndReason::Superseded,
        }
    }

    /// Whether what came could not be read.
    fn is_unreadable(&self) -> bool {
        matches!(self, WatchError::InvalidList(_) | WatchError::Framing(_))
    }
}

impl From<CallError> for WatchError {
    /// A call that timed out is a silent watch: the waits that follow are the same.
    fn from(error: CallError) -> WatchError {
        match error {
            CallError::TimedOut => WatchError::Silent,
            error => WatchError::Call(error),
        }
    }
}

/// A watch that has ended.
struct EndedWatch {
    error: WatchError,
    began: Instant,
    /// Discovery had answered the call.
    answered: bool,
    /// A list of another version was read.
    progressed: bool,
}

/// Keeps one source watched.
pub struct Watch {
    engine: Rc<Engine>,
    target: Rc<WatchTarget>,
    source: WatchSource,
    policy: WatchPolicy,
    calls: Calls,
    backoff: Backoff,
    last_error: Option<String>,
}

impl Watch {
    /// A watch that has not begun. The seed of its backoff is the limiter's, altered by the source's number.
    pub fn new(engine: Rc<Engine>, target: Rc<WatchTarget>, source: WatchSource) -> Watch {
        let policy = WatchPolicy::new(&engine.config().settings);
        let seed = engine.config().seed ^ u64::from(source.number);
        let (calls, backoff) = (Calls::new(policy.response_timeout), Backoff::new(policy, seed));
        Watch { engine, target, source, policy, calls, backoff, last_error: None }
    }

    /// Watches the source until there is a newer one and the present watch has ended. A watch that ends, breaks or
    /// falls silent is begun anew from the last version. Its connection is closed before the wait for the next one.
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
            // What cannot be read from the last version on may be read in the complete list.
            if ended.error.is_unreadable() && !ended.progressed {
                self.source.version = None;
            }
        }
    }

    async fn watch_once(&mut self) -> EndedWatch {
        let began = Instant::now();
        let version = self.source.version;
        let (error, answered) = match self.calls.open_watch(&self.source).await {
            Ok(mut stream) => (self.read(&mut stream.body).await, true),
            Err(error) => (error.into(), false),
        };
        EndedWatch { error, began, answered, progressed: self.source.version != version }
    }

    /// The time until the next call. One random draw is made in any case.
    fn next_wait(&mut self, ended: &EndedWatch) -> Duration {
        let is_silent = matches!(ended.error, WatchError::Silent);
        let elapsed = ended.began.elapsed();
        // A watch that fell silent has its own clock, whatever it announced; one that broke soon is as good as none.
        let lasted = ended.answered && (is_silent || elapsed > self.policy.max_backoff);
        let backoff = if ended.progressed || lasted {
            self.backoff.after_success()
        } else if ended.answered {
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

    /// Logs why a watch has ended; once if watches end in the same way many times a second.
    fn log_end(&mut self, ended: &EndedWatch) {
        let reason = ended.error.reason();
        Metrics::count(&self.engine.metrics().endpoint_watches_ended, reason);
        let error = ended.error.to_string();
        if ended.progressed || self.last_error.as_ref() != Some(&error) {
            tracing::info!(%reason, %error, "endpoint watch failed, reconnecting");
        }
        self.last_error = Some(error);
    }

    /// Reads what the source announces until the watch ends.
    async fn read(&mut self, body: &mut Incoming) -> WatchError {
        let mut reader = WatchReader::new();
        loop {
            if let Err(error) = self.read_chunk(&mut reader, body).await {
                return error;
            }
        }
    }

    async fn read_chunk(&mut self, reader: &mut WatchReader, body: &mut Incoming) -> Result<(), WatchError> {
        let frame = reader.next_frame(body).await?;
        if self.target.is_superseded(self.source.number) {
            return Err(WatchError::Superseded);
        }
        let Some(data) = frame.data_ref() else { return Ok(()) };
        reader.framer.push(data);
        // After one that cannot be read the watch begins anew where the list was still complete.
        while let Some(object) = reader.framer.next_object()? {
            self.apply(serde_json::from_slice(&object)?);
            reader.renew_deadline();
        }
        // A keep-alive within an object that goes no further is no sign of life.
        if reader.framer.is_between_objects() {
            reader.renew_deadline();
            self.report_first_contact(reader);
        }
        Ok(())
    }

    fn apply(&mut self, list: EndpointList) {
        self.source.version = Some(list.version);
        self.target.record_announcement(self.source.number);
        self.engine.update_endpoints(list.resolve(&self.engine.config().names));
    }

    /// Tells the core, once a watch, that discovery is in touch: that nothing has changed is news, too.
    fn report_first_contact(&self, reader: &mut WatchReader) {
        if !std::mem::replace(&mut reader.in_touch, true) {
            self.engine.handle_event(Event::EndpointsChanged { complete: false, endpoints: [].into() });
        }
    }
}

/// How far one watch was read.
struct WatchReader {
    framer: ObjectFramer,
    /// When the watch counts as silent.
    deadline: Instant,
    /// The core knows that discovery is in touch.
    in_touch: bool,
}

impl WatchReader {
    fn new() -> WatchReader {
        WatchReader {
            framer: ObjectFramer::default(),
            deadline: Instant::now() + MAX_SILENCE,
            in_touch: false,
        }
    }

    fn renew_deadline(&mut self) {
        self.deadline = Instant::now() + MAX_SILENCE;
    }

    async fn next_frame(&self, body: &mut Incoming) -> Result<Frame<Bytes>, WatchError> {
        match timeout_at(self.deadline, body.frame()).await {
            Ok(Some(Ok(frame))) => Ok(frame),
            Ok(Some(Err(error))) => Err(WatchError::Connection(error)),
            Ok(None) => Err(WatchError::Ended),
            Err(_) => Err(WatchError::Silent),
        }
    }
}
