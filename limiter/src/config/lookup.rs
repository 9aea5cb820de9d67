//! Lookup of values that may be in the environment or in the configuration file.

use std::net::SocketAddr;

use super::error::{ConfigError, ValueOrigin};

/// Finds values that may be in the environment or in the file.
pub struct Lookup<'a> {
    /// Returns the value of an environment variable, or `None` if the variable is absent, empty or ignored
    /// during a reload.
    pub variable: &'a dyn Fn(&str) -> Option<String>,
    /// Path of the file, for error messages.
    pub path: &'a str,
}

/// A value, and where the value was found.
pub struct FoundValue {
    /// The value.
    pub value: String,
    origin: ValueOrigin,
}

impl Lookup<'_> {
    /// Returns the value of the variable, or else `file_value`, the value that the file has under `key`.
    ///
    /// # Errors
    /// [`ConfigError::Missing`] if both are absent.
    pub fn find_value(
        &self,
        variable: &'static str,
        key: &'static str,
        file_value: Option<String>,
    ) -> Result<FoundValue, ConfigError> {
        if let Some(value) = (self.variable)(variable) {
            return Ok(FoundValue { value, origin: ValueOrigin::Variable(variable) });
        }
        let path = self.path.to_string();
        match file_value {
            Some(value) => Ok(FoundValue { value, origin: ValueOrigin::File { path, key } }),
            None => Err(ConfigError::Missing { variable, key, path }),
        }
    }
}

impl FoundValue {
    /// Parses the value as an IP address and port.
    ///
    /// # Errors
    /// [`ConfigError::InvalidAddress`] names the value and its origin.
    pub fn parse_address(self) -> Result<SocketAddr, ConfigError> {
        let FoundValue { value, origin } = self;
        value.parse().map_err(|_| ConfigError::InvalidAddress { origin, value })
    }
}
