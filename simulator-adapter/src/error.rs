//! The errors that make the adapter exit. Their texts use the wire's names of messages and keys.

use std::io;

use limiter_core::SettingsError;
use thiserror::Error;

use crate::convert::settings::SettingsJsonError;
use crate::hex::HexError;
use crate::names::UnknownName;

/// The error for a line of input that cannot be handled. The adapter exits at the first such line.
#[derive(Debug, Error)]
#[error("line {line}: {source}")]
pub struct AdapterError {
    /// Number of the line, starting at 1.
    pub(crate) line: usize,
    pub(crate) source: LineError,
}

/// The reason why a line cannot be answered.
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
        /// Position of the message in the batch, starting at 0.
        index: usize,
        source: MessageError,
    },
}

/// The reason why a message cannot be handled.
#[derive(Debug, Error)]
pub(crate) enum MessageError {
    /// The message is addressed to an instance that is not running.
    #[error("unknown instance '{0}'")]
    UnknownInstance(String),
    /// The message names a class, plan or zone that the settings of its instance do not contain.
    #[error(transparent)]
    UnknownName(#[from] UnknownName),
    /// The customer is not a number in hex digits.
    #[error("ClientId '{0}' is not 16 hex digits")]
    InvalidCustomer(String),
    /// The gossip message is not encoded in hex.
    #[error("Body {0}")]
    InvalidBody(#[from] HexError),
    /// An announcement of endpoints refers to no page.
    #[error("BACKENDS_CHANGED without Page")]
    MissingPage,
    /// An announcement of endpoints refers to a page that was never sent.
    #[error("no CENSUS of page {0}")]
    UnknownPage(u32),
    /// The settings of a new instance contradict each other.
    #[error(transparent)]
    SettingsJson(#[from] SettingsJsonError),
    /// The settings of a new instance have an invalid value.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}
