//! Bounds on the head of a client's request.
//!
//! hyper enforces both bounds. The request framer reads the same bytes and applies the same bounds, so that
//! both agree on whether a head can be parsed.

/// Longest head of a request, in bytes. A longer one is rejected by hyper. Also bounds hyper's read buffer,
/// and with it the memory that one connection needs.
pub(super) const MAX_HEAD_BYTES: usize = 16 << 10;

/// Largest number of header fields in a head. This is hyper's default; hyper rejects a request with more of
/// them.
pub(super) const MAX_HEADERS: usize = 100;
