//! Who waits for what.

use std::cell::RefCell;
use std::rc::Rc;

use hemlock_dispatch::prelude::SessionId;
use hemlock_jobs::prelude::{AgentId, JobId};
use tokio::sync::oneshot;

use super::handle::{ConfigureAnswer, ReadAnswer};
use super::watchers::Watcher;
use crate::message::{CallerAnswer, Reply};

/// Waits for a command to be committed.
pub(super) enum CommandWaiter {
    /// Nobody.
    Nobody,
    /// This leader, for its first command.
    Lead,
    /// A caller that hands in or cancels a job.
    Caller(oneshot::Sender<Reply>),
    /// An operator.
    Operator(oneshot::Sender<ConfigureAnswer>),
    /// A runner that registers.
    Registration(AgentId, oneshot::Sender<Reply>),
    /// A runner that has reported several ends.
    Group(Rc<AnswerGroup>),
}

/// An answer that is due once several commands are committed.
pub(super) struct AnswerGroup {
    state: RefCell<GroupState>,
}

struct GroupState {
    missing: usize,
    answer: Option<(oneshot::Sender<Reply>, Reply)>,
}

impl AnswerGroup {
    /// An answer that waits for `missing` commands; sent at once when that is none.
    pub(super) fn new(missing: usize, answer: oneshot::Sender<Reply>, reply: Reply) -> Rc<Self> {
        let group = Self {
            state: RefCell::new(GroupState {
                missing,
                answer: Some((answer, reply)),
            }),
        };
        group.send_if_complete();
        Rc::new(group)
    }

    /// One of the commands is committed.
    pub(super) fn note_committed(&self) {
        self.state.borrow_mut().missing -= 1;
        self.send_if_complete();
    }

    /// One of the commands is not known to be committed.
    pub(super) fn fail(&self) {
        if let Some((answer, _)) = self.state.borrow_mut().answer.take() {
            reply(answer, Reply::Undecided);
        }
    }

    fn send_if_complete(&self) {
        let mut state = self.state.borrow_mut();
        if state.missing == 0
            && let Some((answer, complete)) = state.answer.take()
        {
            reply(answer, complete);
        }
    }
}

/// Waits for proof that this keeper still leads.
pub(super) enum ReadWaiter {
    /// A caller that asks for a job's state.
    JobState(JobId, oneshot::Sender<Reply>),
    /// A caller that asks for a queue's count.
    QueueCount(String, oneshot::Sender<Reply>),
    /// A caller whose answer is known already.
    Known(CallerAnswer, oneshot::Sender<Reply>),
    /// A gateway that asks what is in force.
    Watch(Watcher),
    /// An operator that reads the configuration.
    Configuration(oneshot::Sender<ReadAnswer>),
    /// A peer that asks whether this keeper leads, and a runner's session.
    Ping(Option<(AgentId, SessionId)>, oneshot::Sender<Reply>),
}

/// Answers a peer; one that has gone needs no answer.
pub(super) fn reply(answer: oneshot::Sender<Reply>, value: Reply) {
    let _ = answer.send(value);
}
