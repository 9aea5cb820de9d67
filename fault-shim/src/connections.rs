//! Replacements of the calls that create sockets and connections. Some of these calls fail with transient
//! errors or are interrupted.

use libc::{c_int, sockaddr, socklen_t};

use crate::inject::{errno, fail, random_error, should_inject};
use crate::plan::{plan, Fault};
use crate::real;

/// Transient errors of `accept`.
const ACCEPT_ERRORS: [c_int; 5] =
    [libc::ECONNABORTED, libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM];
/// Transient errors of `connect` that the local host causes.
const CONNECT_ERRORS: [c_int; 3] = [libc::EADDRNOTAVAIL, libc::ENETUNREACH, libc::ENOBUFS];
/// Transient errors of `socket`.
const SOCKET_ERRORS: [c_int; 4] = [libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM];

/// Randomly returns the error with which an `accept` fails, or `None` if the original function is called.
fn draw_accept_error() -> Option<c_int> {
    if should_inject(Fault::Interrupt) {
        return Some(libc::EINTR);
    }
    should_inject(Fault::Accept).then(|| random_error(&ACCEPT_ERRORS))
}

/// Replaces the function of the C library with the same name.
///
/// # Safety
/// The same as for the original function.
#[no_mangle]
pub unsafe extern "C" fn accept(fd: c_int, address: *mut sockaddr, length: *mut socklen_t) -> c_int {
    match draw_accept_error() {
        Some(error) => fail(error),
        // SAFETY: the arguments are the caller's.
        None => unsafe { real::accept()(fd, address, length) },
    }
}

/// Replaces the function of the C library with the same name.
///
/// # Safety
/// The same as for the original function.
#[no_mangle]
pub unsafe extern "C" fn accept4(
    fd: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    match draw_accept_error() {
        Some(error) => fail(error),
        // SAFETY: the arguments are the caller's.
        None => unsafe { real::accept4()(fd, address, length, flags) },
    }
}

/// Replaces the function of the C library with the same name. A connection attempt that is interrupted
/// continues in the background.
///
/// # Safety
/// The same as for the original function.
#[no_mangle]
pub unsafe extern "C" fn connect(fd: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    if should_inject(Fault::Connect) {
        return fail(random_error(&CONNECT_ERRORS));
    }
    // SAFETY: the arguments are the caller's.
    let result = unsafe { real::connect()(fd, address, length) };
    if result < 0 && errno() == libc::EINPROGRESS && should_inject(Fault::Interrupt) {
        return fail(libc::EINTR);
    }
    result
}

/// Replaces the function of the C library with the same name. Only the creation of IPv4 stream sockets fails.
///
/// # Safety
/// The same as for the original function.
#[no_mangle]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    let is_stream = kind & (libc::SOCK_STREAM | libc::SOCK_DGRAM) == libc::SOCK_STREAM;
    if is_stream && domain == libc::AF_INET && plan().may_fail_sockets() && should_inject(Fault::Socket) {
        return fail(random_error(&SOCKET_ERRORS));
    }
    // SAFETY: the arguments are the caller's.
    unsafe { real::socket()(domain, kind, protocol) }
}
