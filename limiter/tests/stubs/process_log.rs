//! The log of the limiter under test.

use std::io::{BufRead, BufReader};
use std::process::ChildStderr;
use std::sync::{Arc, Mutex};

use super::lock;

/// Text that precedes the address in the log line that reports the listening address.
pub const LISTENING_LOG_PREFIX: &str = "listening address=";

/// Level of the lines that a failed test prints but [`ProcessLog::contains`] ignores.
const DEBUG_LEVEL: &str = " DEBUG ";

/// The log of a process, which grows while the process runs.
pub struct ProcessLog(Arc<Mutex<String>>);

impl ProcessLog {
    /// Starts a thread that reads the log of a process until the process exits.
    pub fn read_from(stderr: ChildStderr) -> ProcessLog {
        let log = Arc::new(Mutex::new(String::new()));
        let shared_log = log.clone();
        std::thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                lock(&shared_log).push_str(&format!("{line}\n"));
            }
        });
        ProcessLog(log)
    }

    /// Returns the text that has been read so far, or an empty text if a thread panicked while it held the
    /// lock.
    pub fn text(&self) -> String {
        self.0.lock().map(|log| log.clone()).unwrap_or_default()
    }

    /// Returns whether a line contains this text. Lines of the level `DEBUG` are ignored.
    ///
    /// # Panics
    ///
    /// Panics if a thread panicked while it held the lock.
    pub fn contains(&self, text: &str) -> bool {
        lock(&self.0).lines().any(|line| !line.contains(DEBUG_LEVEL) && line.contains(text))
    }
}

/// Returns the listening address that a log reports, or `None` if the process does not listen yet.
pub fn listening_address(log: &str) -> Option<&str> {
    let (_, address) = log.lines().find_map(|line| line.split_once(LISTENING_LOG_PREFIX))?;
    Some(address.trim())
}
