//! Encodes and decodes bytes as pairs of hex digits.

use thiserror::Error;

/// The hex digits in the order of their values.
const DIGITS: &[u8; 16] = b"0123456789abcdef";

/// The text is not a sequence of pairs of hex digits.
#[derive(Debug, Error)]
#[error("'{0}' is not hex")]
pub(crate) struct HexError(String);

/// Encodes bytes in lower-case digits.
pub(crate) fn encode(bytes: &[u8]) -> String {
    let digit = |value: u8| char::from(DIGITS[usize::from(value)]);
    bytes.iter().flat_map(|byte| [digit(byte >> 4), digit(byte & 0x0f)]).collect()
}

/// Decodes digits of either case.
///
/// # Errors
/// The text has an odd length or contains a character that is not a hex digit.
pub(crate) fn decode(text: &str) -> Result<Vec<u8>, HexError> {
    let digits: Option<Vec<u8>> = text.chars().map(digit_value).collect();
    match digits {
        Some(digits) if digits.len() % 2 == 0 => {
            Ok(digits.chunks(2).map(|pair| pair[0] << 4 | pair[1]).collect())
        }
        _ => Err(HexError(text.to_string())),
    }
}

fn digit_value(digit: char) -> Option<u8> {
    digit.to_digit(16).and_then(|value| u8::try_from(value).ok())
}
