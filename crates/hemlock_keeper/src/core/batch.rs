//! Batches of command items to be proposed, with the callers that wait for their outputs.

use hemlock_types::prelude::*;

use super::event::ReplyToken;
use super::operator::OperatorChange;
use crate::command::CommandItem;

/// Size in bytes at which a batch is closed and a new one begins.
const TARGET_BATCH_BYTES: usize = 512 * 1024;

/// Caller that waits for the outputs of consecutive items, or the follow-up step once these are
/// committed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Waiter {
    /// Replies to an entry with the results of its claims. Holds the number of claims.
    Claims(ReplyToken, usize),
    /// Confirms to an entry that its end records are committed. Holds the number of records.
    Ends(ReplyToken, usize),
    /// Replies to an entry with the result of a cancellation.
    Cancel(ReplyToken, SubmissionId),
    /// Replies to an operator with the result of a change.
    Operator(ReplyToken, OperatorChange),
    /// Accepts the report of a new entry once the entry is recorded.
    EntryRecorded(Incarnation),
    /// Removes an entry from the leader's own records. No caller waits.
    EntryRemoved(Incarnation),
    /// No caller waits and no step follows.
    Nobody,
}

/// Items of one command and their waiters, in the same order.
#[derive(Debug, Default)]
pub(crate) struct Batch {
    pub(crate) items: Vec<CommandItem>,
    pub(crate) waiters: Vec<Waiter>,
    bytes: usize,
}

/// Batches in the order of their proposal.
#[derive(Debug, Default)]
pub(crate) struct Batches {
    closed: Vec<Batch>,
    open: Batch,
}

impl Batches {
    /// Adds items that can share a command with other items.
    pub(crate) fn add(&mut self, waiter: Waiter, items: impl IntoIterator<Item = CommandItem>) {
        for item in items {
            self.open.bytes += item.size_bytes();
            self.open.items.push(item);
        }
        self.open.waiters.push(waiter);
        if self.open.bytes >= TARGET_BATCH_BYTES {
            self.close();
        }
    }

    /// Adds an item as a command of its own.
    pub(crate) fn add_alone(&mut self, waiter: Waiter, item: CommandItem) {
        self.close();
        self.add(waiter, [item]);
        self.close();
    }

    /// Adds a command without items. Applying it advances the time of the state, which expires
    /// submissions.
    pub(crate) fn add_empty(&mut self) {
        self.close();
        self.closed.push(Batch::default());
    }

    fn close(&mut self) {
        if !self.open.items.is_empty() {
            self.closed.push(std::mem::take(&mut self.open));
        }
    }

    /// Closes the open batch and takes all batches.
    pub(crate) fn take(&mut self) -> Vec<Batch> {
        self.close();
        std::mem::take(&mut self.closed)
    }

    /// Returns `true` if there is nothing to propose.
    pub(crate) fn is_empty(&self) -> bool {
        self.closed.is_empty() && self.open.items.is_empty()
    }
}
