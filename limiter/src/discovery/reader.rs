//! Reads lists from the response to a watch request, and detects a silent watch.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};
use tokio::time::{timeout_at, Instant};

use super::error::WatchError;
use super::framing::ObjectFramer;
use super::policy::MAX_SILENCE;
use crate::endpoints::EndpointList;

/// Reads the lists of one watch.
pub struct ListReader {
    framer: ObjectFramer,
    /// When the watch times out as silent.
    deadline: Instant,
}

impl ListReader {
    /// Creates the reader of a watch that begins now.
    pub fn new() -> ListReader {
        ListReader { framer: ObjectFramer::default(), deadline: Instant::now() + MAX_SILENCE }
    }

    /// Reads the next frame of the response. Cancelling loses no frame.
    ///
    /// # Errors
    /// [`WatchError::Silent`], [`WatchError::Connection`] or [`WatchError::Ended`] if there is no further
    /// frame.
    pub async fn next_frame(&self, body: &mut Incoming) -> Result<Frame<Bytes>, WatchError> {
        match timeout_at(self.deadline, body.frame()).await {
            Ok(Some(Ok(frame))) => Ok(frame),
            Ok(Some(Err(error))) => Err(WatchError::Connection(error)),
            Ok(None) => Err(WatchError::Ended),
            Err(_) => Err(WatchError::Silent),
        }
    }

    /// Appends the data of a frame.
    pub fn push(&mut self, data: &[u8]) {
        self.framer.push(data);
    }

    /// Returns the next list, if it has arrived completely.
    ///
    /// # Errors
    /// [`WatchError::Framing`] or [`WatchError::InvalidList`] if the response cannot be read.
    pub fn next_list(&mut self) -> Result<Option<EndpointList>, WatchError> {
        let Some(object) = self.framer.next_object()? else { return Ok(None) };
        Ok(Some(serde_json::from_slice(&object)?))
    }

    /// Returns whether the data that was appended ends between two lists, and not within one.
    pub fn is_between_lists(&self) -> bool {
        self.framer.is_between_objects()
    }

    /// Restarts the silence timeout, after a list or a keep-alive has arrived.
    pub fn renew_deadline(&mut self) {
        self.deadline = Instant::now() + MAX_SILENCE;
    }
}
