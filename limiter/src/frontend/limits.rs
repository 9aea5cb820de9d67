//! Bounds on what is read from a client.
//!
//! hyper enforces the bounds on the head of a request. The request framer reads the same bytes and applies
//! the same bounds, so that both agree on whether a head can be parsed.

/// Longest head of a request, in bytes. A longer one is rejected by hyper. Also bounds hyper's read buffer,
/// and with it the memory that one connection needs.
pub(super) const MAX_HEAD_BYTES: usize = 16 << 10;

/// Largest number of header fields in a head. This is hyper's default; hyper rejects a request with more of
/// them.
pub(super) const MAX_HEADERS: usize = 100;

/// Largest number of bytes in one read. Bounds how much one read by hyper takes from the socket past the end
/// of a request; these bytes have to be stored.
pub(super) const MAX_READ_BYTES: usize = 8 << 10;
