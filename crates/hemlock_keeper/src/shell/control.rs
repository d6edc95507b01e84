//! The control thread: feeds the core and does what it says.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crossbeam::channel::{Receiver, RecvTimeoutError, Sender};
use hemlock_quorum::prelude::DiskWork;
use hemlock_types::prelude::*;
use hemlock_wire::message::keeper::{KeeperReply, KeeperRequest};
use tokio::sync::{mpsc, oneshot};

use super::answers::{Answerer, Answers};
use super::input::{EncodeOrder, Input, LaneOrder};
use crate::core::KeeperCore;
use crate::core::event::{KeeperAction, KeeperEvent};
use crate::error::KeeperError;

/// Most inputs taken in one pass.
const INPUTS_PER_PASS: usize = 4_096;
/// Most callers that may wait for an answer.
const MAX_WAITING: usize = 131_072;
/// Time between two updates of the gauges.
const GAUGE_PERIOD: DurationMs = DurationMs::new(1_000);

/// The control thread's state.
pub(super) struct Control {
    pub(super) core: KeeperCore,
    pub(super) clock: SystemClock,
    pub(super) inputs: Receiver<Input>,
    pub(super) lane: mpsc::UnboundedSender<LaneOrder>,
    pub(super) disk: Sender<Vec<DiskWork>>,
    pub(super) encoder: Sender<EncodeOrder>,
    pub(super) ready: Arc<AtomicBool>,
    pub(super) instance: String,
    pub(super) answers: Answers,
    pub(super) gauges_due: Instant,
}

/// How the thread goes on after a pass.
enum Pass {
    GoOn,
    Ended,
}

impl Control {
    /// Runs until the keeper is drained, killed or can't go on.
    pub(super) fn run(mut self) -> Result<(), KeeperError> {
        let result = self.run_passes();
        self.ready.store(false, Ordering::Release);
        self.answers.refuse_all();
        result
    }

    fn run_passes(&mut self) -> Result<(), KeeperError> {
        loop {
            let Some(events) = self.take_inputs()? else {
                return Ok(());
            };
            let mut actions = Vec::new();
            self.core.handle_all(self.clock.now(), events, &mut actions);
            if let Some(failure) = self.core.take_failure() {
                return Err(failure);
            }
            if let Pass::Ended = self.do_actions(actions) {
                return Ok(());
            }
            self.update_gauges();
        }
    }

    /// Waits for inputs or the next deadline; `None` when the keeper is to end at once.
    fn take_inputs(&mut self) -> Result<Option<Vec<KeeperEvent>>, KeeperError> {
        let now = self.clock.now();
        let wait_us = self.core.next_deadline().micros_since(now);
        let first = match self.inputs.recv_timeout(Duration::from_micros(wait_us)) {
            Ok(input) => input,
            Err(RecvTimeoutError::Timeout) => return Ok(Some(vec![KeeperEvent::Tick])),
            Err(RecvTimeoutError::Disconnected) => return Ok(None),
        };
        let more: Vec<Input> = self.inputs.try_iter().take(INPUTS_PER_PASS).collect();
        let mut events = Vec::with_capacity(more.len() + 1);
        for input in std::iter::once(first).chain(more) {
            match input {
                Input::Kill => return Ok(None),
                Input::DiskFailed(error) => return Err(error.into()),
                Input::Encoded(_, Err(error)) => return Err(error.into()),
                input => events.extend(self.take_input(input)),
            }
        }
        Ok(Some(events))
    }

    fn take_input(&mut self, input: Input) -> Option<KeeperEvent> {
        let full = self.answers.len() >= MAX_WAITING;
        match input {
            Input::Request(_, answer) if full => {
                Answerer::Wire(answer).answer(KeeperReply::Unavailable);
                None
            }
            Input::Call(_, responder) if full => {
                Answerer::Http(responder).answer(KeeperReply::Unavailable);
                None
            }
            Input::Request(request, answer) => Some(self.take_request(request, answer)),
            Input::Call(call, responder) => {
                let token = self.answers.add(Answerer::Http(responder));
                Some(KeeperEvent::Operator { token, call })
            }
            Input::Received(from, message) => Some(KeeperEvent::Received { from, message }),
            Input::Forwarded(token, reply) => Some(KeeperEvent::Forwarded { token, reply }),
            Input::Synced(up_to) => Some(KeeperEvent::Synced { up_to }),
            Input::Drain => Some(KeeperEvent::Drain),
            Input::Encoded(index, Ok(data)) => Some(KeeperEvent::SnapshotEncoded { index, data }),
            Input::Kill | Input::DiskFailed(_) | Input::Encoded(_, Err(_)) => None,
        }
    }

    fn take_request(
        &mut self,
        request: KeeperRequest,
        answer: oneshot::Sender<KeeperReply>,
    ) -> KeeperEvent {
        let token = self.answers.add(Answerer::Wire(answer));
        KeeperEvent::Request { token, request }
    }

    fn do_actions(&mut self, actions: Vec<KeeperAction>) -> Pass {
        let mut work = Vec::new();
        let mut pass = Pass::GoOn;
        for action in actions {
            match action {
                KeeperAction::Persist(item) => work.push(item),
                KeeperAction::EncodeSnapshot { index, state } => {
                    // The encoder ends before this thread only when it has panicked.
                    drop(self.encoder.send(EncodeOrder { index, state }));
                }
                KeeperAction::Send { to, message } => self.order(LaneOrder::Send(to, message)),
                KeeperAction::Reply { token, reply } => self.answers.answer(token, reply),
                KeeperAction::Forward { token, to, call } => {
                    self.order(LaneOrder::Forward(token, to, call));
                }
                KeeperAction::UpdateKeepers(keepers) => self.order(LaneOrder::Keepers(keepers)),
                KeeperAction::Drained => pass = Pass::Ended,
            }
        }
        if !work.is_empty() {
            // The disk thread ends before this one only when it has reported a failure.
            drop(self.disk.send(work));
        }
        pass
    }

    fn order(&self, order: LaneOrder) {
        // The lane ends before this thread only when it has panicked, which the join reports.
        drop(self.lane.send(order));
    }

    fn update_gauges(&mut self) {
        let now = self.clock.now();
        if now < self.gauges_due {
            return;
        }
        self.gauges_due = now + GAUGE_PERIOD;
        let status = self.core.quorum_status();
        let ready = status.leader.is_some() && !self.core.is_draining();
        self.ready.store(ready, Ordering::Release);
        let gauge = |name: &'static str, value: u64| {
            metrics::gauge!(name, "instance" => self.instance.clone()).set(value as f64);
        };
        let slowest = status.followers.iter().map(|follower| follower.matched);
        let lag = slowest
            .min()
            .map_or(0, |matched| status.last.since(matched));
        let lease_left = status
            .lease_until
            .map_or(0, |until| until.since(now).as_ms());
        gauge("hemlock_keeper_term", status.term.0);
        gauge("hemlock_keeper_leading", self.core.is_leading().into());
        gauge("hemlock_keeper_log_lag_entries", lag);
        gauge("hemlock_keeper_lease_left_ms", lease_left);
        gauge("hemlock_keeper_waiting", self.answers.len() as u64);
        gauge(
            "hemlock_keeper_submissions",
            self.core.state().ledger().len() as u64,
        );
    }
}
