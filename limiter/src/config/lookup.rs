//! Values that may be in the environment or in the configuration file.

use std::net::SocketAddr;

use super::error::{ConfigError, ValueOrigin};

/// Finds values that may be in the environment or in the file.
pub struct Lookup<'a> {
    /// Returns the value of an environment variable, as far as the environment counts.
    pub variable: &'a dyn Fn(&str) -> Option<String>,
    /// Path of the file, for errors.
    pub path: &'a str,
}

/// A value, and where the value was found.
pub struct FoundValue {
    /// The value.
    pub value: String,
    origin: ValueOrigin,
}

impl Lookup<'_> {
    /// Returns the value of the variable, or else the value that the file has under `key`.
    ///
    /// # Errors
    /// [`ConfigError::Missing`] if there is neither.
    pub fn text(
        &self,
        variable: &'static str,
        key: &'static str,
        in_file: Option<String>,
    ) -> Result<FoundValue, ConfigError> {
        if let Some(value) = (self.variable)(variable) {
            return Ok(FoundValue { value, origin: ValueOrigin::Variable(variable) });
        }
        let path = self.path.to_string();
        match in_file {
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
    pub fn address(self) -> Result<SocketAddr, ConfigError> {
        let FoundValue { value, origin } = self;
        value.parse().map_err(|_| ConfigError::InvalidAddress { origin, value })
    }
}
