//! The limiter under test, as a child process.

mod start;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::Child;

use super::{
    idempotent_request, send_and_receive, send_signal, wait_for, Configuration, HttpMessage, ProcessLog,
    StubDiscovery, READINESS_REQUEST,
};

pub use start::FailedStart;

/// A running limiter with a stub of discovery. Dropping the value kills the process, and prints the log if
/// the test has failed.
pub struct LimiterProcess {
    /// Address at which the limiter accepts clients.
    pub addr: SocketAddr,
    /// The discovery that the limiter watches.
    pub discovery: StubDiscovery,
    child: Child,
    log: ProcessLog,
    configuration: PathBuf,
}

/// Configuration, signals and the end of the process.
impl LimiterProcess {
    /// Changes the configuration file with `alter` and sends SIGHUP. Returns when the signal has been sent.
    ///
    /// # Panics
    ///
    /// Panics if the file cannot be read or written.
    pub fn reload(&self, alter: impl Fn(Configuration) -> Configuration) {
        let text = std::fs::read_to_string(&self.configuration).expect("a readable configuration");
        let altered = alter(Configuration::from_text(text));
        std::fs::write(&self.configuration, altered.text()).expect("a written configuration");
        self.signal("HUP");
    }

    /// Replaces the text of the configuration file, or removes the file if `text` is `None`. Returns the
    /// previous text, which is empty if there was no file. The limiter is not notified.
    ///
    /// # Panics
    ///
    /// Panics if the file cannot be written or removed.
    pub fn replace_configuration(&self, text: Option<&str>) -> String {
        let previous = std::fs::read_to_string(&self.configuration).unwrap_or_default();
        match text {
            Some(text) => std::fs::write(&self.configuration, text).expect("a written configuration"),
            None => std::fs::remove_file(&self.configuration).expect("a removed configuration"),
        }
        previous
    }

    /// Sends the process a signal, named without `SIG`. See [`send_signal`].
    pub fn signal(&self, name: &str) {
        send_signal(self.child.id(), name);
    }

    /// Waits until the process exits. Returns its exit code, or `None` if a signal ended the process.
    ///
    /// # Panics
    ///
    /// Panics if the process does not exit within [`super::WAIT_TIMEOUT`].
    pub fn wait_for_exit_code(&mut self) -> Option<i32> {
        wait_for("the exit", || self.child.try_wait().expect("a child process").is_some());
        self.child.wait().expect("a child process").code()
    }
}

/// Requests to the limiter.
impl LimiterProcess {
    /// Opens a connection.
    ///
    /// # Panics
    ///
    /// Panics if the connect fails.
    pub fn connect(&self) -> TcpStream {
        TcpStream::connect(self.addr).expect("a connection to the limiter")
    }

    /// Opens a connection, writes a text to it and returns the connection.
    ///
    /// # Panics
    ///
    /// Panics if the connect or the write fails.
    pub fn send(&self, text: &str) -> TcpStream {
        let mut client = self.connect();
        client.write_all(text.as_bytes()).expect("a written text");
        client
    }

    /// Sends a request on a new connection and returns the response.
    ///
    /// # Panics
    ///
    /// Panics if [`LimiterProcess::connect`] or [`send_and_receive`] panics.
    pub fn request(&self, request: &str) -> HttpMessage {
        send_and_receive(&mut self.connect(), request)
    }

    /// Sends idempotent requests, one after another, and asserts that each response has this body.
    ///
    /// # Panics
    ///
    /// Panics if a response has another body, or if [`LimiterProcess::request`] panics.
    pub fn assert_response_bodies(&self, body: &str, num_requests: usize) {
        for _ in 0..num_requests {
            assert_eq!(self.request(&idempotent_request()).body, body);
        }
    }
}

/// Observations of the limiter.
impl LimiterProcess {
    /// Returns whether the limiter reports that it is ready.
    ///
    /// # Panics
    ///
    /// Panics if the status of the readiness response is neither 200 nor 503.
    pub fn is_ready(&self) -> bool {
        match self.request(READINESS_REQUEST).status {
            200 => true,
            503 => false,
            status => panic!("readiness request answered with status {status}"),
        }
    }

    /// Waits until the limiter is ready.
    ///
    /// # Panics
    ///
    /// Panics if the limiter is not ready within [`super::WAIT_TIMEOUT`].
    pub fn wait_until_ready(&self) {
        wait_for("readiness", || self.is_ready());
    }

    /// Returns whether a line of the log contains this text. Lines of the level `DEBUG` are ignored.
    pub fn has_logged(&self, text: &str) -> bool {
        self.log.contains(text)
    }

    /// Waits until a line of the log contains this text. Lines of the level `DEBUG` are ignored.
    ///
    /// # Panics
    ///
    /// Panics if there is no such line within [`super::WAIT_TIMEOUT`].
    pub fn wait_until_logged(&self, text: &str) {
        wait_for(text, || self.has_logged(text));
    }

    /// Requests the counters until one of them is logged with a text that begins with `counter`.
    ///
    /// # Panics
    ///
    /// Panics if there is no such line within [`super::WAIT_TIMEOUT`].
    pub fn wait_until_counted(&self, counter: &str) {
        let logged_text = format!("name={counter}");
        wait_for(counter, || {
            self.signal("USR1");
            self.has_logged(&logged_text)
        });
    }

    /// Returns whether the process has not exited.
    ///
    /// # Panics
    ///
    /// Panics if the state of the process cannot be read.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().expect("a child process").is_none()
    }

    /// Returns the number of descriptors that the process has open; 0 if the process has exited.
    pub fn num_open_descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).map_or(0, Iterator::count)
    }

    /// Returns the peak resident memory of the process so far, in KiB.
    ///
    /// # Panics
    ///
    /// Panics if the process has exited.
    pub fn peak_memory_kib(&self) -> u64 {
        self.memory_status_kib("VmHWM:")
    }

    /// Returns the resident memory that belongs to the process alone and to no file, in KiB. Unlike the
    /// resident memory of the whole process, it does not depend on the size of the program file.
    ///
    /// # Panics
    ///
    /// Panics if the process has exited.
    pub fn anonymous_memory_kib(&self) -> u64 {
        self.memory_status_kib("RssAnon:")
    }

    /// Returns a field of the status of the process that states an amount of memory, in KiB.
    fn memory_status_kib(&self, field: &str) -> u64 {
        // The shell that sets the limit on descriptors replaces itself with the limiter, which keeps the
        // process id.
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.expect("the status of the process");
        let value = status.lines().find_map(|line| line.strip_prefix(field));
        let value = value.expect("the field of the status");
        value.trim().trim_end_matches(" kB").parse().expect("a number of KiB")
    }
}

impl Drop for LimiterProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.configuration);
        if std::thread::panicking() {
            eprintln!("log:\n{}", self.log.text());
        }
    }
}
