//! The record of what was sent, answered and run, with times since the start of the case.

use std::cell::RefCell;
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::time::Instant;

pub(crate) struct Record {
    begun: Instant,
    file: RefCell<File>,
}

impl Record {
    pub(crate) fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            begun: Instant::now(),
            file: RefCell::new(File::create(path)?),
        })
    }

    pub(crate) fn now_ms(&self) -> u64 {
        u64::try_from(self.begun.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    pub(crate) fn note(&self, text: String) {
        let now_ms = self.now_ms();
        // The verdict doesn't depend on the record.
        let _ = writeln!(
            self.file.borrow_mut(),
            "{:4}.{:03} {text}",
            now_ms / 1_000,
            now_ms % 1_000
        );
    }
}
