//! Requests that wait for a commit or for a leadership check.

use std::cell::RefCell;
use std::rc::Rc;

use hemlock_jobs::prelude::{AgentId, JobId};
use tokio::sync::oneshot;

use super::handle::{ConfigureAnswer, ReadAnswer};
use super::watchers::Watcher;
use crate::message::{CallerAnswer, EvacuationChange, Reply, RunnerPing};

/// Waits for the commit of a command.
pub(super) enum CommandWaiter {
    /// No request waits for the command.
    Nobody,
    /// The new leader, which dispatches once its first command is committed.
    Lead,
    /// A caller that submits or cancels a job.
    Caller(oneshot::Sender<Reply>),
    /// An operator that sends a configuration.
    Operator(oneshot::Sender<ConfigureAnswer>),
    /// An operator that changes the evacuated failure domains.
    Evacuation(EvacuationChange, oneshot::Sender<Reply>),
    /// A runner that registers.
    Registration(AgentId, oneshot::Sender<Reply>),
    /// A runner that has reported several ends.
    Group(Rc<AnswerGroup>),
}

/// An answer that is sent once several commands are committed.
pub(super) struct AnswerGroup {
    state: RefCell<GroupState>,
}

struct GroupState {
    remaining: usize,
    answer: Option<(oneshot::Sender<Reply>, Reply)>,
}

impl AnswerGroup {
    /// Creates an answer that waits for `remaining` commands. It is sent at once for zero commands.
    pub(super) fn new(remaining: usize, answer: oneshot::Sender<Reply>, reply: Reply) -> Rc<Self> {
        let group = Self {
            state: RefCell::new(GroupState {
                remaining,
                answer: Some((answer, reply)),
            }),
        };
        group.send_if_complete();
        Rc::new(group)
    }

    /// Handles the commit of one of the commands.
    pub(super) fn command_committed(&self) {
        self.state.borrow_mut().remaining -= 1;
        self.send_if_complete();
    }

    /// Answers [`Reply::Undecided`], because one of the commands may not be committed.
    pub(super) fn fail(&self) {
        if let Some((answer, _)) = self.state.borrow_mut().answer.take() {
            reply(answer, Reply::Undecided);
        }
    }

    fn send_if_complete(&self) {
        let mut state = self.state.borrow_mut();
        if state.remaining == 0
            && let Some((answer, complete)) = state.answer.take()
        {
            reply(answer, complete);
        }
    }
}

/// Waits for confirmation that this keeper still leads.
pub(super) enum ReadWaiter {
    /// A caller that reads a job's state.
    JobState(JobId, oneshot::Sender<Reply>),
    /// A caller that reads a queue's number of pending jobs.
    QueueCount(String, oneshot::Sender<Reply>),
    /// A caller whose answer is known already.
    Known(CallerAnswer, oneshot::Sender<Reply>),
    /// A gateway's long poll for the configuration, the agents and the evacuations.
    Watch(Watcher),
    /// An operator that reads the evacuated failure domains.
    Evacuations(oneshot::Sender<Reply>),
    /// An operator that reads the configuration.
    Configuration(oneshot::Sender<ReadAnswer>),
    /// A peer that checks whether this keeper leads and, for a runner, whether its session is
    /// valid.
    Ping(Option<RunnerPing>, oneshot::Sender<Reply>),
}

/// Answers a peer. An answer to a closed connection is dropped.
pub(super) fn reply(answer: oneshot::Sender<Reply>, value: Reply) {
    let _ = answer.send(value);
}
