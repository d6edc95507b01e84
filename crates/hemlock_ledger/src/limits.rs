//! Limits of the ledger.

use serde::{Deserialize, Serialize};

/// Capacity and retention time of the ledger.
///
/// All keepers must use the same limits, because they determine the effect of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerLimits {
    /// Largest number of stored submissions, open and ended.
    pub max_records: usize,
    /// Largest total size of the stored answers, in bytes. Beyond it, the ledger stores the agents
    /// that hold an answer instead.
    pub max_answer_bytes: usize,
    /// Time for which a submission is stored after its end or its deadline, in milliseconds.
    pub retention_ms: u64,
    /// Delay after which an entry that found a submission busy should retry, in milliseconds.
    pub retry_after_ms: u64,
}

impl Default for LedgerLimits {
    fn default() -> Self {
        Self {
            max_records: 4_000_000,
            max_answer_bytes: 256 * 1024 * 1024,
            retention_ms: 600_000,
            retry_after_ms: 100,
        }
    }
}

impl LedgerLimits {
    /// Sets the largest number of stored submissions.
    #[must_use]
    pub fn with_max_records(mut self, max_records: usize) -> Self {
        self.max_records = max_records;
        self
    }

    /// Sets the retention time in milliseconds.
    #[must_use]
    pub fn with_retention_ms(mut self, retention_ms: u64) -> Self {
        self.retention_ms = retention_ms;
        self
    }

    /// Sets the largest total size of the stored answers, in bytes.
    #[must_use]
    pub fn with_max_answer_bytes(mut self, max_answer_bytes: usize) -> Self {
        self.max_answer_bytes = max_answer_bytes;
        self
    }
}
