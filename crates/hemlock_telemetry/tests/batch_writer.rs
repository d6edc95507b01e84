//! Tests of writing many log lines with one call.

use std::collections::VecDeque;
use std::io::{self, Read, Write};
use std::os::unix::net::UnixStream;
use std::thread;
use std::time::Duration;

use hemlock_telemetry::batch_writer::BatchWriter;

/// Counts the calls that reach it.
#[derive(Debug, Default)]
struct Counting<'a> {
    calls: usize,
    written: Option<&'a mut Vec<u8>>,
}

impl Write for Counting<'_> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.calls += 1;
        if let Some(written) = &mut self.written {
            written.extend_from_slice(bytes);
        }
        assert!(self.calls <= 1, "all lines must be written with one call");
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against one system call for each line, which cost gateways and runners a good part of
/// their processor time, and against lines that are lost or reordered.
#[test]
fn lines_between_two_flushes_are_written_together_and_in_order() {
    let mut written = Vec::new();
    let target = Counting {
        calls: 0,
        written: Some(&mut written),
    };
    let mut writer = BatchWriter::new(target);
    for line in 0..100 {
        writeln!(writer, "{line}").expect("the buffer takes the line");
    }
    writer.flush().expect("the target takes all bytes");
    writer.flush().expect("nothing is left to write");
    drop(writer);
    let expected: String = (0..100).map(|line| format!("{line}\n")).collect();
    assert_eq!(String::from_utf8(written).as_deref(), Ok(expected.as_str()));
}

/// Keeps the sizes of the writes that reach it.
#[derive(Debug, Default)]
struct Sizes(Vec<usize>);

impl Write for &mut Sizes {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        assert_eq!(bytes.last(), Some(&b'\n'), "lines are written whole");
        self.0.push(bytes.len());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against lines that are missing from a record: a supervisor kept only the first part of a
/// large batch.
#[test]
fn large_batches_are_written_in_parts_of_whole_lines() {
    let mut sizes = Sizes::default();
    let mut writer = BatchWriter::new(&mut sizes);
    for length in [300, 200, 5_000, 100].into_iter().cycle().take(40) {
        writeln!(writer, "{}", "x".repeat(length)).expect("the buffer takes the line");
    }
    writer.flush().expect("the target takes all bytes");
    drop(writer);
    assert_eq!(
        sizes.0.iter().sum::<usize>(),
        10 * (300 + 200 + 5_000 + 100 + 4)
    );
    assert!(
        sizes.0.iter().all(|size| *size <= 4_096 || *size == 5_001),
        "{sizes:?}"
    );
}

/// What a [`Scripted`] target does with a write.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// Takes at most this many bytes.
    Take(usize),
    /// Fails with an error of this kind.
    Fail(io::ErrorKind),
}

/// Follows a script, and takes everything once it is over.
#[derive(Debug, Default)]
struct Scripted {
    steps: VecDeque<Step>,
    written: Vec<u8>,
}

impl Write for &mut Scripted {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let taken = match self.steps.pop_front() {
            Some(Step::Fail(kind)) => return Err(kind.into()),
            Some(Step::Take(most)) => bytes.len().min(most),
            None => bytes.len(),
        };
        self.written.extend_from_slice(&bytes[..taken]);
        Ok(taken)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines(writer: &mut impl Write, lines: std::ops::Range<u32>) {
    for line in lines {
        writeln!(writer, "{line}").expect("the buffer takes the line");
    }
}

fn text_of(lines: impl IntoIterator<Item = u32>) -> String {
    lines.into_iter().map(|line| format!("{line}\n")).collect()
}

/// Guards against a batch that is discarded because its target was busy for a moment.
#[test]
fn a_batch_is_resumed_after_partial_and_interrupted_writes() {
    let mut target = Scripted {
        steps: VecDeque::from([
            Step::Take(4),
            Step::Fail(io::ErrorKind::WouldBlock),
            Step::Take(3),
            Step::Fail(io::ErrorKind::Interrupted),
            Step::Fail(io::ErrorKind::WouldBlock),
        ]),
        ..Scripted::default()
    };
    let mut writer = BatchWriter::new(&mut target);
    let lost = writer.lost_lines();
    write_lines(&mut writer, 100..120);
    writer
        .flush()
        .expect("the target takes all bytes in the end");
    drop(writer);
    assert_eq!(lost.count(), 0);
    assert_eq!(String::from_utf8_lossy(&target.written), text_of(100..120));
}

/// Guards against lines that are split or merged when the target fails in the middle of one, and
/// against a loss that nothing counts.
#[test]
fn a_lasting_error_loses_whole_lines_and_counts_them() {
    let mut target = Scripted {
        // One whole line, and the first digit of the next.
        steps: VecDeque::from([Step::Take(5), Step::Fail(io::ErrorKind::StorageFull)]),
        ..Scripted::default()
    };
    let mut writer = BatchWriter::new(&mut target);
    let lost = writer.lost_lines();
    write_lines(&mut writer, 100..110);
    writer.flush().expect_err("the target is full");
    assert_eq!(lost.count(), 8);
    write_lines(&mut writer, 110..112);
    writer.flush().expect("the target has space again");
    drop(writer);
    assert_eq!(lost.count(), 8);
    let expected = text_of((100..102).chain(110..112));
    assert_eq!(String::from_utf8_lossy(&target.written), expected);
}

/// Guards against a writer that waits forever, or keeps lines without a limit, for a reader that has
/// stopped reading.
#[test]
fn lines_for_a_reader_that_has_stopped_are_lost_after_the_timeout() {
    let (target, mut reader) = UnixStream::pair().expect("a pair of sockets");
    target.set_nonblocking(true).expect("a socket");
    let mut writer = BatchWriter::new(target).with_stall_timeout(Duration::from_millis(50));
    let lost = writer.lost_lines();
    let lines = 1_000_000..1_500_000;
    write_lines(&mut writer, lines.clone());
    let _ = writer.flush();
    let lost_before = lost.count();
    assert!(lost_before > 0, "the socket can't hold all lines");
    let reading = thread::spawn(move || {
        let mut received = String::new();
        reader.read_to_string(&mut received).expect("whole lines");
        received
    });
    write_lines(&mut writer, 2_000_000..2_000_010);
    writer.flush().expect("the reader reads again");
    assert_eq!(lost.count(), lost_before);
    drop(writer);
    let received = reading.join().expect("the reader ends");
    let received: Vec<u32> = received
        .lines()
        .map(|line| line.parse().expect("a whole line"))
        .collect();
    assert!(received.is_sorted(), "the order is kept");
    let written = lines.len() as u64 + 10;
    assert_eq!(received.len() as u64 + lost_before, written);
}

/// Guards against the loss of a batch when a non-blocking pipe is full because its reader is slow.
#[test]
fn no_line_is_lost_to_a_slow_reader() {
    let (target, mut reader) = UnixStream::pair().expect("a pair of sockets");
    target.set_nonblocking(true).expect("a socket");
    let reading = thread::spawn(move || {
        let mut received = Vec::new();
        let mut part = [0; 16 * 1024];
        loop {
            match reader.read(&mut part).expect("the socket can be read") {
                0 => return received,
                length => received.extend_from_slice(&part[..length]),
            }
            thread::sleep(Duration::from_millis(1));
        }
    });
    let mut writer = BatchWriter::new(target);
    let lost = writer.lost_lines();
    write_lines(&mut writer, 1_000_000..1_200_000);
    writer.flush().expect("the reader reads all");
    drop(writer);
    let received = reading.join().expect("the reader ends");
    assert_eq!(lost.count(), 0);
    assert!(received == text_of(1_000_000..1_200_000).as_bytes());
}
