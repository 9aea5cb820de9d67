//! Classifies the errors of system calls.

use std::io;

/// Errors which mean that this host's descriptors or memory are exhausted. They are transient.
const RESOURCE_EXHAUSTION: [i32; 4] = [libc::ENOMEM, libc::ENFILE, libc::EMFILE, libc::ENOBUFS];

/// Errors of a connect which mean that this host has no free port or no route.
const NO_PORT_OR_ROUTE: [i32; 2] = [libc::EADDRNOTAVAIL, libc::ENETUNREACH];

/// Errors of an accept which, according to `accept(2)`, belong to a connection that has already failed. The
/// next connection can be accepted immediately. After any other error, connections remain in the accept
/// queue.
const FAILED_CONNECTION: [i32; 11] = [
    libc::EINTR,
    libc::EPROTO,
    libc::ENONET,
    libc::ENOPROTOOPT,
    libc::EOPNOTSUPP,
    libc::ENETDOWN,
    libc::ENETUNREACH,
    libc::ECONNABORTED,
    libc::ETIMEDOUT,
    libc::EHOSTDOWN,
    libc::EHOSTUNREACH,
];

/// Errors of a non-blocking connect that has begun: it is in progress, or has already succeeded.
const CONNECT_IN_PROGRESS: [i32; 3] = [libc::EINPROGRESS, libc::EALREADY, libc::EISCONN];

/// Returns whether a call failed because this host's descriptors or memory are exhausted.
pub fn is_resource_exhaustion(error: &io::Error) -> bool {
    is_one_of(error, &RESOURCE_EXHAUSTION)
}

/// Returns whether a connect failed for a reason on this host, which says nothing about the server. In
/// contrast, EHOSTUNREACH and ETIMEDOUT mean that the host of the server is unreachable.
pub fn is_local_failure(error: &io::Error) -> bool {
    is_resource_exhaustion(error) || is_one_of(error, &NO_PORT_OR_ROUTE)
}

/// Returns whether an accept failed because the connection has already failed.
pub fn is_failed_connection(error: &io::Error) -> bool {
    is_one_of(error, &FAILED_CONNECTION)
}

/// Returns whether a non-blocking connect has begun although the call returned an error.
pub fn is_connect_in_progress(error: &io::Error) -> bool {
    is_one_of(error, &CONNECT_IN_PROGRESS)
}

/// Returns whether an error has one of these error numbers.
fn is_one_of(error: &io::Error, numbers: &[i32]) -> bool {
    error.raw_os_error().is_some_and(|number| numbers.contains(&number))
}
