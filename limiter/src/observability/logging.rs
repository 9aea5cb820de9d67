//! Structured log events on standard error. Each line has the limiter's name, the time, the level, a message
//! and fields.
//!
//! A separate thread writes the lines from a bounded queue. If standard error is not read and the queue is
//! full, the newest lines are lost, and the limiter continues to serve.
//!
//! The message of an event is fixed, so that operators can search for it and count it. Every value is a
//! field, and a field has the same name and meaning in every event:
//!
//! | field | meaning |
//! | --- | --- |
//! | `request` | number of a request at this limiter, from 0 |
//! | `attempt` | number of an attempt within its request, from 0 |
//! | `correlation_id` | the client's `X-Correlation-Id` |
//! | `server` | id of a server on the endpoint list |
//! | `address` | IP address and port |
//! | `connection` | number of a client connection at this limiter |
//! | `open_requests` | number of requests of a connection whose responses are not written completely |
//! | `status` | status code of a response |
//! | `signal` | name of a signal |
//! | `state` | state of a server on the endpoint list, in snake case |
//! | `outcome` | how a request or an attempt ended, in snake case |
//! | `reason` | why something ended or was rejected, in snake case |
//! | `error` | text of the error that caused the event |
//! | `invariant`, `detail` | the violated invariant, in snake case; the values that show the violation |
//! | `waited_ms`, `stall_ms`, `duration_ms` | durations in milliseconds |
//! | `changed_endpoints`, `logged_endpoints` | numbers of servers |
//! | `name`, `value` | name of a counter with its label, and its value |
//!
//! [`super::labels`] lists the values in snake case.

use std::fmt;

use tracing::level_filters::LevelFilter;
use tracing::{Event, Subscriber};
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::fmt::format::{FormatEvent, FormatFields, Writer};
use tracing_subscriber::fmt::time::{FormatTime, SystemTime};
use tracing_subscriber::fmt::FmtContext;
use tracing_subscriber::registry::LookupSpan;

/// Environment variable with the lowest level that is logged: `error`, `warn`, `info`, `debug` or `trace`.
const LEVEL_VARIABLE: &str = "LIMITER_LOG";
/// Lowest level that is logged if the variable is absent or names no level.
const DEFAULT_LEVEL: LevelFilter = LevelFilter::INFO;
/// Highest number of lines that wait to be written, about 400 KB. Bounds the memory that the queue uses when
/// standard error is not read.
const MAX_QUEUED_LINES: usize = 2048;

/// Starts logging under the limiter's name. Dropping the guard writes the lines that are still queued.
pub fn start(name: String) -> WorkerGuard {
    let level = std::env::var(LEVEL_VARIABLE).ok().and_then(|level| level.parse().ok());
    let builder = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(MAX_QUEUED_LINES);
    let (writer, guard) = builder.finish(std::io::stderr());
    let subscriber = tracing_subscriber::fmt()
        .with_max_level(level.unwrap_or(DEFAULT_LEVEL))
        .with_writer(writer)
        .with_ansi(false)
        .event_format(NamedLine { name });
    // The call fails only if a subscriber has already been set, and no other code sets one.
    let _ = tracing::subscriber::set_global_default(subscriber.finish());
    guard
}

/// Formats an event as one line that begins with the limiter's name.
struct NamedLine {
    name: String,
}

impl<S, N> FormatEvent<S, N> for NamedLine
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(
        &self,
        context: &FmtContext<'_, S, N>,
        mut writer: Writer<'_>,
        event: &Event<'_>,
    ) -> fmt::Result {
        write!(writer, "{}: ", self.name)?;
        SystemTime.format_time(&mut writer)?;
        write!(writer, " {} ", event.metadata().level())?;
        context.field_format().format_fields(writer.by_ref(), event)?;
        writeln!(writer)
    }
}
