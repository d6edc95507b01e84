//! What a leader knows of each follower.

use std::collections::VecDeque;

use hemlock_types::ids::Incarnation;
use hemlock_types::time::Instant;

use crate::ids::LogIndex;
use crate::snapshot::Snapshot;

/// How entries are sent to a follower.
#[derive(Clone, Debug)]
pub(crate) enum Mode {
    /// Ahead of its answers.
    Stream,
    /// Empty messages, until one is accepted.
    Probe,
    /// A snapshot, piece by piece.
    Snapshot(Transfer),
}

/// A snapshot on its way.
#[derive(Clone, Debug)]
pub(crate) struct Transfer {
    pub(crate) snapshot: Snapshot,
    pub(crate) acked_bytes: u64,
    pub(crate) sent_at: Instant,
}

/// A leader's view of a follower.
#[derive(Clone, Debug)]
pub(crate) struct Follower {
    pub(crate) incarnation: Incarnation,
    /// The last entry that it holds durably.
    pub(crate) matched: LogIndex,
    /// The next entry to send.
    pub(crate) next: LogIndex,
    pub(crate) mode: Mode,
    /// When the latest message that it has answered was sent.
    pub(crate) heard: Option<Instant>,
    /// Messages of entries sent ahead: the last entry and the bytes of each.
    ahead: VecDeque<(LogIndex, usize)>,
    ahead_bytes: usize,
}

impl Follower {
    pub(crate) fn new(incarnation: Incarnation, next: LogIndex) -> Self {
        Self {
            incarnation,
            matched: LogIndex::ZERO,
            next,
            mode: Mode::Stream,
            heard: None,
            ahead: VecDeque::new(),
            ahead_bytes: 0,
        }
    }

    /// Notes that a message of entries was sent.
    pub(crate) fn send_ahead(&mut self, last: LogIndex, bytes: usize) {
        self.next = last.next();
        self.ahead.push_back((last, bytes));
        self.ahead_bytes += bytes;
    }

    /// Whether the entries sent ahead leave room for more.
    pub(crate) fn has_room(&self, max_entries: u64, max_bytes: usize) -> bool {
        let entries = self.next.prev().since(self.matched);
        entries < max_entries && self.ahead_bytes < max_bytes
    }

    fn note_answered(&mut self) {
        while let Some((last, bytes)) = self.ahead.front().copied() {
            if last > self.matched {
                break;
            }
            self.ahead_bytes -= bytes;
            self.ahead.pop_front();
        }
    }

    fn forget_ahead(&mut self) {
        self.ahead.clear();
        self.ahead_bytes = 0;
    }

    pub(crate) fn is_streaming(&self) -> bool {
        matches!(self.mode, Mode::Stream)
    }

    pub(crate) fn is_in_snapshot(&self) -> bool {
        matches!(self.mode, Mode::Snapshot(_))
    }

    /// Notes the answer to a message sent at `sent_us`.
    pub(crate) fn hear(&mut self, echo_us: u64, now: Instant) {
        if echo_us == 0 {
            return;
        }
        let sent = Instant::from_micros(echo_us).min(now);
        self.heard = self.heard.max(Some(sent));
    }

    /// Notes that the follower holds the log durably up to `matched`.
    pub(crate) fn advance(&mut self, matched: LogIndex) {
        self.matched = self.matched.max(matched);
        self.note_answered();
        self.next = self.next.max(self.matched.next());
        let resume = match &self.mode {
            Mode::Stream => false,
            Mode::Probe => self.matched.next() == self.next,
            Mode::Snapshot(transfer) => self.matched >= transfer.snapshot.head.index,
        };
        if resume {
            self.mode = Mode::Stream;
            self.next = self.matched.next();
            self.forget_ahead();
        }
    }

    /// Goes back after a refusal, unless that answers an earlier message.
    pub(crate) fn back_up(&mut self, refused_prev: LogIndex, hint: LogIndex) {
        let stale = match self.mode {
            Mode::Stream => refused_prev <= self.matched,
            Mode::Probe => refused_prev.next() != self.next,
            Mode::Snapshot(_) => true,
        };
        if stale {
            return;
        }
        let next = hint.next().min(refused_prev);
        self.next = next.max(self.matched.next());
        self.mode = Mode::Probe;
        self.forget_ahead();
    }
}
