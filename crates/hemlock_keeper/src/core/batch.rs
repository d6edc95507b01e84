//! Commands that wait to be proposed, and the callers that wait for their outputs.

use hemlock_types::prelude::*;

use super::event::ReplyToken;
use super::operator::OperatorChange;
use crate::command::CommandItem;

/// Bytes of items from which on a batch is closed.
const BATCH_BYTES: usize = 512 * 1024;

/// Who waits for the outputs of some consecutive items.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Waiter {
    /// An entry waits for the answers to its claims.
    Claims(ReplyToken, usize),
    /// An entry waits until its ends are recorded.
    Ends(ReplyToken, usize),
    /// An entry waits for the answer to a cancellation.
    Cancel(ReplyToken, SubmissionId),
    /// An operator waits for the verdict on a change.
    Operator(ReplyToken, OperatorChange),
    /// An entry's report waits until the entry is recorded.
    Joined(Incarnation),
    /// Nobody waits, but the leader's own records change.
    Gone(Incarnation),
    /// Nobody waits.
    Noted,
}

/// Items of one command, with their waiters in the same order.
#[derive(Debug, Default)]
pub(crate) struct Batch {
    pub(crate) items: Vec<CommandItem>,
    pub(crate) waiters: Vec<Waiter>,
    bytes: usize,
}

/// Batches in the order in which they are to be proposed.
#[derive(Debug, Default)]
pub(crate) struct Batches {
    closed: Vec<Batch>,
    open: Batch,
}

impl Batches {
    /// Adds items that may share a command with others.
    pub(crate) fn add(&mut self, waiter: Waiter, items: impl IntoIterator<Item = CommandItem>) {
        for item in items {
            self.open.bytes += item.size_bytes();
            self.open.items.push(item);
        }
        self.open.waiters.push(waiter);
        if self.open.bytes >= BATCH_BYTES {
            self.close();
        }
    }

    /// Adds an item that stands alone in its command.
    pub(crate) fn add_alone(&mut self, waiter: Waiter, item: CommandItem) {
        self.close();
        self.add(waiter, [item]);
        self.close();
    }

    /// Adds a command that does nothing but pass time.
    pub(crate) fn add_empty(&mut self) {
        self.close();
        self.closed.push(Batch::default());
    }

    fn close(&mut self) {
        if !self.open.items.is_empty() {
            self.closed.push(std::mem::take(&mut self.open));
        }
    }

    /// Takes everything out.
    pub(crate) fn take(&mut self) -> Vec<Batch> {
        self.close();
        std::mem::take(&mut self.closed)
    }

    /// Whether nothing waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.closed.is_empty() && self.open.items.is_empty()
    }
}
