//! Differential test of the gate against a simple model.
//!
//! The model keeps a list of everything that ever happened and searches all of it for every
//! decision. The test guards against decisions that are wrong because the gate's indexes
//! and counters disagree with the history.

#[allow(dead_code, reason = "each test file uses only some of the fixtures")]
mod common;

use common::*;
use hemlock_gate::prelude::*;
use hemlock_types::prelude::*;
use quickcheck::quickcheck;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const SLOTS: u16 = 4;
const LINKS: usize = 3;
const STEPS: u64 = 20_000;
const SEED: u64 = 20_261_203;

/// One run, as the model records it.
struct ModelRun {
    id: Option<(SubmissionId, TaskIndex)>,
    run: RunKey,
    waiting: Vec<(LinkId, RequestId)>,
    outcome: Option<Outcome>,
    released: bool,
}

/// Reference model of the gate's decisions.
#[derive(Default)]
struct Model {
    runs: Vec<ModelRun>,
    fences: Vec<(SubmissionId, Epoch)>,
    arrived: Vec<(LinkId, RequestId)>,
    revoked: Vec<(LinkId, RequestId)>,
    open: Vec<LinkId>,
    announced: bool,
    suspect: bool,
    draining: bool,
    stopping: bool,
}

impl Model {
    fn running(&self) -> usize {
        self.runs
            .iter()
            .filter(|recorded| recorded.holds_slot())
            .count()
    }

    fn fence(&self, submission: SubmissionId) -> Epoch {
        let of = |(known, epoch): &(SubmissionId, Epoch)| (*known == submission).then_some(*epoch);
        self.fences.iter().filter_map(of).max().unwrap_or_default()
    }

    /// Returns the run of the requested task, unless there is none or the endpoint did not receive
    /// it.
    fn known(&self, spec: &TaskSpec) -> Option<&ModelRun> {
        let id = (spec.submission?, spec.task);
        self.runs
            .iter()
            .find(|recorded| recorded.id == Some(id) && !recorded.released)
    }

    /// Returns the reason for which the request is refused; `None` if the task runs.
    fn refusal(&self, link: LinkId, spec: &TaskSpec) -> Option<Refusal> {
        let fenced = spec
            .submission
            .is_some_and(|submission| spec.epoch < self.fence(submission));
        let checks = [
            (spec.agent != AGENT, Refusal::AnotherIncarnation),
            (
                self.revoked.contains(&(link, spec.request)),
                Refusal::Revoked,
            ),
            (fenced, Refusal::Fenced),
            (self.draining || self.stopping, Refusal::Leaving),
            (!self.announced || self.suspect, Refusal::NoEndpoint),
            (spec.service.as_str() != SERVICE, Refusal::AnotherService),
            (spec.deadline_ms == 0, Refusal::Deadline),
            (self.running() >= usize::from(SLOTS), Refusal::NoSlot),
        ];
        checks
            .into_iter()
            .find_map(|(holds, refusal)| holds.then_some(refusal))
    }
}

impl ModelRun {
    fn holds_slot(&self) -> bool {
        self.outcome.is_none() && !self.released
    }

    fn record(&self) -> TaskRecord {
        match &self.outcome {
            Some(outcome) => TaskRecord::Ended(outcome.clone()),
            None => TaskRecord::Running,
        }
    }
}

/// The gate and the model, which handle the same events.
struct Comparison {
    harness: Harness,
    model: Model,
    next_request: u64,
    next_link: u64,
}

impl Comparison {
    fn new() -> Self {
        let mut comparison = Self {
            harness: Harness::new(GateConfig::new(AGENT)),
            model: Model::default(),
            next_request: 0,
            next_link: 0,
        };
        comparison.announce();
        (0..LINKS).for_each(|_| comparison.open());
        comparison
    }

    fn step(&mut self, [kind, a, b, c]: [u8; 4]) {
        self.harness.now += DurationMs::new(u64::from(c % 4));
        let open = &self.model.open;
        let link = match open.len() {
            0 => LinkId(u64::MAX),
            count => open[usize::from(a) % count],
        };
        match kind % 32 {
            0..=11 => self.start(link, b, c),
            12..=18 => self.end(a, b),
            19 | 20 => self.fence(a, b),
            21 => self.cancel(link, b),
            22 => self.close(link),
            23 => self.open(),
            24 => self.drain(b),
            25 => self.lift(),
            26 => self.announce(),
            27 => self.withdraw(b),
            28 => self.reach(b),
            29 => self.want(link, b),
            30 => self.be_silent(link, b),
            _ => drop(self.harness.handle(Event::Tick)),
        }
        self.check();
    }

    fn check(&self) {
        let status = self.harness.gate.status();
        assert_eq!(usize::from(status.running), self.model.running());
        assert!(status.running <= SLOTS);
        assert!(status.running + status.reserved <= SLOTS);
        let idle = SLOTS - status.running;
        let serving = status.phase == EndpointPhase::Serving;
        if serving && status.waiting > 0 {
            assert_eq!(
                status.reserved, idle,
                "a slot is unreserved while an entry waits"
            );
        }
    }

    fn start(&mut self, link: LinkId, b: u8, c: u8) {
        if !self.model.open.contains(&link) {
            return;
        }
        self.next_request += 1;
        let mut spec = match b % 4 {
            0 => spec(self.next_request),
            _ => task(
                self.next_request,
                b % 8,
                u16::from(c % 4),
                u32::from(c / 64),
            ),
        };
        match c % 37 {
            0 => spec.agent = Incarnation(8),
            1 => spec.service = "another".into(),
            2 => spec.deadline_ms = 0,
            _ => {}
        }
        let at = (link, spec.request);
        let actions = self.harness.start(link.0, spec.clone());
        self.model.arrived.push(at);
        if let Some(known) = self.model.known(&spec) {
            let expected: Vec<_> = known
                .outcome
                .iter()
                .map(|o| (at.0, at.1, o.clone()))
                .collect();
            assert_eq!(
                settled(&actions),
                expected,
                "a repeated start gets the recorded outcome"
            );
            assert_eq!(
                run_of(&actions),
                None,
                "a repeated start must not run again"
            );
            self.wait_for_known(&spec, at);
            return;
        }
        match self.model.refusal(link, &spec) {
            Some(refusal) => {
                assert_eq!(settled(&actions), [(at.0, at.1, refusal.outcome())]);
                assert_eq!(run_of(&actions), None);
            }
            None => self.note_run(&spec, at, run_of(&actions)),
        }
    }

    fn wait_for_known(&mut self, spec: &TaskSpec, at: (LinkId, RequestId)) {
        let id = spec.submission.map(|submission| (submission, spec.task));
        for recorded in &mut self.model.runs {
            if recorded.id == id && recorded.holds_slot() {
                recorded.waiting.push(at);
            }
        }
    }

    fn note_run(&mut self, spec: &TaskSpec, at: (LinkId, RequestId), run: Option<RunKey>) {
        let id = spec.submission.map(|submission| (submission, spec.task));
        self.model
            .fences
            .extend(id.map(|(submission, _)| (submission, spec.epoch)));
        self.model.runs.push(ModelRun {
            id,
            run: run.expect("the gate must run what the model runs"),
            waiting: vec![at],
            outcome: None,
            released: false,
        });
    }

    fn end(&mut self, a: u8, b: u8) {
        let running: Vec<_> = (0..self.model.runs.len())
            .filter(|index| self.model.runs[*index].holds_slot())
            .collect();
        if running.is_empty() {
            return;
        }
        let recorded = &mut self.model.runs[running[usize::from(a) % running.len()]];
        let outcome = match b % 8 {
            0 => Outcome::NotRun(NotRunReason::NoEndpoint, NotRunProof::RefusedByGate),
            1 => Outcome::Failed(FailureKind::ConnectionLost),
            _ => answer(&b.to_string()),
        };
        let actions = self.harness.end(recorded.run, outcome.clone());
        let open = &self.model.open;
        let expected: Vec<_> = recorded
            .waiting
            .drain(..)
            .filter(|(link, _)| open.contains(link))
            .map(|(link, request)| (link, request, outcome.clone()))
            .collect();
        assert_eq!(
            settled(&actions),
            expected,
            "every waiting request gets one answer"
        );
        recorded.released = matches!(outcome, Outcome::NotRun(..));
        recorded.outcome = Some(outcome).filter(|_| !recorded.released);
        let again = self.harness.end(recorded.run, answer("late"));
        assert_eq!(settled(&again), [], "a second end of a run has no effect");
        self.expect_drained(&actions);
    }

    fn expect_drained(&self, actions: &[Action]) {
        let drained = actions.contains(&Action::Drained);
        assert!(!drained || self.model.stopping && self.model.running() == 0);
    }

    fn fence(&mut self, a: u8, b: u8) {
        let (submission, epoch) = (submission(a % 8), Epoch(u32::from(b / 64)));
        let call = CallId(0);
        let actions = self.harness.handle(Event::Fence {
            call,
            submission,
            epoch,
        });
        self.model.fences.push((submission, epoch));
        let mut tasks: Vec<_> = self
            .model
            .runs
            .iter()
            .filter(|recorded| !recorded.released)
            .filter_map(|recorded| {
                Some((
                    recorded.id.filter(|id| id.0 == submission)?.1,
                    recorded.record(),
                ))
            })
            .collect();
        tasks.sort_by_key(|(index, _)| *index);
        assert_eq!(actions[0], Action::Fenced { call, tasks });
    }

    fn cancel(&mut self, link: LinkId, b: u8) {
        if !self.model.open.contains(&link) {
            return;
        }
        let request = RequestId((self.next_request + 4).saturating_sub(u64::from(b % 8)));
        let requests = vec![request];
        let call = CallId(0);
        let actions = self.harness.handle(Event::Cancel {
            link,
            call,
            requests,
        });
        let Action::Cancelled { outcomes, .. } = &actions[0] else {
            panic!("expected an answer to the cancellation: {actions:?}");
        };
        match &outcomes[0].1 {
            None => {}
            Some(outcome) => {
                assert_eq!(*outcome, Refusal::Revoked.outcome());
                let arrived = self.model.arrived.contains(&(link, request));
                assert!(
                    !arrived,
                    "a request that arrived must not be reported as revoked"
                );
                self.model.revoked.push((link, request));
            }
        }
    }

    fn open(&mut self) {
        if self.model.open.len() >= LINKS {
            return;
        }
        let link = LinkId(self.next_link);
        self.next_link += 1;
        let leaving = self.model.draining || self.model.stopping;
        let actions = self.harness.open(link.0);
        assert_eq!(actions.contains(&Action::Leaving { link }), leaving);
        self.model.open.push(link);
    }

    fn close(&mut self, link: LinkId) {
        if self.model.open.contains(&link) {
            self.harness.handle(Event::Closed { link });
            self.model.open.retain(|open| *open != link);
            for recorded in &mut self.model.runs {
                recorded.waiting.retain(|(of, _)| *of != link);
            }
        }
    }

    fn drain(&mut self, b: u8) {
        let was_leaving = self.model.draining || self.model.stopping;
        let stop = b == 0;
        let event = match stop {
            true => Event::Stop,
            false => Event::Drain,
        };
        let actions = self.harness.handle(event);
        let is_leaving = |action: &&Action| matches!(action, Action::Leaving { .. });
        let expected = match was_leaving {
            true => 0,
            false => self.model.open.len(),
        };
        assert_eq!(actions.iter().filter(is_leaving).count(), expected);
        self.model.stopping |= stop;
        self.model.draining |= !stop && !self.model.stopping;
        self.expect_drained(&actions);
    }

    fn lift(&mut self) {
        self.harness.handle(Event::Lift);
        if self.model.draining {
            self.model.suspect = false;
        }
        self.model.draining = false;
    }

    fn announce(&mut self) {
        self.harness.handle(Event::Announced(offer(SLOTS)));
        self.model.announced = true;
        let leaving = self.model.draining || self.model.stopping;
        self.model.suspect &= leaving;
    }

    fn withdraw(&mut self, b: u8) {
        if b.is_multiple_of(4) {
            self.harness.handle(Event::Withdrawn);
            self.model.announced = false;
        }
    }

    fn reach(&mut self, b: u8) {
        let leaving = self.model.draining || self.model.stopping;
        match b.is_multiple_of(2) {
            true => drop(self.harness.handle(Event::Unreachable)),
            false => drop(self.harness.handle(Event::Reached)),
        }
        if self.model.announced && !leaving {
            self.model.suspect = b.is_multiple_of(2);
        }
    }

    fn want(&mut self, link: LinkId, b: u8) {
        if self.model.open.contains(&link) {
            let (call, count) = (CallId(0), u16::from(b % 8));
            self.harness.handle(Event::Want { link, call, count });
        }
    }

    fn be_silent(&mut self, link: LinkId, b: u8) {
        if self.model.open.contains(&link) {
            self.harness.handle(match b % 2 {
                0 => Event::Unresponsive { link },
                _ => Event::Responsive { link },
            });
        }
    }
}

quickcheck! {
    fn gate_agrees_with_the_model_in_short_runs(steps: Vec<(u8, u8, u8, u8)>) -> bool {
        let mut comparison = Comparison::new();
        for (kind, a, b, c) in steps {
            comparison.step([kind, a, b, c]);
        }
        true
    }
}

#[test]
fn gate_agrees_with_the_model_in_long_runs() {
    let seed = from_env("HEMLOCK_SEED", SEED);
    let steps = from_env("HEMLOCK_STEPS", STEPS);
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut comparison = Comparison::new();
    for step in 0..steps {
        // A stop is final and the model's lists only grow, so both are replaced every 500 steps.
        if step % 500 == 0 {
            comparison = Comparison::new();
        }
        comparison.step(random.random());
    }
}
