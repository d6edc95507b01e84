//! Prints the progress of the demonstration.

use std::time::Instant;

/// Prints progress messages with the time since the start.
#[derive(Debug)]
pub(crate) struct Progress {
    started: Instant,
}

impl Progress {
    /// Starts the clock.
    pub(crate) fn start() -> Self {
        Self {
            started: Instant::now(),
        }
    }

    /// Prints one message.
    pub(crate) fn print(&self, line: &str) {
        println!("[{:6.2} s] {line}", self.started.elapsed().as_secs_f64());
    }
}
