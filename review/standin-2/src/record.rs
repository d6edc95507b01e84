//! The record of a case: what was sent, answered and run, with the time since its begin.

use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    begun: Instant,
    lines: Mutex<Vec<String>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            begun: Instant::now(),
            lines: Mutex::default(),
        }
    }

    /// Milliseconds since the begin of the record.
    pub fn now_ms(&self) -> u64 {
        self.begun.elapsed().as_millis() as u64
    }

    pub fn note(&self, text: impl AsRef<str>) {
        let at_ms = self.now_ms();
        let line = format!("{:>9.3} {}", at_ms as f64 / 1_000.0, text.as_ref());
        self.lines.lock().unwrap().push(line);
    }

    pub fn write(&self, path: &Path) {
        let lines = self.lines.lock().unwrap();
        let mut file = std::fs::File::create(path).expect("the record can be written");
        for line in lines.iter() {
            writeln!(file, "{line}").expect("the record can be written");
        }
    }
}
