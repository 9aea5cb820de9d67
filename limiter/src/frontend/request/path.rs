//! The path of a request: `/class/customer`.

use super::head::RequestHeadError;
use crate::config::Config;

/// Length of a customer id in the path, in hexadecimal digits, as the protocol defines it.
const CUSTOMER_HEX_DIGITS: usize = 16;
/// Customer ids are below this bound, as the protocol defines it.
const CUSTOMER_ID_BOUND: u64 = 1 << 33;

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
    /// [`RequestHeadError::UnknownPath`], [`RequestHeadError::UnknownClass`] or
    /// [`RequestHeadError::InvalidCustomer`].
    pub fn parse(path: &str, config: &Config) -> Result<RequestPath, RequestHeadError> {
        let mut parts = path.strip_prefix('/').unwrap_or_default().split('/');
        let (Some(class), Some(customer), None) = (parts.next(), parts.next(), parts.next()) else {
            return Err(RequestHeadError::UnknownPath);
        };
        let class = config.names.class(class).map_err(|_| RequestHeadError::UnknownClass)?;
        let customer = parse_customer(customer).ok_or(RequestHeadError::InvalidCustomer)?;
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
