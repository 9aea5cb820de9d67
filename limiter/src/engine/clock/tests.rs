use super::*;

/// A limiter whose wall clock is stepped back between two starts must not use an incarnation again. The low bits
/// of the clock's origin are the incarnation, and the origin comes from random numbers alone.
#[test]
fn no_two_starts_have_the_same_origin() {
    let low_bits = |clock: &Clock| clock.now() as u64 as u32;
    let first = Clock::start();
    let second = Clock::start();
    assert!((first.now() - second.now()).abs() > 1000.0, "{} and {}", first.now(), second.now());
    assert_ne!(low_bits(&first), low_bits(&second));
}
