//! The life of one submission: claim, fence earlier owners' agents, run, end.
//!
//! The machine holds what proves that no task starts twice: the epoch, the agents that may
//! start tasks, the agents still to be fenced, and the one agent that each task is bound to.

use hemlock_types::prelude::*;

use crate::event::ClaimAttempt;
use crate::fleet::EndpointKey;
use crate::submission_chart::{Step, chart};

pub use crate::submission_chart::Phase;

/// One agent of an earlier owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FencedAgent {
    /// The agent.
    pub agent: Incarnation,
    /// A fence is on its way.
    pub asked: bool,
    /// It has answered: it starts nothing below the epoch any more.
    pub answered: bool,
    /// It has to be asked again for tasks that were still running.
    pub running: bool,
}

/// One submission.
#[derive(Debug)]
pub struct Submission {
    /// Its id.
    pub id: SubmissionId,
    /// Digest of its content.
    pub digest: Digest,
    phase: Phase,
    epoch: Epoch,
    plan: Vec<EndpointKey>,
    fenced: Vec<FencedAgent>,
    bound: Vec<Option<EndpointKey>>,
    asked_at: Instant,
    attempt: ClaimAttempt,
    failed_claims: u32,
}

impl Submission {
    /// A submission that is about to be claimed with the given plan, sorted by key.
    pub fn new(id: SubmissionId, digest: Digest, tasks: usize, now: Instant) -> Self {
        Self {
            id,
            digest,
            phase: chart().initial(),
            epoch: Epoch::default(),
            plan: Vec::new(),
            fenced: Vec::new(),
            bound: vec![None; tasks],
            asked_at: now,
            attempt: ClaimAttempt::default(),
            failed_claims: 0,
        }
    }

    /// Its callers have their answer.
    pub fn end(&mut self) {
        self.step(Step::End);
    }

    fn step(&mut self, step: Step) {
        if let Some(next) = chart().next(self.phase, step) {
            self.phase = next;
        }
    }

    /// Where it stands.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// The epoch of its claim.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// The endpoints that may start its tasks, sorted.
    pub fn plan(&self) -> &[EndpointKey] {
        &self.plan
    }

    /// When the ledger was last asked.
    pub fn asked_at(&self) -> Instant {
        self.asked_at
    }

    /// Whether an answer to the given claim is waited for.
    pub fn awaits(&self, attempt: ClaimAttempt) -> bool {
        self.phase == Phase::Claiming && self.attempt == attempt
    }

    /// Claims that failed in a row.
    pub fn failed_claims(&self) -> u32 {
        self.failed_claims
    }

    /// Agents of earlier owners.
    pub fn fenced(&self) -> &[FencedAgent] {
        &self.fenced
    }

    /// Asks the ledger, with the endpoints that may start its tasks.
    ///
    /// # Panics
    ///
    /// When a claim was granted before: the plan of a granted claim doesn't change.
    pub fn begin_claim(&mut self, now: Instant, attempt: ClaimAttempt, mut plan: Vec<EndpointKey>) {
        assert!(
            matches!(self.phase, Phase::Claiming | Phase::Waiting),
            "a granted claim is not asked for again"
        );
        plan.sort_unstable();
        self.plan = plan;
        self.step(Step::Ask);
        self.asked_at = now;
        self.attempt = attempt;
    }

    /// Another entry runs it, or the ledger couldn't be asked.
    pub fn wait(&mut self, failed: bool) {
        self.step(Step::Postpone);
        self.failed_claims = match failed {
            true => self.failed_claims + 1,
            false => 0,
        };
    }

    /// The claim is granted. Its tasks may start at once when there is no earlier owner.
    ///
    /// # Panics
    ///
    /// When no claim is out, or the epoch falls back.
    pub fn grant(&mut self, epoch: Epoch, previous: &[Incarnation]) {
        assert_eq!(self.phase, Phase::Claiming, "only an open claim is granted");
        assert!(epoch >= self.epoch, "an epoch never falls back");
        self.epoch = epoch;
        self.fenced = previous.iter().copied().map(unasked).collect();
        match previous.is_empty() {
            true => self.step(Step::Grant),
            false => self.step(Step::TakeOver),
        }
    }

    /// It ended before; its answers are fetched from the agents that hold them.
    pub fn fetch(&mut self, epoch: Epoch, holders: &[Incarnation]) {
        self.epoch = epoch;
        self.step(Step::FoundEnded);
        self.fenced = holders.iter().copied().map(unasked).collect();
    }

    /// Agents to be asked now; they count as asked.
    pub fn take_unasked(
        &mut self,
        mut reachable: impl FnMut(Incarnation) -> bool,
    ) -> Vec<Incarnation> {
        let mut agents = Vec::new();
        for fenced in &mut self.fenced {
            let open = !fenced.asked && (!fenced.answered || fenced.running);
            if open && reachable(fenced.agent) {
                fenced.asked = true;
                agents.push(fenced.agent);
            }
        }
        agents
    }

    /// A fence got no answer.
    pub fn fence_lost(&mut self, agent: Incarnation) {
        if let Some(fenced) = self.fenced.iter_mut().find(|fenced| fenced.agent == agent) {
            fenced.asked = false;
        }
    }

    /// An agent has answered a fence; `running` when tasks still run there.
    pub fn fence_answered(&mut self, agent: Incarnation, running: bool) {
        if let Some(fenced) = self.fenced.iter_mut().find(|fenced| fenced.agent == agent) {
            fenced.asked = false;
            fenced.answered = true;
            fenced.running = running;
        }
    }

    /// Whether every agent of earlier owners has answered.
    pub fn is_fenced(&self) -> bool {
        self.fenced.iter().all(|fenced| fenced.answered)
    }

    /// Whether some agent has still to be asked.
    pub fn needs_asking(&self) -> bool {
        let open = |fenced: &FencedAgent| !fenced.answered || fenced.running;
        self.fenced.iter().any(open)
    }

    /// Every earlier agent is fenced: tasks without a start may start under this epoch.
    ///
    /// # Panics
    ///
    /// When an agent has not answered.
    pub fn begin_running(&mut self) {
        assert_eq!(self.phase, Phase::Fencing, "only fencing leads to running");
        assert!(self.is_fenced(), "no task starts before every fence stands");
        self.step(Step::Fenced);
    }

    /// Binds a task to the endpoint that it is sent to.
    ///
    /// # Panics
    ///
    /// When the submission isn't running, the endpoint isn't in the plan, or the task has an
    /// earlier start that is not proven not to have run.
    pub fn bind(&mut self, task: TaskIndex, endpoint: EndpointKey) {
        assert_eq!(
            self.phase,
            Phase::Running,
            "only a running submission starts tasks"
        );
        assert!(
            self.plan.binary_search(&endpoint).is_ok(),
            "a start stays within the plan"
        );
        let bound = &mut self.bound[usize::from(task.0)];
        assert!(bound.is_none(), "a task has one start per epoch");
        *bound = Some(endpoint);
    }

    /// The endpoint has proven that it did not and will not run the task's start.
    pub fn unbind(&mut self, task: TaskIndex, endpoint: EndpointKey) {
        let bound = &mut self.bound[usize::from(task.0)];
        if *bound == Some(endpoint) {
            *bound = None;
        }
    }

    /// Whether some task is bound to an endpoint.
    pub fn has_starts(&self) -> bool {
        self.bound.iter().any(Option::is_some)
    }

    /// The endpoints that tasks are bound to, each once.
    pub fn holders(&self) -> Vec<EndpointKey> {
        let mut holders: Vec<_> = self.bound.iter().flatten().copied().collect();
        holders.sort_unstable();
        holders.dedup();
        holders
    }
}

fn unasked(agent: Incarnation) -> FencedAgent {
    FencedAgent {
        agent,
        asked: false,
        answered: false,
        running: false,
    }
}
