//! A library to preload (`LD_PRELOAD`) into a process under test. System calls of that process on sockets
//! fail, are interrupted or are cut short as the manual pages of Linux document, and its wall clock is
//! stepped.
//!
//! The environment sets the frequency of each fault in calls per thousand; see [`mod@plan`]. This is the only
//! crate of the project that contains `unsafe` code: each exported function replaces the function of the C
//! library with the same name and signature, and calls the original through [`real`].

pub mod plan;
mod real;

use std::sync::atomic::{AtomicU64, Ordering};

use libc::{
    c_int, c_void, clockid_t, epoll_event, iovec, msghdr, size_t, sockaddr, socklen_t, ssize_t, timespec,
};

use plan::{plan, Fault};

/// State of the random number generator that decides which calls fail.
static RANDOM: AtomicU64 = AtomicU64::new(0);

/// The next random number (`SplitMix64`: Steele, Lea and Flood, "Fast splittable pseudorandom number
/// generators").
fn random() -> u64 {
    let mut z = RANDOM.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed).wrapping_add(plan().seed);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// Draws whether the present call fails in this way.
fn should_inject(fault: Fault) -> bool {
    let per_mille = plan().per_mille(fault);
    per_mille > 0 && random() % 1000 < per_mille
}

/// Sets the `errno` of this thread.
fn set_errno(errno: c_int) {
    // SAFETY: the C library returns a valid pointer to this thread's `errno`.
    unsafe { *libc::__errno_location() = errno };
}

/// Sets `errno` and returns the result of a failed call.
fn fail(errno: c_int) -> c_int {
    set_errno(errno);
    -1
}

/// Returns the `errno` of this thread.
fn errno() -> c_int {
    // SAFETY: as in `set_errno`.
    unsafe { *libc::__errno_location() }
}

/// Draws one of several error numbers.
fn random_error(errors: &[c_int]) -> c_int {
    errors[random() as usize % errors.len()]
}

/// Returns the type of a socket, or `None` for any other descriptor. Preserves `errno`.
fn socket_type(fd: c_int) -> Option<c_int> {
    let mut value: c_int = 0;
    let mut length = size_of::<c_int>() as socklen_t;
    let saved_errno = errno();
    // SAFETY: both pointers are to locals of the right size.
    let result = unsafe {
        libc::getsockopt(fd, libc::SOL_SOCKET, libc::SO_TYPE, (&raw mut value).cast(), &raw mut length)
    };
    set_errno(saved_errno);
    (result == 0).then_some(value)
}

/// What happens to a transfer on a descriptor.
enum TransferFault {
    /// The transfer is passed on unchanged.
    None,
    /// The transfer is limited to this number of bytes.
    Short(size_t),
    /// The transfer fails with EINTR before any byte.
    Interrupted,
}

/// Longest transfer that is cut short, in bytes.
const MAX_SHORT_BYTES: size_t = 64;

/// Draws what happens to a transfer of `length` bytes. Only sockets are affected, and only streams are cut
/// short.
fn draw_transfer_fault(fd: c_int, length: size_t) -> TransferFault {
    let Some(kind) = socket_type(fd) else { return TransferFault::None };
    if should_inject(Fault::Interrupt) {
        TransferFault::Interrupted
    } else if kind == libc::SOCK_STREAM && length > 1 && should_inject(Fault::Short) {
        TransferFault::Short(1 + random() as usize % (length - 1).min(MAX_SHORT_BYTES))
    } else {
        TransferFault::None
    }
}

/// Replaces some resets of connections by other errors that Linux reports for a broken connection.
fn vary_reset(result: ssize_t) -> ssize_t {
    if result < 0 && errno() == libc::ECONNRESET && should_inject(Fault::Broken) {
        set_errno(random_error(&[libc::ETIMEDOUT, libc::EHOSTUNREACH]));
    }
    result
}

/// Defines replacements of functions that transfer bytes from or to one buffer.
macro_rules! transfers {
    ($($name:ident($buffer:ty $(, $argument:ident: $type:ty)*);)*) => {$(
        /// Replaces the function of the C library with the same name.
        ///
        /// # Safety
        /// The same as for the original function.
        #[no_mangle]
        pub unsafe extern "C" fn $name(fd: c_int, buffer: $buffer, length: size_t $(, $argument: $type)*) -> ssize_t {
            let length = match draw_transfer_fault(fd, length) {
                TransferFault::Interrupted => return fail(libc::EINTR) as ssize_t,
                TransferFault::Short(length) => length,
                TransferFault::None => length,
            };
            // SAFETY: the arguments are the caller's, with at most its length.
            vary_reset(unsafe { real::$name()(fd, buffer, length $(, $argument)*) })
        }
    )*};
}

transfers! {
    recv(*mut c_void, flags: c_int);
    send(*const c_void, flags: c_int);
    read(*mut c_void);
    write(*const c_void);
    recvfrom(*mut c_void, flags: c_int, address: *mut sockaddr, address_length: *mut socklen_t);
    sendto(*const c_void, flags: c_int, address: *const sockaddr, address_length: socklen_t);
}

/// Defines replacements of functions that transfer bytes from or to several buffers. A short transfer uses
/// only the first buffer.
macro_rules! vectored_transfers {
    ($($name:ident;)*) => {$(
        /// Replaces the function of the C library with the same name.
        ///
        /// # Safety
        /// The same as for the original function.
        #[no_mangle]
        pub unsafe extern "C" fn $name(fd: c_int, buffers: *const iovec, count: c_int) -> ssize_t {
            if count < 1 {
                // SAFETY: the arguments are the caller's.
                return unsafe { real::$name()(fd, buffers, count) };
            }
            // SAFETY: the caller has `count` buffers, at least one.
            let first = unsafe { *buffers };
            match draw_transfer_fault(fd, first.iov_len) {
                TransferFault::Interrupted => fail(libc::EINTR) as ssize_t,
                TransferFault::Short(length) => {
                    let short = iovec { iov_base: first.iov_base, iov_len: length };
                    // SAFETY: `short` is a part of the caller's first buffer.
                    vary_reset(unsafe { real::$name()(fd, &raw const short, 1) })
                }
                // SAFETY: the arguments are the caller's.
                TransferFault::None => vary_reset(unsafe { real::$name()(fd, buffers, count) }),
            }
        }
    )*};
}

vectored_transfers! {
    readv;
    writev;
}

/// Replaces the function of the C library with the same name. Only interruptions are injected.
///
/// # Safety
/// The same as for the original function.
#[no_mangle]
pub unsafe extern "C" fn recvmsg(fd: c_int, message: *mut msghdr, flags: c_int) -> ssize_t {
    if should_inject(Fault::Interrupt) {
        return fail(libc::EINTR) as ssize_t;
    }
    // SAFETY: the arguments are the caller's.
    vary_reset(unsafe { real::recvmsg()(fd, message, flags) })
}

/// Replaces the function of the C library with the same name. Only interruptions are injected.
///
/// # Safety
/// The same as for the original function.
#[no_mangle]
pub unsafe extern "C" fn sendmsg(fd: c_int, message: *const msghdr, flags: c_int) -> ssize_t {
    if should_inject(Fault::Interrupt) {
        return fail(libc::EINTR) as ssize_t;
    }
    // SAFETY: the arguments are the caller's.
    vary_reset(unsafe { real::sendmsg()(fd, message, flags) })
}

/// Errors with which `accept` may fail for a moment.
const ACCEPT_ERRORS: [c_int; 5] =
    [libc::ECONNABORTED, libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM];
/// Errors with which `connect` may fail for a moment, for reasons on the local host.
const CONNECT_ERRORS: [c_int; 3] = [libc::EADDRNOTAVAIL, libc::ENETUNREACH, libc::ENOBUFS];
/// Errors with which `socket` may fail for a moment.
const SOCKET_ERRORS: [c_int; 4] = [libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM];

/// Draws the error of an `accept`.
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

/// Replaces the function of the C library with the same name. An interrupted connect continues in the
/// background.
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

/// Replaces the function of the C library with the same name.
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

/// Replaces the function of the C library with the same name.
///
/// # Safety
/// The same as for the original function.
#[no_mangle]
pub unsafe extern "C" fn epoll_wait(
    fd: c_int,
    events: *mut epoll_event,
    max_events: c_int,
    timeout: c_int,
) -> c_int {
    if should_inject(Fault::Interrupt) {
        return fail(libc::EINTR);
    }
    // SAFETY: the arguments are the caller's.
    unsafe { real::epoll_wait()(fd, events, max_events, timeout) }
}

/// Replaces the function of the C library with the same name. Steps the wall clocks.
///
/// # Safety
/// The same as for the original function.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    // SAFETY: the arguments are the caller's.
    let result = unsafe { real::clock_gettime()(clock, time) };
    let is_wall_clock = clock == libc::CLOCK_REALTIME || clock == libc::CLOCK_REALTIME_COARSE;
    if result == 0 && is_wall_clock {
        // SAFETY: the call has succeeded, so that `time` is valid.
        unsafe { (*time).tv_sec += plan().wall_clock_offset_s() };
    }
    result
}
