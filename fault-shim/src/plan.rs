//! The faults of system calls and the steps of the wall clock, as the environment of the process sets them.
//!
//! | variable | meaning | unit |
//! | --- | --- | --- |
//! | `FAULT_SHIM_SEED` | seeds the random numbers that select the failing calls | any number |
//! | `FAULT_SHIM_SHORT` | reads and writes on streams that are cut short | calls per 1000 |
//! | `FAULT_SHIM_INTERRUPT` | reads, writes, accepts, connects, waits that fail with EINTR | calls per 1000 |
//! | `FAULT_SHIM_BROKEN` | resets that are reported as ETIMEDOUT or EHOSTUNREACH | resets per 1000 |
//! | `FAULT_SHIM_ACCEPT` | accepts that fail with a transient error | calls per 1000 |
//! | `FAULT_SHIM_CONNECT` | connects that fail with a transient error | calls per 1000 |
//! | `FAULT_SHIM_SOCKET` | TCP sockets that cannot be created after the start | calls per 1000 |
//! | `FAULT_SHIM_EARLY` | 1: TCP sockets fail during the start as well | |
//! | `FAULT_SHIM_CLOCK_S` | constant offset of the wall clock | seconds |
//! | `FAULT_SHIM_STEP_S` | step of the wall clock, applied and reverted every [`STEP_INTERVAL`] | seconds |

use std::str::FromStr;
use std::sync::OnceLock;
use std::time::{Duration, Instant};

/// Interval between two steps of the wall clock.
pub const STEP_INTERVAL: Duration = Duration::from_secs(3);
/// Time that a process has to create its listening sockets before the creation of sockets may fail.
const STARTUP_DURATION: Duration = Duration::from_millis(300);

/// A kind of fault that is injected into system calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Only some of the bytes are transferred.
    Short,
    /// A signal interrupts the call.
    Interrupt,
    /// A reset of a connection is reported as another error.
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

/// The faults to inject into this process.
#[derive(Debug)]
pub struct FaultPlan {
    /// Seeds the random numbers that select the failing calls.
    pub seed: u64,
    per_mille: [u64; FREQUENCY_VARIABLES.len()],
    fails_sockets_during_start: bool,
    clock_offset_s: i64,
    clock_step_s: i64,
    started_at: Instant,
}

impl FaultPlan {
    fn from_environment() -> FaultPlan {
        FaultPlan {
            seed: parse_variable("FAULT_SHIM_SEED"),
            per_mille: FREQUENCY_VARIABLES.map(parse_variable),
            fails_sockets_during_start: parse_variable::<u8>("FAULT_SHIM_EARLY") == 1,
            clock_offset_s: parse_variable("FAULT_SHIM_CLOCK_S"),
            clock_step_s: parse_variable("FAULT_SHIM_STEP_S"),
            started_at: Instant::now(),
        }
    }

    /// Returns how many calls per thousand have this fault.
    pub fn per_mille(&self, fault: Fault) -> u64 {
        self.per_mille[fault as usize]
    }

    /// Returns whether the creation of sockets may fail now.
    pub fn may_fail_sockets(&self) -> bool {
        self.fails_sockets_during_start || self.started_at.elapsed() > STARTUP_DURATION
    }

    /// Returns the current offset of the wall clock in seconds.
    pub fn wall_clock_offset_s(&self) -> i64 {
        if self.clock_step_s == 0 {
            return self.clock_offset_s;
        }
        let steps = self.started_at.elapsed().as_millis() / STEP_INTERVAL.as_millis();
        self.clock_offset_s + if steps % 2 == 1 { self.clock_step_s } else { 0 }
    }
}

/// Returns the number in a variable, or 0 if the variable is absent or not a number.
fn parse_variable<T: FromStr + Default>(variable: &str) -> T {
    std::env::var(variable).ok().and_then(|value| value.parse().ok()).unwrap_or_default()
}

/// Returns the faults of this process, read from the environment at the first call.
pub fn plan() -> &'static FaultPlan {
    static PLAN: OnceLock<FaultPlan> = OnceLock::new();
    PLAN.get_or_init(FaultPlan::from_environment)
}
