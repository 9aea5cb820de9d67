//! Replacements of the calls that transfer bytes. Some transfers are interrupted or cut short, and some
//! resets are reported as other errors.

use libc::{c_int, c_void, iovec, msghdr, size_t, sockaddr, socklen_t, ssize_t};

use crate::inject::{errno, fail, random, random_error, set_errno, should_inject};
use crate::plan::Fault;
use crate::real;

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

/// The fault to inject into a transfer on a descriptor.
enum TransferFault {
    /// The transfer is not changed.
    None,
    /// The transfer is limited to this number of bytes.
    Short(size_t),
    /// The transfer fails with EINTR before any byte is transferred.
    Interrupted,
}

/// Largest number of bytes to which a transfer is cut short.
const MAX_SHORT_BYTES: size_t = 64;

/// Randomly chooses the fault of a transfer of `length` bytes. Only transfers on sockets have faults, and
/// only those on stream sockets are cut short.
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

/// Changes the `errno` of some calls that failed with ECONNRESET to ETIMEDOUT or EHOSTUNREACH, which Linux
/// also reports for broken connections. Returns `result` unchanged.
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
            // SAFETY: the arguments are the caller's, and `length` is at most the caller's.
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
            // SAFETY: the caller passes `count` buffers, at least one.
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

/// Replaces the function of the C library with the same name. Some calls are interrupted and some resets
/// are reported as other errors, but no transfer is cut short.
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

/// Replaces the function of the C library with the same name. Some calls are interrupted and some resets
/// are reported as other errors, but no transfer is cut short.
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
