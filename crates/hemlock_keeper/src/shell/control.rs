//! The control thread: passes inputs to the core and carries out its actions.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crossbeam::channel::{Receiver, RecvTimeoutError, Sender};
use hemlock_quorum::prelude::DiskWork;
use hemlock_types::prelude::*;
use hemlock_wire::message::keeper::{KeeperReply, KeeperRequest};
use tokio::sync::{mpsc, oneshot};

use super::input::{EncodeRequest, Input, LaneCommand};
use super::pending_replies::{PendingReplies, ReplyTarget};
use crate::core::KeeperCore;
use crate::core::event::{KeeperAction, KeeperEvent};
use crate::error::KeeperError;

/// Maximum number of queued inputs handled in one pass, besides the first.
const INPUTS_PER_PASS: usize = 4_096;
/// Maximum number of callers that wait for a reply. Further requests are refused.
const MAX_PENDING_REPLIES: usize = 131_072;
/// Interval between updates of the metrics gauges.
const GAUGE_INTERVAL: DurationMs = DurationMs::new(1_000);

/// State of the control thread.
pub(super) struct Control {
    pub(super) core: KeeperCore,
    pub(super) clock: SystemClock,
    pub(super) inputs: Receiver<Input>,
    pub(super) lane: mpsc::UnboundedSender<LaneCommand>,
    pub(super) disk: Sender<Vec<DiskWork>>,
    pub(super) encoder: Sender<EncodeRequest>,
    pub(super) ready: Arc<AtomicBool>,
    pub(super) instance: String,
    pub(super) pending_replies: PendingReplies,
    pub(super) next_gauge_update: Instant,
}

/// Outcome of a pass of the control loop.
enum PassOutcome {
    Continue,
    Finished,
}

impl Control {
    /// Runs until the keeper is drained, killed or fails.
    pub(super) fn run(mut self) -> Result<(), KeeperError> {
        let result = self.run_loop();
        self.ready.store(false, Ordering::Release);
        self.pending_replies.refuse_all();
        result
    }

    fn run_loop(&mut self) -> Result<(), KeeperError> {
        loop {
            let Some(events) = self.receive_inputs()? else {
                return Ok(());
            };
            let mut actions = Vec::new();
            self.core.handle_all(self.clock.now(), events, &mut actions);
            if let Some(failure) = self.core.take_failure() {
                return Err(failure);
            }
            if let PassOutcome::Finished = self.perform_actions(actions) {
                return Ok(());
            }
            self.update_gauges();
        }
    }

    /// Waits for inputs until the next deadline. Returns `None` when the keeper must stop
    /// immediately.
    fn receive_inputs(&mut self) -> Result<Option<Vec<KeeperEvent>>, KeeperError> {
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
                input => events.extend(self.convert_input(input)),
            }
        }
        Ok(Some(events))
    }

    fn convert_input(&mut self, input: Input) -> Option<KeeperEvent> {
        let full = self.pending_replies.len() >= MAX_PENDING_REPLIES;
        match input {
            Input::Request(_, answer) if full => {
                ReplyTarget::Wire(answer).answer(KeeperReply::Unavailable);
                None
            }
            Input::Call(_, responder) if full => {
                ReplyTarget::Http(responder).answer(KeeperReply::Unavailable);
                None
            }
            Input::Request(request, answer) => Some(self.add_request(request, answer)),
            Input::Call(call, responder) => {
                let token = self.pending_replies.add(ReplyTarget::Http(responder));
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

    fn add_request(
        &mut self,
        request: KeeperRequest,
        answer: oneshot::Sender<KeeperReply>,
    ) -> KeeperEvent {
        let token = self.pending_replies.add(ReplyTarget::Wire(answer));
        KeeperEvent::Request { token, request }
    }

    fn perform_actions(&mut self, actions: Vec<KeeperAction>) -> PassOutcome {
        let mut work = Vec::new();
        let mut outcome = PassOutcome::Continue;
        for action in actions {
            match action {
                KeeperAction::Persist(item) => work.push(item),
                KeeperAction::EncodeSnapshot { index, state } => {
                    // Sending fails only if the encoder thread panicked.
                    drop(self.encoder.send(EncodeRequest { index, state }));
                }
                KeeperAction::Send { to, message } => self.command(LaneCommand::Send(to, message)),
                KeeperAction::Reply { token, reply } => self.pending_replies.answer(token, reply),
                KeeperAction::Forward { token, to, call } => {
                    self.command(LaneCommand::Forward(token, to, call));
                }
                KeeperAction::UpdateKeepers(keepers) => self.command(LaneCommand::Keepers(keepers)),
                KeeperAction::Drained => outcome = PassOutcome::Finished,
            }
        }
        if !work.is_empty() {
            // Sending fails only if the disk thread reported an error and ended.
            drop(self.disk.send(work));
        }
        outcome
    }

    fn command(&self, command: LaneCommand) {
        // Sending fails only if the lane thread panicked, which joining it reports.
        drop(self.lane.send(command));
    }

    fn update_gauges(&mut self) {
        let now = self.clock.now();
        if now < self.next_gauge_update {
            return;
        }
        self.next_gauge_update = now + GAUGE_INTERVAL;
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
        gauge("hemlock_keeper_waiting", self.pending_replies.len() as u64);
        gauge(
            "hemlock_keeper_submissions",
            self.core.state().ledger().len() as u64,
        );
    }
}
