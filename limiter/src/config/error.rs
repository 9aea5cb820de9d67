//! The errors of reading a configuration.

use std::fmt;
use std::io;

use simulator_adapter::SettingsJsonError;

use super::limits::MIN_CONNECTIONS;

/// Why a configuration cannot be used. The message is one line that names the origin and the value.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The variable with the path of the file is absent or empty.
    #[error("{variable} is not set")]
    NoFile {
        /// The variable.
        variable: &'static str,
    },
    /// The file cannot be read.
    #[error("{path}: {error}")]
    Unreadable {
        /// The file.
        path: String,
        /// The error of the system.
        error: io::Error,
    },
    /// The file is not JSON, lacks a required key, or has a value of the wrong type.
    #[error("{path}: {error}")]
    Malformed {
        /// The file.
        path: String,
        /// Error of the parser, which names the key or the position in the file.
        error: serde_json::Error,
    },
    /// Neither the environment nor the file has the value. Empty variables are ignored, and so is
    /// `ROUTER_DISCOVERY` during a reload.
    #[error("neither {variable} nor '{key}' in {path} is set")]
    Missing {
        /// The environment variable for the value.
        variable: &'static str,
        /// The key for the value in the file.
        key: &'static str,
        /// The file.
        path: String,
    },
    /// A value is not an IP address with a port.
    #[error("{origin} '{value}' is not an address and port")]
    InvalidAddress {
        /// Where the value was found.
        origin: ValueOrigin,
        /// The value.
        value: String,
    },
    /// The seed is not a hexadecimal number of at most 64 bits.
    #[error("{path}: seed '{value}' is not a hexadecimal number of at most 64 bits")]
    InvalidSeed {
        /// The file.
        path: String,
        /// The value.
        value: String,
    },
    /// The idle timeout of servers is negative or not finite.
    #[error("{path}: IdleCloseMs {value} is not a duration")]
    InvalidIdleTime {
        /// The file.
        path: String,
        /// The value.
        value: f64,
    },
    /// The settings contradict each other.
    #[error("{path}: settings: {error}")]
    InvalidSettings {
        /// The file.
        path: String,
        /// Names the setting and its value.
        error: SettingsJsonError,
    },
    /// The platform's limits allow too few connections.
    #[error(
        "{path}: limits leave room for {available} connections, at least {MIN_CONNECTIONS} are required"
    )]
    TooFewConnections {
        /// The file.
        path: String,
        /// Number of connections that the limits allow.
        available: usize,
    },
}

impl ConfigError {
    /// Returns whether reading the file again may succeed: a system call failed, or the file was read while
    /// it was being written.
    pub fn is_transient(&self) -> bool {
        matches!(self, ConfigError::Unreadable { .. } | ConfigError::Malformed { .. })
    }
}

/// Where a value of the configuration was found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ValueOrigin {
    /// In an environment variable.
    Variable(&'static str),
    /// In the file.
    File {
        /// The file.
        path: String,
        /// The key.
        key: &'static str,
    },
}

impl fmt::Display for ValueOrigin {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ValueOrigin::Variable(name) => formatter.write_str(name),
            ValueOrigin::File { path, key } => write!(formatter, "{path}: {key}"),
        }
    }
}
