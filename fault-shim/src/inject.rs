//! The random draws that decide which calls fail, and the helpers that make a call fail.

use std::sync::atomic::{AtomicU64, Ordering};

use libc::c_int;

use crate::plan::{plan, Fault};

/// State of the random number generator that decides which calls fail. The state starts at 0 in every
/// process; [`random`] adds the seed of the plan to the state of each draw.
static RANDOM: AtomicU64 = AtomicU64::new(0);

/// Returns the next random number (`SplitMix64`: Steele, Lea and Flood, "Fast splittable pseudorandom number
/// generators").
pub(crate) fn random() -> u64 {
    let mut z = RANDOM.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed).wrapping_add(plan().seed);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// Randomly decides whether to inject a fault into the current call.
pub(crate) fn should_inject(fault: Fault) -> bool {
    let per_mille = plan().per_mille(fault);
    per_mille > 0 && random() % 1000 < per_mille
}

/// Sets the `errno` of this thread.
pub(crate) fn set_errno(errno: c_int) {
    // SAFETY: the C library returns a valid pointer to this thread's `errno`.
    unsafe { *libc::__errno_location() = errno };
}

/// Sets `errno` and returns -1, the result of a failed call.
pub(crate) fn fail(errno: c_int) -> c_int {
    set_errno(errno);
    -1
}

/// Returns the `errno` of this thread.
pub(crate) fn errno() -> c_int {
    // SAFETY: as in `set_errno`.
    unsafe { *libc::__errno_location() }
}

/// Returns a random one of several error numbers.
pub(crate) fn random_error(errors: &[c_int]) -> c_int {
    errors[random() as usize % errors.len()]
}
