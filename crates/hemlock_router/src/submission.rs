//! State machine of one submission: claim it, fence the agents of earlier owners, run it, end it.
//!
//! It ensures that no task starts twice. For that it holds the epoch of the claim, the agents that
//! may start tasks, the agents still to be fenced, and the one endpoint that each task is bound to.

use hemlock_types::prelude::*;

use crate::event::ClaimAttempt;
use crate::fleet::EndpointKey;
use crate::submission_chart::{Step, chart};

pub use crate::submission_chart::Phase;

/// An agent that an earlier owner may have started tasks at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FencedAgent {
    /// The agent.
    pub agent: Incarnation,
    /// A fence was sent and its answer is awaited.
    pub request_pending: bool,
    /// It has answered a fence: it starts no more tasks under epochs below the submission's.
    pub answered: bool,
    /// Tasks were still running there when it answered, so the fence is sent again for their
    /// outcomes.
    pub has_running_tasks: bool,
}

/// State of one submission.
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
    /// A submission of `tasks` tasks that is about to be claimed.
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

    /// Its callers are answered.
    pub fn end(&mut self) {
        self.apply_step(Step::End);
    }

    fn apply_step(&mut self, apply_step: Step) {
        if let Some(next) = chart().next(self.phase, apply_step) {
            self.phase = next;
        }
    }

    /// Its phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// The epoch of its claim.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// The endpoints that may start its tasks, sorted by key.
    pub fn plan(&self) -> &[EndpointKey] {
        &self.plan
    }

    /// When it was last claimed.
    pub fn asked_at(&self) -> Instant {
        self.asked_at
    }

    /// Whether the answer to the given claim is awaited.
    pub fn awaits_answer(&self, attempt: ClaimAttempt) -> bool {
        self.phase == Phase::Claiming && self.attempt == attempt
    }

    /// Number of claims that failed in a row.
    pub fn failed_claims(&self) -> u32 {
        self.failed_claims
    }

    /// Agents that earlier owners may have started tasks at.
    pub fn fenced(&self) -> &[FencedAgent] {
        &self.fenced
    }

    /// Notes that a claim is sent to the ledger; `plan` holds the endpoints that may start its
    /// tasks.
    ///
    /// # Panics
    ///
    /// When a claim was granted before: the plan of a granted claim doesn't change.
    pub fn begin_claim(&mut self, now: Instant, attempt: ClaimAttempt, mut plan: Vec<EndpointKey>) {
        assert!(
            matches!(self.phase, Phase::Claiming | Phase::Waiting),
            "a granted submission must not be claimed again"
        );
        plan.sort_unstable();
        self.plan = plan;
        self.apply_step(Step::Ask);
        self.asked_at = now;
        self.attempt = attempt;
    }

    /// Notes that the claim has to be retried later: another entry runs the submission, or, when
    /// `failed`, the claim got no answer.
    pub fn postpone(&mut self, failed: bool) {
        self.apply_step(Step::Postpone);
        self.failed_claims = match failed {
            true => self.failed_claims + 1,
            false => 0,
        };
    }

    /// Notes that the claim was granted. Tasks may start at once when there is no earlier owner;
    /// otherwise the agents in `previous` are fenced first.
    ///
    /// # Panics
    ///
    /// When no answer to a claim is awaited, or the epoch is lower than before.
    pub fn grant(&mut self, epoch: Epoch, previous: &[Incarnation]) {
        assert_eq!(
            self.phase,
            Phase::Claiming,
            "a grant must answer a pending claim"
        );
        assert!(epoch >= self.epoch, "an epoch must not decrease");
        self.epoch = epoch;
        self.fenced = previous.iter().copied().map(agent_to_fence).collect();
        match previous.is_empty() {
            true => self.apply_step(Step::Grant),
            false => self.apply_step(Step::TakeOver),
        }
    }

    /// Notes that it ended before and that its answers have to be fetched from `holders`, the
    /// agents that hold them.
    pub fn begin_fetching(&mut self, epoch: Epoch, holders: &[Incarnation]) {
        self.epoch = epoch;
        self.apply_step(Step::FoundEnded);
        self.fenced = holders.iter().copied().map(agent_to_fence).collect();
    }

    /// Returns the reachable agents that need a fence, and marks the fences as sent.
    pub fn take_agents_to_fence(
        &mut self,
        mut reachable: impl FnMut(Incarnation) -> bool,
    ) -> Vec<Incarnation> {
        let mut agents = Vec::new();
        for fenced in &mut self.fenced {
            let needs_request =
                !fenced.request_pending && (!fenced.answered || fenced.has_running_tasks);
            if needs_request && reachable(fenced.agent) {
                fenced.request_pending = true;
                agents.push(fenced.agent);
            }
        }
        agents
    }

    /// Notes that a fence got no answer.
    pub fn fence_lost(&mut self, agent: Incarnation) {
        if let Some(fenced) = self.fenced.iter_mut().find(|fenced| fenced.agent == agent) {
            fenced.request_pending = false;
        }
    }

    /// Notes that an agent answered a fence; `has_running_tasks` when tasks still run there.
    pub fn fence_answered(&mut self, agent: Incarnation, has_running_tasks: bool) {
        if let Some(fenced) = self.fenced.iter_mut().find(|fenced| fenced.agent == agent) {
            fenced.request_pending = false;
            fenced.answered = true;
            fenced.has_running_tasks = has_running_tasks;
        }
    }

    /// Whether every agent of earlier owners has answered.
    pub fn is_fenced(&self) -> bool {
        self.fenced.iter().all(|fenced| fenced.answered)
    }

    /// Whether any agent has not answered its fence or still runs tasks.
    pub fn needs_fence_retry(&self) -> bool {
        let needs_request = |fenced: &FencedAgent| !fenced.answered || fenced.has_running_tasks;
        self.fenced.iter().any(needs_request)
    }

    /// Allows tasks that were never started to start under this epoch.
    ///
    /// # Panics
    ///
    /// When the submission isn't fencing, or an agent has not answered its fence.
    pub fn begin_running(&mut self) {
        assert_eq!(
            self.phase,
            Phase::Fencing,
            "only a fencing submission may begin to run"
        );
        assert!(
            self.is_fenced(),
            "every agent must be fenced before tasks start"
        );
        self.apply_step(Step::Fenced);
    }

    /// Binds a task to the endpoint that it is sent to.
    ///
    /// # Panics
    ///
    /// When the submission isn't running, the endpoint isn't in the plan, or the task is already
    /// bound: an earlier start of it may have run.
    pub fn bind(&mut self, task: TaskIndex, endpoint: EndpointKey) {
        assert_eq!(
            self.phase,
            Phase::Running,
            "only a running submission may start tasks"
        );
        assert!(
            self.plan.binary_search(&endpoint).is_ok(),
            "tasks may only be sent to endpoints in the plan"
        );
        let bound = &mut self.bound[usize::from(task.0)];
        assert!(bound.is_none(), "a task must not be bound twice");
        *bound = Some(endpoint);
    }

    /// Releases a task after its start at the endpoint is proven not to have run and never to run.
    pub fn unbind(&mut self, task: TaskIndex, endpoint: EndpointKey) {
        let bound = &mut self.bound[usize::from(task.0)];
        if *bound == Some(endpoint) {
            *bound = None;
        }
    }

    /// Whether any task is bound to an endpoint.
    pub fn has_starts(&self) -> bool {
        self.bound.iter().any(Option::is_some)
    }

    /// The endpoints that tasks are bound to, without duplicates.
    pub fn holders(&self) -> Vec<EndpointKey> {
        let mut holders: Vec<_> = self.bound.iter().flatten().copied().collect();
        holders.sort_unstable();
        holders.dedup();
        holders
    }
}

fn agent_to_fence(agent: Incarnation) -> FencedAgent {
    FencedAgent {
        agent,
        request_pending: false,
        answered: false,
        has_running_tasks: false,
    }
}
