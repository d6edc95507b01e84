//! Reads that are answered once this keeper is confirmed to still lead.

use hemlock_dispatch::prelude::*;
use hemlock_jobs::prelude::*;
use hemlock_quorum::prelude::*;

use super::control::Control;
use super::handle::ReadAnswer;
use super::waiters::{ReadWaiter, reply};
use super::watchers::WatchedVersions;
use crate::message::{CallerAnswer, EvacuationsAnswer, JobState, Reply};

impl Control {
    pub(super) fn read(&mut self, waiter: ReadWaiter) {
        match self.dispatcher {
            Some(_) => self.queued_reads.push(waiter),
            None => self.refuse_read(waiter),
        }
    }

    pub(super) fn flush_reads(&mut self) {
        if self.queued_reads.is_empty() {
            return;
        }
        let token = self.allocate_token();
        self.unconfirmed_reads
            .insert(token, std::mem::take(&mut self.queued_reads));
        self.events.push(Event::ConfirmRead { token });
    }

    pub(super) fn read_done(&mut self, token: ProposalToken, leads: bool) {
        for waiter in self.unconfirmed_reads.remove(&token).unwrap_or_default() {
            match leads && self.dispatcher.is_some() {
                true => self.answer_read(waiter),
                false => self.refuse_read(waiter),
            }
        }
    }

    fn answer_read(&mut self, waiter: ReadWaiter) {
        let now = self.now;
        match waiter {
            ReadWaiter::JobState(id, answer) => reply(answer, Reply::Call(self.job_state(id))),
            ReadWaiter::QueueCount(queue, answer) => {
                let dispatcher = self.dispatcher.as_ref();
                let count = dispatcher.map_or(0, |dispatcher| dispatcher.pending_jobs(&queue));
                let count = CallerAnswer::PendingJobs(count as u64);
                reply(answer, Reply::Call(count));
            }
            ReadWaiter::Known(known, answer) => reply(answer, Reply::Call(known)),
            ReadWaiter::Configuration(answer) => {
                let held = self.store.configuration();
                let read = held.map_or(ReadAnswer::Empty, |held| {
                    ReadAnswer::Document(held.document.clone())
                });
                // The operator may have disconnected, and then sends its request again.
                let _ = answer.send(read);
            }
            ReadWaiter::Watch(watcher) => {
                let configuration = self.store.configuration();
                let newer = configuration.filter(|held| held.version > watcher.held.configuration);
                let version = self.store.agents_version();
                let agents = (version != watcher.held.agents)
                    .then(|| (version, self.store.agents().iter().copied().collect()));
                let configuration = newer.cloned().map(Box::new);
                let evacuations = self.newer_evacuations(watcher.held.evacuations);
                reply(
                    watcher.answer,
                    Reply::Watched {
                        configuration,
                        agents,
                        evacuations,
                    },
                );
            }
            ReadWaiter::Evacuations(answer) => {
                let current = EvacuationsAnswer::Current(self.store.evacuations().clone());
                reply(answer, Reply::Evacuations(current));
            }
            ReadWaiter::Ping(None, answer) => {
                let evacuations = None;
                reply(answer, Reply::Confirmed { evacuations });
            }
            ReadWaiter::Ping(Some(ping), answer) => {
                let (agent, session) = (ping.agent, ping.session);
                let holds = self.dispatcher.as_mut().is_some_and(|dispatcher| {
                    dispatcher.set_withheld(agent, session, ping.withheld_percent);
                    dispatcher.confirm(now, agent, session)
                });
                let evacuations = self.newer_evacuations(ping.evacuations);
                reply(
                    answer,
                    if holds {
                        Reply::Confirmed { evacuations }
                    } else {
                        Reply::VoidSession
                    },
                );
            }
        }
    }

    fn job_state(&self, id: JobId) -> CallerAnswer {
        let Some(record) = self.store.job(id) else {
            return CallerAnswer::NoSuchJob;
        };
        let stage = self.dispatcher.as_ref().and_then(|d| d.stage(id));
        CallerAnswer::State(match (record.outcome(), stage) {
            (Some(outcome), _) => JobState::Ended(outcome),
            (None, Some(JobStage::Active)) => JobState::Active,
            (None, Some(JobStage::Pending) | None) => JobState::Pending,
        })
    }

    fn refuse_read(&mut self, waiter: ReadWaiter) {
        match waiter {
            ReadWaiter::Configuration(answer) => {
                // The operator may have disconnected, and then sends its request again.
                let _ = answer.send(ReadAnswer::NotLeader(self.other_leader()));
            }
            ReadWaiter::Evacuations(answer) => {
                let refusal = EvacuationsAnswer::NotLeader(self.other_leader());
                reply(answer, Reply::Evacuations(refusal));
            }
            ReadWaiter::Watch(watcher) => reply(watcher.answer, Reply::NotLeader),
            ReadWaiter::JobState(_, answer)
            | ReadWaiter::QueueCount(_, answer)
            | ReadWaiter::Known(_, answer)
            | ReadWaiter::Ping(_, answer) => reply(answer, Reply::NotLeader),
        }
    }

    /// Queues reads for the long polls with a change or an elapsed timeout.
    pub(super) fn answer_watchers(&mut self) {
        let current = WatchedVersions {
            configuration: self.store.configuration().map_or(0, |held| held.version),
            agents: self.store.agents_version(),
            evacuations: self.store.evacuations().version(),
        };
        for watcher in self.watchers.take_due(self.now, current) {
            self.read(ReadWaiter::Watch(watcher));
        }
    }
}
