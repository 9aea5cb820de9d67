//! Structured log lines on standard error: the limiter's name, the time, the level, a message and its fields.
//!
//! Lines are written by a thread of their own behind a bounded queue: where nobody reads them, the newest are lost, and
//! the limiter goes on. Fields have the same names everywhere: `request` and `attempt` are the numbers of a request and
//! of its attempt, `correlation_id` the client's, `server` an endpoint's id, `connection` the number of a client's
//! connection, `reason` why something ended or was refused.

use std::fmt;

use tracing::level_filters::LevelFilter;
use tracing::{Event, Subscriber};
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::fmt::format::{FormatEvent, FormatFields, Writer};
use tracing_subscriber::fmt::time::{FormatTime, SystemTime};
use tracing_subscriber::fmt::FmtContext;
use tracing_subscriber::registry::LookupSpan;

/// Names the lowest level that is written: `error`, `warn`, `info`, `debug` or `trace`.
const LEVEL_VARIABLE: &str = "LIMITER_LOG";
/// What is written where the variable is absent or names no level.
const DEFAULT_LEVEL: LevelFilter = LevelFilter::INFO;
/// Lines that wait to be written at most, some 400 KB.
const MAX_QUEUED_LINES: usize = 2048;

/// Writes log lines of the limiter of this name from now on, and what is left of them when the guard is dropped.
pub fn start(name: String) -> WorkerGuard {
    let level = std::env::var(LEVEL_VARIABLE).ok().and_then(|level| level.parse().ok());
    let builder = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(MAX_QUEUED_LINES);
    let (writer, guard) = builder.finish(std::io::stderr());
    let subscriber = tracing_subscriber::fmt()
        .with_max_level(level.unwrap_or(DEFAULT_LEVEL))
        .with_writer(writer)
        .with_ansi(false)
        .event_format(NamedLine { name });
    // It fails only where there is a subscriber already; this is the one place that sets one.
    let _ = tracing::subscriber::set_global_default(subscriber.finish());
    guard
}

/// Lines that begin with the limiter's name.
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
