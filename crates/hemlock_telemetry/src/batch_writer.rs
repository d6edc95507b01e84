//! A writer that passes on many log lines with one call.

use std::io::{self, ErrorKind, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Pause after each write, in which further lines gather. Waking the writing thread and calling the
/// system for each line would cost a small machine more processor time than the work it reports.
const BATCH_INTERVAL: Duration = Duration::from_millis(20);
/// Number of buffered bytes that are written without waiting for a flush.
const MAX_BUFFERED_BYTES: usize = 64 * 1024;
/// Most bytes of one write, unless a line is longer. A pipe takes as many at once or none, and a
/// supervisor may keep no more of one write than fits its buffer.
const MAX_WRITE_BYTES: usize = 4 * 1024;
/// Pause before a write to a busy target is tried again.
const RETRY_INTERVAL: Duration = Duration::from_millis(5);
/// Longest time without progress for which a busy target is waited for.
const STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Number of lines that a [`BatchWriter`] could not write. Clones share the number.
#[derive(Clone, Debug, Default)]
pub struct LostLines(Arc<AtomicU64>);

impl LostLines {
    /// Returns the number of lines lost so far.
    pub fn count(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    fn add(&self, lines: usize) {
        self.0.fetch_add(lines as u64, Ordering::Relaxed);
    }
}

/// Buffers lines and writes them together when it is flushed. Meant for a thread of its own, because
/// [`flush`](Write::flush) pauses, and waits for a target that is busy.
///
/// When the target fails, or stays busy for too long, the buffered lines are lost and counted. A line
/// of which a part has been written is completed by the next write.
#[derive(Debug)]
pub struct BatchWriter<W: Write> {
    target: W,
    /// Lines to be written. The first one may lack a part that has been written.
    buffer: Vec<u8>,
    /// Whether the buffer begins within a line.
    is_within_line: bool,
    stall_timeout: Duration,
    lost: LostLines,
}

impl<W: Write> BatchWriter<W> {
    /// Creates a writer to `target`, which should not buffer lines itself.
    pub fn new(target: W) -> Self {
        Self {
            target,
            buffer: Vec::new(),
            is_within_line: false,
            stall_timeout: STALL_TIMEOUT,
            lost: LostLines::default(),
        }
    }

    /// Sets the longest time without progress for which a busy target is waited for.
    #[must_use]
    pub fn with_stall_timeout(mut self, stall_timeout: Duration) -> Self {
        self.stall_timeout = stall_timeout;
        self
    }

    /// Returns the counter of lines that could not be written.
    pub fn lost_lines(&self) -> LostLines {
        self.lost.clone()
    }

    fn write_buffer(&mut self) -> io::Result<()> {
        let mut written = 0;
        let result = write_out(
            &mut self.target,
            &self.buffer,
            &mut written,
            self.stall_timeout,
        );
        if let Some(last) = written.checked_sub(1) {
            self.is_within_line = self.buffer[last] != b'\n';
            self.buffer.drain(..written);
        }
        if result.is_err() {
            self.discard_whole_lines();
        }
        result
    }

    fn discard_whole_lines(&mut self) {
        let is_end = |byte: &u8| *byte == b'\n';
        let kept = match self.is_within_line {
            true => self.buffer.iter().position(is_end).map_or(0, |end| end + 1),
            false => 0,
        };
        let lost = self.buffer[kept..].iter().filter(|byte| is_end(byte));
        self.lost.add(lost.count());
        self.buffer.truncate(kept);
    }
}

/// Writes all bytes, and adds to `written` how many the target has taken. Waits while the target is
/// busy, for at most `stall_timeout` without progress.
fn write_out(
    target: &mut impl Write,
    bytes: &[u8],
    written: &mut usize,
    stall_timeout: Duration,
) -> io::Result<()> {
    let mut progress_at = Instant::now();
    loop {
        let rest = &bytes[*written..];
        let result = match rest.is_empty() {
            // The target may buffer a part of what it has taken.
            true => target.flush().map(|()| None),
            false => target.write(first_lines(rest)).map(Some),
        };
        match result {
            Ok(None) => return Ok(()),
            Ok(Some(0)) => return Err(ErrorKind::WriteZero.into()),
            Ok(Some(taken)) => {
                *written += taken;
                progress_at = Instant::now();
            }
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                if progress_at.elapsed() >= stall_timeout {
                    return Err(error);
                }
                thread::sleep(RETRY_INTERVAL);
            }
            Err(error) => return Err(error),
        }
    }
}

/// The whole lines at the beginning that are written at once; at least one.
fn first_lines(bytes: &[u8]) -> &[u8] {
    let most = &bytes[..bytes.len().min(MAX_WRITE_BYTES)];
    let is_end = |byte: &u8| *byte == b'\n';
    let last_end = most.iter().rposition(is_end);
    let end = last_end.or_else(|| bytes.iter().position(is_end));
    end.map_or(bytes, |end| &bytes[..=end])
}

impl<W: Write> Write for BatchWriter<W> {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.buffer.extend_from_slice(line);
        if self.buffer.len() >= MAX_BUFFERED_BYTES {
            // The line was taken; lost lines are counted.
            let _ = self.write_buffer();
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        if self.buffer.is_empty() {
            return Ok(());
        }
        let written = self.write_buffer();
        thread::sleep(BATCH_INTERVAL);
        written
    }
}
