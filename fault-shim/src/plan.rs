//! Which system calls fail, and how the wall clock is stepped, as the environment of the process says.
//!
//! | variable | meaning | unit |
//! | --- | --- | --- |
//! | `FAULT_SHIM_SEED` | seeds the random numbers that select the failing calls | any number |
//! | `FAULT_SHIM_SHORT` | reads and writes on streams that are cut short | calls of 1000 |
//! | `FAULT_SHIM_INTERRUPT` | reads, writes, accepts, connects and waits that fail with EINTR | calls of 1000 |
//! | `FAULT_SHIM_BROKEN` | resets that are reported as ETIMEDOUT or EHOSTUNREACH | resets of 1000 |
//! | `FAULT_SHIM_ACCEPT` | accepts that fail with a transient error | calls of 1000 |
//! | `FAULT_SHIM_CONNECT` | connects that fail with a transient error | calls of 1000 |
//! | `FAULT_SHIM_SOCKET` | sockets that cannot be created, after the start of the process | calls of 1000 |
//! | `FAULT_SHIM_EARLY` | 1: sockets fail during the start as well | |
//! | `FAULT_SHIM_CLOCK_S` | constant offset of the wall clock | seconds |
//! | `FAULT_SHIM_STEP_S` | step of the wall clock, applied and reverted every [`STEP_INTERVAL`] | seconds |

use std::str::FromStr;
use std::sync::OnceLock;
use std::time::{Duration, Instant};

/// Interval between two steps of the wall clock.
pub const STEP_INTERVAL: Duration = Duration::from_secs(3);
/// Time after which a process counts as started: its listening sockets exist.
const START_TIME: Duration = Duration::from_millis(300);

/// A fault of a system call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Only some of the bytes are transferred.
    Short,
    /// A signal interrupts the call.
    Interrupt,
    /// A broken connection is reported with another error than a reset.
    Broken,
    /// A connection cannot be accepted.
    Accept,
    /// A connection cannot be established.
    Connect,
    /// A socket cannot be created.
    Socket,
}

/// The variables that set the frequency of each fault, in the order of [`Fault`].
const FREQUENCY_VARIABLES: [&str; 6] = [
    "FAULT_SHIM_SHORT",
    "FAULT_SHIM_INTERRUPT",
    "FAULT_SHIM_BROKEN",
    "FAULT_SHIM_ACCEPT",
    "FAULT_SHIM_CONNECT",
    "FAULT_SHIM_SOCKET",
];

/// The faults of this process.
#[derive(Debug)]
pub struct Plan {
    /// Seeds the random numbers that select the failing calls.
    pub seed: u64,
    per_mille: [u64; FREQUENCY_VARIABLES.len()],
    fails_during_start: bool,
    clock_offset_s: i64,
    step_s: i64,
    started: Instant,
}

impl Plan {
    fn from_environment() -> Plan {
        Plan {
            seed: number("FAULT_SHIM_SEED"),
            per_mille: FREQUENCY_VARIABLES.map(number),
            fails_during_start: number::<u8>("FAULT_SHIM_EARLY") == 1,
            clock_offset_s: number("FAULT_SHIM_CLOCK_S"),
            step_s: number("FAULT_SHIM_STEP_S"),
            started: Instant::now(),
        }
    }

    /// Returns how many calls per thousand fail in this way.
    pub fn per_mille(&self, fault: Fault) -> u64 {
        self.per_mille[fault as usize]
    }

    /// Returns whether the creation of sockets may fail now.
    pub fn may_fail_sockets(&self) -> bool {
        self.fails_during_start || self.started.elapsed() > START_TIME
    }

    /// Returns the present offset of the wall clock in seconds.
    pub fn wall_clock_offset_s(&self) -> i64 {
        if self.step_s == 0 {
            return self.clock_offset_s;
        }
        let steps = self.started.elapsed().as_millis() / STEP_INTERVAL.as_millis();
        self.clock_offset_s + if steps % 2 == 1 { self.step_s } else { 0 }
    }
}

/// Returns the number in a variable, or 0 if the variable is absent or not a number.
fn number<T: FromStr + Default>(variable: &str) -> T {
    std::env::var(variable).ok().and_then(|value| value.parse().ok()).unwrap_or_default()
}

/// Returns the plan of this process, read from the environment at the first call.
pub fn plan() -> &'static Plan {
    static PLAN: OnceLock<Plan> = OnceLock::new();
    PLAN.get_or_init(Plan::from_environment)
}
