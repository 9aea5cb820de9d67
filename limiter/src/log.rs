//! Log lines for the operators, on standard error.

use std::io::Write;

/// Writes log lines that begin with the limiter's name.
pub struct Logger {
    name: String,
}

impl Logger {
    /// A logger for the limiter of this name.
    pub fn new(name: String) -> Logger {
        Logger { name }
    }

    /// Writes one line.
    pub fn line(&self, text: &str) {
        // `eprintln!` panics where stderr is closed, and a lost log line must not end the limiter.
        let _ = writeln!(std::io::stderr(), "{}: {text}", self.name);
    }
}
