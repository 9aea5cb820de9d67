//! A library to preload (`LD_PRELOAD`) into a process under test. Its system calls on sockets fail, are
//! interrupted or come short as the manual pages of Linux document it, and its wall clock is stepped.
//!
//! The environment says how often, in calls of a thousand; see [`mod@plan`]. This is the one place of the
//! project where `unsafe` is allowed: each function here stands in front of the one of the C library with its
//! name and signature.

pub mod plan;
mod real;

use std::sync::atomic::{AtomicU64, Ordering};

use libc::{
    c_int, c_void, clockid_t, epoll_event, iovec, msghdr, size_t, sockaddr, socklen_t, ssize_t, timespec,
};

use plan::{plan, Fault};

/// State of the generator that decides which calls fail.
static RANDOM: AtomicU64 = AtomicU64::new(0);

/// The next random number (SplitMix64: Steele, Lea and Flood, "Fast splittable pseudorandom number
/// generators").
fn random() -> u64 {
    let mut z = RANDOM.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed).wrapping_add(plan().seed);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// Whether this call is one of those that fail in this way.
fn strikes(fault: Fault) -> bool {
    let per_mille = plan().per_mille(fault);
    per_mille > 0 && random() % 1000 < per_mille
}

fn fail(errno: c_int) -> c_int {
    // SAFETY: the C library returns a valid pointer to this thread's `errno`.
    unsafe { *libc::__errno_location() = errno };
    -1
}

fn errno() -> c_int {
    // SAFETY: as in `fail`.
    unsafe { *libc::__errno_location() }
}

fn one_of(errors: &[c_int]) -> c_int {
    errors[random() as usize % errors.len()]
}

/// The type of a socket; none for any other descriptor.
fn socket_type(fd: c_int) -> Option<c_int> {
    let (mut value, mut length) = (0 as c_int, size_of::<c_int>() as socklen_t);
    let saved = errno();
    // SAFETY: both pointers are to locals of the right size.
    let result = unsafe {
        libc::getsockopt(fd, libc::SOL_SOCKET, libc::SO_TYPE, (&raw mut value).cast(), &raw mut length)
    };
    fail(saved);
    (result == 0).then_some(value)
}

/// How a transfer on a descriptor is to go.
enum Transfer {
    Whole,
    /// At most so many bytes.
    Short(size_t),
    Interrupted,
}

fn transfer(fd: c_int, length: size_t) -> Transfer {
    let Some(kind) = socket_type(fd) else { return Transfer::Whole };
    if strikes(Fault::Interrupt) {
        Transfer::Interrupted
    } else if kind == libc::SOCK_STREAM && length > 1 && strikes(Fault::Short) {
        Transfer::Short(1 + random() as usize % (length - 1).min(64))
    } else {
        Transfer::Whole
    }
}

/// A broken connection may show as other errors than a reset.
fn broken(result: ssize_t) -> ssize_t {
    if result < 0 && errno() == libc::ECONNRESET && strikes(Fault::Broken) {
        fail(one_of(&[libc::ETIMEDOUT, libc::EHOSTUNREACH]));
    }
    result
}

/// Defines functions that transfer bytes from or to one buffer.
macro_rules! transfers {
    ($($name:ident($buffer:ty $(, $argument:ident: $type:ty)*);)*) => {$(
        /// Stands before the function of the C library with this name.
        ///
        /// # Safety
        /// As for that function.
        #[no_mangle]
        pub unsafe extern "C" fn $name(fd: c_int, buffer: $buffer, length: size_t $(, $argument: $type)*) -> ssize_t {
            let length = match transfer(fd, length) {
                Transfer::Interrupted => return fail(libc::EINTR) as ssize_t,
                Transfer::Short(length) => length,
                Transfer::Whole => length,
            };
            // SAFETY: the arguments are the caller's, with at most its length.
            broken(unsafe { real::$name()(fd, buffer, length $(, $argument)*) })
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

/// Defines functions that transfer bytes from or to several buffers; a short one uses the first alone.
macro_rules! vectored_transfers {
    ($($name:ident;)*) => {$(
        /// Stands before the function of the C library with this name.
        ///
        /// # Safety
        /// As for that function.
        #[no_mangle]
        pub unsafe extern "C" fn $name(fd: c_int, buffers: *const iovec, count: c_int) -> ssize_t {
            if count < 1 {
                // SAFETY: the arguments are the caller's.
                return unsafe { real::$name()(fd, buffers, count) };
            }
            // SAFETY: the caller has `count` buffers, at least one.
            let first = unsafe { *buffers };
            match transfer(fd, first.iov_len) {
                Transfer::Interrupted => fail(libc::EINTR) as ssize_t,
                Transfer::Short(length) => {
                    let short = iovec { iov_base: first.iov_base, iov_len: length };
                    // SAFETY: `short` is a part of the caller's first buffer.
                    broken(unsafe { real::$name()(fd, &raw const short, 1) })
                }
                // SAFETY: the arguments are the caller's.
                Transfer::Whole => broken(unsafe { real::$name()(fd, buffers, count) }),
            }
        }
    )*};
}

vectored_transfers! {
    readv;
    writev;
}

/// Stands before the function of the C library with this name; it may only be interrupted.
///
/// # Safety
/// As for that function.
#[no_mangle]
pub unsafe extern "C" fn recvmsg(fd: c_int, message: *mut msghdr, flags: c_int) -> ssize_t {
    if strikes(Fault::Interrupt) {
        return fail(libc::EINTR) as ssize_t;
    }
    // SAFETY: the arguments are the caller's.
    broken(unsafe { real::recvmsg()(fd, message, flags) })
}

/// Stands before the function of the C library with this name; it may only be interrupted.
///
/// # Safety
/// As for that function.
#[no_mangle]
pub unsafe extern "C" fn sendmsg(fd: c_int, message: *const msghdr, flags: c_int) -> ssize_t {
    if strikes(Fault::Interrupt) {
        return fail(libc::EINTR) as ssize_t;
    }
    // SAFETY: the arguments are the caller's.
    broken(unsafe { real::sendmsg()(fd, message, flags) })
}

/// What accept may fail with for a moment.
const ACCEPT_ERRORS: [c_int; 5] =
    [libc::ECONNABORTED, libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM];
/// What connect may fail with for a moment, by no fault of the other side.
const CONNECT_ERRORS: [c_int; 3] = [libc::EADDRNOTAVAIL, libc::ENETUNREACH, libc::ENOBUFS];
/// What socket may fail with for a moment.
const SOCKET_ERRORS: [c_int; 4] = [libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM];

fn accept_error() -> Option<c_int> {
    if strikes(Fault::Interrupt) {
        return Some(libc::EINTR);
    }
    strikes(Fault::Accept).then(|| one_of(&ACCEPT_ERRORS))
}

/// Stands before the function of the C library with this name.
///
/// # Safety
/// As for that function.
#[no_mangle]
pub unsafe extern "C" fn accept(fd: c_int, address: *mut sockaddr, length: *mut socklen_t) -> c_int {
    match accept_error() {
        Some(error) => fail(error),
        // SAFETY: the arguments are the caller's.
        None => unsafe { real::accept()(fd, address, length) },
    }
}

/// Stands before the function of the C library with this name.
///
/// # Safety
/// As for that function.
#[no_mangle]
pub unsafe extern "C" fn accept4(
    fd: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    match accept_error() {
        Some(error) => fail(error),
        // SAFETY: the arguments are the caller's.
        None => unsafe { real::accept4()(fd, address, length, flags) },
    }
}

/// Stands before the function of the C library with this name. One that is interrupted goes on in the
/// background.
///
/// # Safety
/// As for that function.
#[no_mangle]
pub unsafe extern "C" fn connect(fd: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    if strikes(Fault::Connect) {
        return fail(one_of(&CONNECT_ERRORS));
    }
    // SAFETY: the arguments are the caller's.
    let result = unsafe { real::connect()(fd, address, length) };
    if result < 0 && errno() == libc::EINPROGRESS && strikes(Fault::Interrupt) {
        return fail(libc::EINTR);
    }
    result
}

/// Stands before the function of the C library with this name.
///
/// # Safety
/// As for that function.
#[no_mangle]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    let is_stream = kind & (libc::SOCK_STREAM | libc::SOCK_DGRAM) == libc::SOCK_STREAM;
    if is_stream && domain == libc::AF_INET && plan().is_past_start() && strikes(Fault::Socket) {
        return fail(one_of(&SOCKET_ERRORS));
    }
    // SAFETY: the arguments are the caller's.
    unsafe { real::socket()(domain, kind, protocol) }
}

/// Stands before the function of the C library with this name.
///
/// # Safety
/// As for that function.
#[no_mangle]
pub unsafe extern "C" fn epoll_wait(
    fd: c_int,
    events: *mut epoll_event,
    max_events: c_int,
    timeout: c_int,
) -> c_int {
    if strikes(Fault::Interrupt) {
        return fail(libc::EINTR);
    }
    // SAFETY: the arguments are the caller's.
    unsafe { real::epoll_wait()(fd, events, max_events, timeout) }
}

/// Stands before the function of the C library with this name; steps the wall clocks.
///
/// # Safety
/// As for that function.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    // SAFETY: the arguments are the caller's.
    let result = unsafe { real::clock_gettime()(clock, time) };
    let is_wall_clock = clock == libc::CLOCK_REALTIME || clock == libc::CLOCK_REALTIME_COARSE;
    if result == 0 && is_wall_clock {
        // SAFETY: the call has succeeded, so that `time` is valid.
        unsafe { (*time).tv_sec += plan().wall_clock_step_s() };
    }
    result
}
