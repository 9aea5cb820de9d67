//! The loop over the lines of input: reads one batch per line, and writes its reply as one line.

use std::io::{self, BufRead, Write};

use crate::error::{AdapterError, LineError};
use crate::host::Host;
use crate::wire::event::InboundBatch;

/// Answers each line of `input` with one line of `output`, which is flushed before the next line is read.
///
/// # Errors
/// Fails at the first line that cannot be read, parsed or answered. That line gets no reply.
pub fn serve(input: impl BufRead, mut output: impl Write) -> Result<(), AdapterError> {
    let mut host = Host::default();
    for (index, line) in input.lines().enumerate() {
        serve_line(&mut host, line, &mut output)
            .map_err(|source| AdapterError { line: index + 1, source })?;
    }
    Ok(())
}

fn serve_line(host: &mut Host, line: io::Result<String>, output: &mut impl Write) -> Result<(), LineError> {
    let batch: InboundBatch = serde_json::from_str(&line?)?;
    let reply = host.handle_batch(batch)?;
    let mut text = serde_json::to_vec(&reply)?;
    text.push(b'\n');
    output.write_all(&text)?;
    output.flush()?;
    Ok(())
}
