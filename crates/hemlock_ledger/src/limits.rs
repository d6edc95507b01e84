//! Bounds of the ledger.

use serde::{Deserialize, Serialize};

/// How much the ledger holds, and for how long.
///
/// Every keeper must have the same bounds, because they decide what a command does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerLimits {
    /// Most submissions held, open and ended together.
    pub max_records: usize,
    /// Most bytes of answers held; beyond it the ledger names the agents that hold an answer.
    pub max_answer_bytes: usize,
    /// How long a submission is remembered after its end or its deadline, in milliseconds.
    pub retention_ms: u64,
    /// When an entry that found a submission busy should ask again, in milliseconds.
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
    /// The same bounds with another number of submissions.
    #[must_use]
    pub fn with_max_records(mut self, max_records: usize) -> Self {
        self.max_records = max_records;
        self
    }

    /// The same bounds with another retention time in milliseconds.
    #[must_use]
    pub fn with_retention_ms(mut self, retention_ms: u64) -> Self {
        self.retention_ms = retention_ms;
        self
    }

    /// The same bounds with another number of answer bytes.
    #[must_use]
    pub fn with_max_answer_bytes(mut self, max_answer_bytes: usize) -> Self {
        self.max_answer_bytes = max_answer_bytes;
        self
    }
}
