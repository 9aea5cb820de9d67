//! The path of a request: `/class/customer`.

use hyper::StatusCode;

use crate::config::Config;

/// Length of a customer id in the path, in hexadecimal digits, as the protocol defines it.
const CUSTOMER_HEX_DIGITS: usize = 16;
/// Customer ids are below this bound, as the protocol defines it.
const CUSTOMER_ID_BOUND: u64 = 1 << 33;

/// Why the path of a request is invalid. The message is the body of the response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum RequestPathError {
    /// The path is not `/class/customer`.
    #[error("no such path")]
    UnknownPath,
    /// The path names a class that the settings do not define.
    #[error("unknown class")]
    UnknownClass,
    /// The second part of the path is not a customer id.
    #[error("the customer is not 16 hex digits below 2^33")]
    InvalidCustomer,
}

impl RequestPathError {
    /// Returns the status of the response.
    pub fn status(self) -> StatusCode {
        match self {
            RequestPathError::UnknownPath => StatusCode::NOT_FOUND,
            RequestPathError::UnknownClass | RequestPathError::InvalidCustomer => StatusCode::BAD_REQUEST,
        }
    }
}

/// The class and the customer that a path names.
pub struct RequestPath {
    /// Index of the class in the settings.
    pub class: usize,
    /// Id of the customer.
    pub customer: u64,
}

impl RequestPath {
    /// Parses the path of a request.
    ///
    /// # Errors
    /// [`RequestPathError`] if the path is not `/class/customer` with a known class and a valid customer.
    pub fn parse(path: &str, config: &Config) -> Result<RequestPath, RequestPathError> {
        let mut parts = path.strip_prefix('/').unwrap_or_default().split('/');
        let (Some(class), Some(customer), None) = (parts.next(), parts.next(), parts.next()) else {
            return Err(RequestPathError::UnknownPath);
        };
        let class = config.names.class(class).map_err(|_| RequestPathError::UnknownClass)?;
        let customer = parse_customer(customer).ok_or(RequestPathError::InvalidCustomer)?;
        Ok(RequestPath { class, customer })
    }
}

/// Parses a customer id.
fn parse_customer(text: &str) -> Option<u64> {
    // The digits are checked one by one because `from_str_radix` alone would also accept a sign.
    if text.len() != CUSTOMER_HEX_DIGITS || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return None;
    }
    let customer = u64::from_str_radix(text, 16).ok()?;
    (customer < CUSTOMER_ID_BOUND).then_some(customer)
}
