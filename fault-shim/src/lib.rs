//! A library to preload (`LD_PRELOAD`) into a process under test. Some system calls of that process on
//! sockets fail, are interrupted or are cut short, as the manual pages of Linux document, and the wall clock
//! of the process is stepped.
//!
//! The environment sets the frequency of each fault in calls per thousand; see [`mod@plan`]. This is the only
//! crate of the project that contains `unsafe` code: each exported function replaces the function of the C
//! library with the same name and signature, and calls the original through `real`.
//!
//! | module | job |
//! | --- | --- |
//! | `plan` | the faults that the environment requests, and their frequency |
//! | `inject` | the random draws that decide which calls fail, and the helpers that make a call fail |
//! | `connections` | replacements of `socket`, `connect` and `accept` |
//! | `transfers` | replacements of the calls that read and write |
//! | `waits` | replacements of `epoll_wait` and `clock_gettime` |
//! | `real` | the original functions |

mod connections;
mod inject;
pub mod plan;
mod real;
mod transfers;
mod waits;
