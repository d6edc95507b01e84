//! Simulated callers.

use hemlock_jobs::prelude::*;
use hemlock_nodes::message::CallerAnswer;
use rand::RngExt;

use super::gateways::{GatewayEvent, Request};
use super::network::Path;
use super::{
    Action, GATEWAYS, MS, Node, RESUBMIT_MS, RUNNERS, Simulation, TASK_CPU_MILLI, Target,
    instance_report,
};

/// Time that a caller waits for an answer, in milliseconds.
pub(super) const DEADLINE_MS: u64 = 1_500;
/// Most submissions of one job.
const MAX_ATTEMPTS: u32 = 6;
/// Number of tasks and their mean duration, in milliseconds, by kind of job.
const KINDS: [(u16, u64); 3] = [(8, 60), (4, 900), (2, 200)];
/// Longest duration of a task, in milliseconds.
const MAX_TASK_MS: u64 = 3_600;
/// Channels of callers' connections, apart from those of runners' connections.
const CALLER_CHANNELS: u64 = 1 << 40;

/// A caller with its job.
pub(super) struct Client {
    kind: usize,
    /// Number of submissions.
    attempt: u32,
    /// The gateway of the current submission, while the caller waits.
    waits_at: Option<usize>,
    channel: u64,
    /// The gateway's process at the other end of the connection.
    process: u64,
}

/// A connection over which a gateway's process has answered.
pub(super) struct IdleConnection {
    channel: u64,
    process: u64,
    /// Time at which the gateway sent the answer.
    answered_at: u64,
}

pub(super) enum ClientEvent {
    Submit(usize),
    Deadline(usize, u32),
    EarlyReset(usize, u32),
    /// The connection to the gateway's process with this id is established.
    Connected(usize, u32, u64),
    /// The gateway's end of the connection has closed.
    Broken(usize, u32),
    /// The answer, and the time at which the gateway sent it.
    Answered(usize, u32, CallerAnswer, u64),
}

fn job_id(client: usize) -> JobId {
    JobId(client as u64 + 1)
}

pub(super) fn client_of(id: JobId) -> usize {
    usize::try_from(id.0 - 1).unwrap_or(usize::MAX)
}

impl Simulation {
    /// Plans the submissions of the whole simulation.
    pub(super) fn plan_jobs(&mut self) {
        let capacity: u64 = (0..RUNNERS)
            .map(|index| instance_report(index, 0, false).capacity.cpu_milli)
            .sum();
        let shares = self.schedule.kinds;
        let total: u64 = shares.iter().sum();
        let weighted = shares.iter().zip(KINDS);
        let work: u64 = weighted
            .map(|(share, (tasks, ms))| share * u64::from(tasks) * ms * TASK_CPU_MILLI)
            .sum();
        let mean_gap_us = work * MS * 100 / total / (capacity * self.schedule.load_percent);
        let mut at = self.schedule.jobs_from_us;
        while at < self.schedule.jobs_until_us {
            let mut drawn = self.rng.random_range(0..total);
            let mut kind = 0;
            while drawn >= shares[kind] {
                drawn -= shares[kind];
                kind += 1;
            }
            let client = self.clients.len();
            self.clients.push(Client {
                kind,
                attempt: 0,
                waits_at: None,
                channel: 0,
                process: 0,
            });
            let submit = Action::Client(ClientEvent::Submit(client));
            self.push(at, Target::World, None, submit);
            at += self.rng.random_range(0..=2 * mean_gap_us);
        }
        self.counts.jobs = self.clients.len() as u64;
    }

    /// The tasks of a client's job.
    pub(super) fn spec_of(&self, client: usize) -> (JobSpec, usize) {
        let kind = self.clients[client].kind;
        let (count, mean_ms) = KINDS[kind];
        let mut step = StepSpec::new(count);
        step.needs = Resources {
            cpu_milli: TASK_CPU_MILLI,
            memory_mb: 64,
            accelerators: 0,
        };
        step.estimate_ms = mean_ms;
        let spec = JobSpec::new(bytes::Bytes::new(), vec![step]).with_best_effort(true);
        (spec, kind)
    }

    /// Draws how long a task runs.
    pub(super) fn draw_duration_us(&mut self, task: TaskKey) -> u64 {
        let kind = self.clients[client_of(task.job)].kind;
        let (_, mean_ms) = KINDS[kind];
        let percent = match self.chance(60) {
            true => self.between(100, 400),
            false => self.between(60, 140),
        };
        (mean_ms * MS * percent / 100).min(MAX_TASK_MS * MS)
    }

    pub(super) fn handle_client_event(&mut self, event: ClientEvent) {
        match event {
            ClientEvent::Submit(client) => self.submit(client),
            ClientEvent::Deadline(client, attempt) | ClientEvent::EarlyReset(client, attempt) => {
                if let Some(gateway) = self.take_waiting(client, attempt) {
                    self.note_job(job_id(client), gateway, "caller leaves");
                    self.send_close(client, attempt, gateway);
                    self.submit_again(client);
                }
            }
            ClientEvent::Connected(client, attempt, process) => {
                let state = &self.clients[client];
                if let Some(gateway) = state.waits_at.filter(|_| state.attempt == attempt) {
                    self.send_request(client, gateway, process, None);
                }
            }
            ClientEvent::Broken(client, attempt) => {
                if let Some(gateway) = self.take_waiting(client, attempt) {
                    self.note_job(job_id(client), gateway, "caller's connection breaks");
                    self.submit_again(client);
                }
            }
            ClientEvent::Answered(client, attempt, answer, answered_at) => {
                let Some(gateway) = self.take_waiting(client, attempt) else {
                    return;
                };
                let state = &self.clients[client];
                self.idle[gateway].push(IdleConnection {
                    channel: state.channel,
                    process: state.process,
                    answered_at,
                });
                match answer {
                    CallerAnswer::Finished(_) => {
                        self.counts.done += 1;
                        self.note_job(job_id(client), gateway, "answered 200");
                    }
                    CallerAnswer::Rejected { .. } => {
                        self.counts.rejected += 1;
                        self.note_job(job_id(client), gateway, "answered 429 or 503");
                    }
                    _ => {
                        self.counts.undecided += 1;
                        self.note_job(job_id(client), gateway, "answered 504");
                        self.submit_again(client);
                    }
                }
            }
        }
    }

    fn take_waiting(&mut self, client: usize, attempt: u32) -> Option<usize> {
        let state = &mut self.clients[client];
        match state.attempt == attempt {
            true => state.waits_at.take(),
            false => None,
        }
    }

    fn submit_again(&mut self, client: usize) {
        if self.clients[client].attempt < MAX_ATTEMPTS {
            self.counts.resubmissions += 1;
            let at = self.now_us + RESUBMIT_MS * MS;
            let submit = Action::Client(ClientEvent::Submit(client));
            self.push(at, Target::World, None, submit);
        }
    }

    fn submit(&mut self, client: usize) {
        let gateway = self.rng.random_range(0..GATEWAYS);
        let channel = CALLER_CHANNELS + self.next_number();
        let state = &mut self.clients[client];
        state.attempt += 1;
        state.waits_at = Some(gateway);
        state.channel = channel;
        let attempt = state.attempt;
        self.note_job(job_id(client), gateway, "caller submits");
        let deadline_at = self.now_us + DEADLINE_MS * MS;
        let deadline = Action::Client(ClientEvent::Deadline(client, attempt));
        self.push(deadline_at, Target::World, None, deadline);
        if self.chance(self.schedule.early_resets_per_mille) {
            let at = self.now_us + self.between(5, DEADLINE_MS) * MS;
            let reset = Action::Client(ClientEvent::EarlyReset(client, attempt));
            self.push(at, Target::World, None, reset);
        }
        let process = &self.processes[&Node::Gateway(gateway)];
        let (id, is_up) = (process.id, process.is_up);
        let powered_at = process.powered_at;
        if !is_up {
            if powered_at <= self.now_us {
                let broken = Action::Client(ClientEvent::Broken(client, attempt));
                self.push(self.now_us + 2 * MS, Target::World, None, broken);
            }
            return;
        }
        self.clients[client].process = id;
        // Some callers use a connection of an earlier request.
        let idle = &mut self.idle[gateway];
        idle.retain(|connection| connection.process == id);
        if !idle.is_empty() && self.rng.random_bool(0.4) {
            let kept = self.rng.random_range(0..self.idle[gateway].len());
            let kept = self.idle[gateway].swap_remove(kept);
            self.clients[client].channel = kept.channel;
            self.send_request(client, gateway, id, Some(kept.answered_at));
            return;
        }
        let at = self.caller_arrival(Path::FromCallers(gateway), channel, true);
        // A caller that leaves before gives up the connection.
        if at < deadline_at {
            let accepted = Action::Gateway(GatewayEvent::Accepted(channel));
            let target = Target::Process(Node::Gateway(gateway), id);
            self.push(at, target, Some(channel), accepted);
            let connected = Action::Client(ClientEvent::Connected(client, attempt, id));
            self.push(at + MS, Target::World, None, connected);
        }
    }

    fn send_request(
        &mut self,
        client: usize,
        gateway: usize,
        process: u64,
        kept_since: Option<u64>,
    ) {
        let (attempt, channel) = (self.clients[client].attempt, self.clients[client].channel);
        let at = self.caller_arrival(Path::FromCallers(gateway), channel, false);
        let request = Request {
            client,
            attempt,
            channel,
            kept_since,
        };
        let action = Action::Gateway(GatewayEvent::Request(request));
        let target = Target::Process(Node::Gateway(gateway), process);
        self.push(at, target, Some(channel), action);
    }

    fn send_close(&mut self, client: usize, attempt: u32, gateway: usize) {
        let (channel, process) = (self.clients[client].channel, self.clients[client].process);
        let target = Target::Process(Node::Gateway(gateway), process);
        let at = self.caller_arrival(Path::FromCallers(gateway), channel, false);
        let action = Action::Gateway(GatewayEvent::CallerClosed(client, attempt));
        self.push(at, target, Some(channel), action);
    }

    pub(super) fn send_answer(
        &mut self,
        gateway: usize,
        client: usize,
        attempt: u32,
        answer: CallerAnswer,
    ) {
        let channel = CALLER_CHANNELS * 2 + self.clients[client].channel;
        let at = self.caller_arrival(Path::ToCallers(gateway), channel, false);
        let answered = ClientEvent::Answered(client, attempt, answer, self.now_us);
        let answered = Action::Client(answered);
        self.push(at, Target::World, None, answered);
    }

    /// Ends the connections of a gateway's callers. They aren't told if the machine has lost its power.
    pub(super) fn break_callers(&mut self, gateway: usize, are_told: bool) {
        if !are_told {
            return;
        }
        for client in 0..self.clients.len() {
            let state = &self.clients[client];
            if state.waits_at != Some(gateway) {
                continue;
            }
            let attempt = state.attempt;
            let channel = CALLER_CHANNELS * 2 + state.channel;
            let at = self.caller_arrival(Path::ToCallers(gateway), channel, false);
            let broken = Action::Client(ClientEvent::Broken(client, attempt));
            self.push(at, Target::World, None, broken);
        }
    }
}
