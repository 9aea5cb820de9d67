//! The reasons why a watch ends.

use super::framing::FramingError;
use super::request::WatchRequestError;
use crate::observability::labels::WatchEndReason;

/// Why a watch has ended.
#[derive(Debug, thiserror::Error)]
pub enum WatchError {
    /// Discovery has not answered the request in time, or the watch was silent for
    /// [`super::policy::MAX_SILENCE`].
    #[error("no response, list or keep-alive arrived in time")]
    Silent,
    /// The request failed for another reason.
    #[error(transparent)]
    Request(WatchRequestError),
    /// The connection failed.
    #[error("the connection failed: {0}")]
    Connection(#[source] hyper::Error),
    /// Discovery ended the watch.
    #[error("discovery ended the watch")]
    Ended,
    /// A JSON object is not an endpoint list.
    #[error("a list cannot be read: {0}")]
    InvalidList(#[from] serde_json::Error),
    /// The response cannot be split into JSON objects.
    #[error("a list cannot be read: {0}")]
    Framing(#[from] FramingError),
    /// A newer source has announced a list and replaces this one.
    #[error("superseded by a newer source")]
    Superseded,
}

impl WatchError {
    /// Returns the reason under which the end of the watch is counted.
    pub fn reason(&self) -> WatchEndReason {
        match self {
            WatchError::Silent => WatchEndReason::Silent,
            WatchError::Request(_) => WatchEndReason::RequestFailed,
            WatchError::Connection(_) => WatchEndReason::ConnectionFailed,
            WatchError::Ended => WatchEndReason::EndedByDiscovery,
            WatchError::InvalidList(_) | WatchError::Framing(_) => WatchEndReason::Unreadable,
            WatchError::Superseded => WatchEndReason::Superseded,
        }
    }

    /// Returns whether discovery sent something that could not be read as an endpoint list.
    pub fn is_unreadable(&self) -> bool {
        matches!(self, WatchError::InvalidList(_) | WatchError::Framing(_))
    }
}

impl From<WatchRequestError> for WatchError {
    /// Converts the error of a request. A request that timed out is treated as a silent watch, because the
    /// same waits follow.
    fn from(error: WatchRequestError) -> WatchError {
        match error {
            WatchRequestError::TimedOut => WatchError::Silent,
            error => WatchError::Request(error),
        }
    }
}
