//! Replacements of `epoll_wait`, of which some calls are interrupted, and of `clock_gettime`, which reads a
//! stepped wall clock.

use libc::{c_int, clockid_t, epoll_event, timespec};

use crate::inject::{fail, should_inject};
use crate::plan::{plan, Fault};
use crate::real;

/// Replaces the function of the C library with the same name. Some calls are interrupted.
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

/// Replaces the function of the C library with the same name. Shifts the wall clocks by the offset of the
/// [`FaultPlan`](crate::plan::FaultPlan).
///
/// # Safety
/// The same as for the original function.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    // SAFETY: the arguments are the caller's.
    let result = unsafe { real::clock_gettime()(clock, time) };
    let is_wall_clock = clock == libc::CLOCK_REALTIME || clock == libc::CLOCK_REALTIME_COARSE;
    if result == 0 && is_wall_clock {
        // SAFETY: the call has succeeded, so `time` is valid.
        unsafe { (*time).tv_sec += plan().wall_clock_offset_s() };
    }
    result
}
