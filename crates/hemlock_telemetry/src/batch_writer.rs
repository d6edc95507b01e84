//! A writer that passes on many log lines with one call.

use std::io::{self, Write};
use std::thread;
use std::time::Duration;

/// Pause after each write, in which further lines gather. Waking the writing thread and calling the
/// system for each line would cost a small machine more processor time than the work it reports.
const BATCH_INTERVAL: Duration = Duration::from_millis(20);
/// Number of buffered bytes that are written without waiting for a flush.
const MAX_BUFFERED_BYTES: usize = 64 * 1024;

/// Buffers lines and writes them together when it is flushed. Meant for a thread of its own, because
/// [`flush`](Write::flush) pauses.
#[derive(Debug)]
pub struct BatchWriter<W: Write> {
    target: W,
    buffer: Vec<u8>,
}

impl<W: Write> BatchWriter<W> {
    /// Creates a writer to `target`, which should not buffer lines itself.
    pub fn new(target: W) -> Self {
        Self {
            target,
            buffer: Vec::new(),
        }
    }

    fn write_buffer(&mut self) -> io::Result<()> {
        let written = self.target.write_all(&self.buffer);
        self.buffer.clear();
        written
    }
}

impl<W: Write> Write for BatchWriter<W> {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.buffer.extend_from_slice(line);
        if self.buffer.len() >= MAX_BUFFERED_BYTES {
            self.write_buffer()?;
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        if self.buffer.is_empty() {
            return Ok(());
        }
        self.write_buffer()?;
        thread::sleep(BATCH_INTERVAL);
        Ok(())
    }
}
