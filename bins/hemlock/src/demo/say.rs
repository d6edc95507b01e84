//! Plain lines about what the demonstration does, each with the time since its start.

use std::time::Instant;

/// Prints lines.
#[derive(Debug)]
pub(crate) struct Narrator {
    started: Instant,
}

impl Narrator {
    /// Starts the time that the lines show.
    pub(crate) fn start() -> Self {
        Self {
            started: Instant::now(),
        }
    }

    /// Prints one line.
    pub(crate) fn say(&self, line: &str) {
        println!("[{:6.2} s] {line}", self.started.elapsed().as_secs_f64());
    }
}
