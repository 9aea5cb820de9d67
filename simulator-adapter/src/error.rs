//! Why the adapter cannot go on. The messages name keys and messages as the wire does.

use std::io;

use limiter_core::SettingsError;
use thiserror::Error;

use crate::convert::settings::SettingsJsonError;
use crate::hex::HexError;
use crate::names::UnknownName;

/// The line of input at which the adapter has to stop, and why.
#[derive(Debug, Error)]
#[error("line {line}: {source}")]
pub struct AdapterError {
    /// Number of the line, from 1.
    pub(crate) line: usize,
    pub(crate) source: LineError,
}

/// Why a line cannot be answered.
#[derive(Debug, Error)]
pub(crate) enum LineError {
    /// The line cannot be read, or its reply cannot be written.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The line is not a batch.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A message of the batch cannot be handled.
    #[error("event {index}: {source}")]
    Message {
        /// The message's place in the batch, from 0.
        index: usize,
        source: MessageError,
    },
}

/// Why a message cannot be handled.
#[derive(Debug, Error)]
pub(crate) enum MessageError {
    /// It is addressed to an instance that was never started or has been stopped.
    #[error("unknown instance '{0}'")]
    UnknownInstance(String),
    /// It names a class, plan or zone that its instance's settings do not.
    #[error(transparent)]
    UnknownName(#[from] UnknownName),
    /// Its customer is not a number in hex digits.
    #[error("ClientId '{0}' is not 16 hex digits")]
    InvalidCustomer(String),
    /// The gossip message that it carries is not encoded in hex.
    #[error("Body {0}")]
    InvalidBody(#[from] HexError),
    /// It announces endpoints without saying which.
    #[error("BACKENDS_CHANGED without Page")]
    MissingPage,
    /// It announces the endpoints of a page that was never sent.
    #[error("no CENSUS of page {0}")]
    UnknownPage(u32),
    /// The settings of a new instance contradict themselves.
    #[error(transparent)]
    SettingsJson(#[from] SettingsJsonError),
    /// The settings of a new instance cannot be served.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}
