//! The process and its single thread: the event loop, stalls of the process, signals, and conversion of
//! durations.

pub mod arrival;
pub mod duration;
pub mod event_loop;
pub mod signals;
