//! Tests of the origin of the clock.

use super::*;

/// A limiter must not reuse an incarnation, even if the wall clock is stepped back between two starts. The
/// incarnation is the low 32 bits of the clock's origin, and the origin is generated from random numbers
/// alone.
#[test]
fn each_start_uses_a_different_origin() {
    let low_bits = |clock: &Clock| clock.now() as u64 as u32;
    let first = Clock::start();
    let second = Clock::start();
    assert!((first.now() - second.now()).abs() > 1000.0, "{} and {}", first.now(), second.now());
    assert_ne!(low_bits(&first), low_bits(&second));
}
