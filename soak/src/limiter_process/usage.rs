//! Resource usage of a limiter process, as reported by `/proc`.

use std::fs;

use nix::unistd::Pid;

use super::{LimiterProcess, MAX_DESCRIPTORS, MAX_MEMORY_MB};

/// Number of fields in `/proc/PID/stat` between the program's name and the user time.
const FIELDS_BEFORE_USER_TIME: usize = 11;
/// Number of time fields: user time and system time.
const NUM_TIME_FIELDS: usize = 2;

/// Resource usage of a process.
#[derive(Debug, Default)]
pub struct Usage {
    /// Processor time in kernel ticks.
    pub ticks: u64,
    /// Peak memory in KiB.
    pub peak_memory_kb: u64,
    /// Number of open file descriptors.
    pub num_descriptors: usize,
}

impl LimiterProcess {
    /// Records a fault if the process exceeds its limit of memory or of file descriptors.
    pub fn check_limits(&self) {
        let Some(process) = self.process() else { return };
        if let Some(memory_kb) = memory_kb(process, "VmRSS:") {
            if memory_kb > MAX_MEMORY_MB << 10 {
                self.record_fault(&format!("uses {memory_kb} KiB of memory"));
            }
        }
        let num_descriptors = count_descriptors(process);
        if num_descriptors as u64 > MAX_DESCRIPTORS {
            self.record_fault(&format!("uses {num_descriptors} file descriptors"));
        }
    }

    /// Returns the resource usage of the running process, or zeros if no process is running.
    pub fn usage(&self) -> Usage {
        let Some(process) = self.process() else { return Usage::default() };
        Usage {
            ticks: processor_ticks(process),
            peak_memory_kb: memory_kb(process, "VmHWM:").unwrap_or(0),
            num_descriptors: count_descriptors(process),
        }
    }
}

/// Returns the user and system time of a process in kernel ticks.
fn processor_ticks(process: Pid) -> u64 {
    let stat = fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    // The program's name may contain spaces and ends with a parenthesis.
    let fields = stat.rsplit(')').next().unwrap_or_default().split_whitespace();
    let times = fields.skip(FIELDS_BEFORE_USER_TIME).take(NUM_TIME_FIELDS);
    times.filter_map(|field| field.parse::<u64>().ok()).sum()
}

/// Returns a memory field of `/proc/PID/status` in KiB.
fn memory_kb(process: Pid, name: &str) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let value = status.lines().find_map(|line| line.strip_prefix(name))?;
    value.trim().trim_end_matches(" kB").parse().ok()
}

fn count_descriptors(process: Pid) -> usize {
    fs::read_dir(format!("/proc/{process}/fd")).map_or(0, Iterator::count)
}
