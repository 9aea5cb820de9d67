//! Fixtures and test doubles: one limiter with a clock, several limiters with a network between them, and a
//! fleet of limiters with servers and clients.
// Each test file is a separate crate and uses a part of this module.
#![allow(dead_code, unused_imports)]

mod actions;
mod fixtures;
mod reference_bucket;
mod test_fleet;
mod test_limiter;
mod test_network;

pub use actions::*;
pub use fixtures::*;
pub use reference_bucket::*;
pub use test_fleet::*;
pub use test_limiter::*;
pub use test_network::*;

/// Removes the items that are due and returns them in the order of the list.
fn take_due<T>(pending: &mut Vec<T>, is_due: impl Fn(&T) -> bool) -> Vec<T> {
    let (due, later) = std::mem::take(pending).into_iter().partition(is_due);
    *pending = later;
    due
}
