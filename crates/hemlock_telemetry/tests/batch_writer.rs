//! Tests of writing many log lines with one call.

use std::io::{self, Write};

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
