//! The gate against a naive model: one list of everything that ever happened, searched from
//! end to end for every decision.

#[allow(dead_code, reason = "each test file uses a part")]
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

/// One start that ran, as the model remembers it.
struct Ran {
    name: Option<(SubmissionId, TaskIndex)>,
    run: RunKey,
    waiting: Vec<(LinkId, RequestId)>,
    outcome: Option<Outcome>,
    released: bool,
}

/// The model.
#[derive(Default)]
struct Naive {
    ran: Vec<Ran>,
    fences: Vec<(SubmissionId, Epoch)>,
    arrived: Vec<(LinkId, RequestId)>,
    revoked: Vec<(LinkId, RequestId)>,
    open: Vec<LinkId>,
    announced: bool,
    suspect: bool,
    draining: bool,
    stopping: bool,
}

impl Naive {
    fn running(&self) -> usize {
        self.ran.iter().filter(|ran| ran.holds_slot()).count()
    }

    fn fence(&self, submission: SubmissionId) -> Epoch {
        let of = |(known, epoch): &(SubmissionId, Epoch)| (*known == submission).then_some(*epoch);
        self.fences.iter().filter_map(of).max().unwrap_or_default()
    }

    fn known(&self, spec: &TaskSpec) -> Option<&Ran> {
        let name = (spec.submission?, spec.task);
        self.ran
            .iter()
            .find(|ran| ran.name == Some(name) && !ran.released)
    }

    /// Why the start is refused; `None` when it runs.
    fn refusal(&self, link: LinkId, spec: &TaskSpec) -> Option<Refusal> {
        let fenced = spec
            .submission
            .is_some_and(|id| spec.epoch < self.fence(id));
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

impl Ran {
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

/// The gate and the model, told the same.
struct Pair {
    bench: Bench,
    naive: Naive,
    next_request: u64,
    next_link: u64,
}

impl Pair {
    fn new() -> Self {
        let mut pair = Self {
            bench: Bench::new(GateConfig::new(AGENT)),
            naive: Naive::default(),
            next_request: 0,
            next_link: 0,
        };
        pair.announce();
        (0..LINKS).for_each(|_| pair.open());
        pair
    }

    fn step(&mut self, [kind, a, b, c]: [u8; 4]) {
        self.bench.now += DurationMs::new(u64::from(c % 4));
        let open = &self.naive.open;
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
            _ => drop(self.bench.tell(Event::Tick)),
        }
        self.check();
    }

    fn check(&self) {
        let status = self.bench.gate.status();
        assert_eq!(usize::from(status.running), self.naive.running());
        assert!(status.running <= SLOTS);
        assert!(status.running + status.reserved <= SLOTS);
        let idle = SLOTS - status.running;
        let serving = status.phase == EndpointPhase::Serving;
        if serving && status.waiting > 0 {
            assert_eq!(status.reserved, idle, "a slot is idle while an entry waits");
        }
    }

    fn start(&mut self, link: LinkId, b: u8, c: u8) {
        if !self.naive.open.contains(&link) {
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
        let actions = self.bench.start(link.0, spec.clone());
        self.naive.arrived.push(at);
        if let Some(known) = self.naive.known(&spec) {
            let expected: Vec<_> = known
                .outcome
                .iter()
                .map(|o| (at.0, at.1, o.clone()))
                .collect();
            assert_eq!(settled(&actions), expected, "a repeated start");
            assert_eq!(run_of(&actions), None, "a repeated start runs");
            self.wait_for_known(&spec, at);
            return;
        }
        match self.naive.refusal(link, &spec) {
            Some(refusal) => {
                assert_eq!(settled(&actions), [(at.0, at.1, refusal.outcome())]);
                assert_eq!(run_of(&actions), None);
            }
            None => self.note_run(&spec, at, run_of(&actions)),
        }
    }

    fn wait_for_known(&mut self, spec: &TaskSpec, at: (LinkId, RequestId)) {
        let name = spec.submission.map(|id| (id, spec.task));
        for ran in &mut self.naive.ran {
            if ran.name == name && ran.holds_slot() {
                ran.waiting.push(at);
            }
        }
    }

    fn note_run(&mut self, spec: &TaskSpec, at: (LinkId, RequestId), run: Option<RunKey>) {
        let name = spec.submission.map(|id| (id, spec.task));
        self.naive
            .fences
            .extend(name.map(|(id, _)| (id, spec.epoch)));
        self.naive.ran.push(Ran {
            name,
            run: run.expect("the model runs it"),
            waiting: vec![at],
            outcome: None,
            released: false,
        });
    }

    fn end(&mut self, a: u8, b: u8) {
        let running: Vec<_> = (0..self.naive.ran.len())
            .filter(|index| self.naive.ran[*index].holds_slot())
            .collect();
        if running.is_empty() {
            return;
        }
        let ran = &mut self.naive.ran[running[usize::from(a) % running.len()]];
        let outcome = match b % 8 {
            0 => Outcome::NotRun(NotRunReason::NoEndpoint, NotRunProof::RefusedByGate),
            1 => Outcome::Failed(FailureKind::ConnectionLost),
            _ => answer(&b.to_string()),
        };
        let actions = self.bench.end(ran.run, outcome.clone());
        let open = &self.naive.open;
        let expected: Vec<_> = ran
            .waiting
            .drain(..)
            .filter(|(link, _)| open.contains(link))
            .map(|(link, request)| (link, request, outcome.clone()))
            .collect();
        assert_eq!(
            settled(&actions),
            expected,
            "one answer to every waiting start"
        );
        ran.released = matches!(outcome, Outcome::NotRun(..));
        ran.outcome = Some(outcome).filter(|_| !ran.released);
        let again = self.bench.end(ran.run, answer("late"));
        assert_eq!(settled(&again), [], "a run ends once");
        self.expect_drained(&actions);
    }

    fn expect_drained(&self, actions: &[Action]) {
        let drained = actions.contains(&Action::Drained);
        assert!(!drained || self.naive.stopping && self.naive.running() == 0);
    }

    fn fence(&mut self, a: u8, b: u8) {
        let (submission, epoch) = (submission(a % 8), Epoch(u32::from(b / 64)));
        let call = CallId(0);
        let actions = self.bench.tell(Event::Fence {
            call,
            submission,
            epoch,
        });
        self.naive.fences.push((submission, epoch));
        let mut tasks: Vec<_> = self
            .naive
            .ran
            .iter()
            .filter(|ran| !ran.released)
            .filter_map(|ran| {
                Some((
                    ran.name.filter(|name| name.0 == submission)?.1,
                    ran.record(),
                ))
            })
            .collect();
        tasks.sort_by_key(|(index, _)| *index);
        assert_eq!(actions[0], Action::Fenced { call, tasks });
    }

    fn cancel(&mut self, link: LinkId, b: u8) {
        if !self.naive.open.contains(&link) {
            return;
        }
        let request = RequestId((self.next_request + 4).saturating_sub(u64::from(b % 8)));
        let requests = vec![request];
        let call = CallId(0);
        let actions = self.bench.tell(Event::Cancel {
            link,
            call,
            requests,
        });
        let Action::Cancelled { outcomes, .. } = &actions[0] else {
            panic!("not cancelled: {actions:?}");
        };
        match &outcomes[0].1 {
            None => {}
            Some(outcome) => {
                assert_eq!(*outcome, Refusal::Revoked.outcome());
                let arrived = self.naive.arrived.contains(&(link, request));
                assert!(!arrived, "a start that arrived is called not run");
                self.naive.revoked.push((link, request));
            }
        }
    }

    fn open(&mut self) {
        if self.naive.open.len() >= LINKS {
            return;
        }
        let link = LinkId(self.next_link);
        self.next_link += 1;
        let leaving = self.naive.draining || self.naive.stopping;
        let actions = self.bench.open(link.0);
        assert_eq!(actions.contains(&Action::Leaving { link }), leaving);
        self.naive.open.push(link);
    }

    fn close(&mut self, link: LinkId) {
        if self.naive.open.contains(&link) {
            self.bench.tell(Event::Closed { link });
            self.naive.open.retain(|open| *open != link);
            for ran in &mut self.naive.ran {
                ran.waiting.retain(|(of, _)| *of != link);
            }
        }
    }

    fn drain(&mut self, b: u8) {
        let was_leaving = self.naive.draining || self.naive.stopping;
        let stop = b == 0;
        let event = match stop {
            true => Event::Stop,
            false => Event::Drain,
        };
        let actions = self.bench.tell(event);
        let told = |action: &&Action| matches!(action, Action::Leaving { .. });
        let expected = match was_leaving {
            true => 0,
            false => self.naive.open.len(),
        };
        assert_eq!(actions.iter().filter(told).count(), expected);
        self.naive.stopping |= stop;
        self.naive.draining |= !stop && !self.naive.stopping;
        self.expect_drained(&actions);
    }

    fn lift(&mut self) {
        self.bench.tell(Event::Lift);
        if self.naive.draining {
            self.naive.suspect = false;
        }
        self.naive.draining = false;
    }

    fn announce(&mut self) {
        self.bench.tell(Event::Announced(offer(SLOTS)));
        self.naive.announced = true;
        let leaving = self.naive.draining || self.naive.stopping;
        self.naive.suspect &= leaving;
    }

    fn withdraw(&mut self, b: u8) {
        if b.is_multiple_of(4) {
            self.bench.tell(Event::Withdrawn);
            self.naive.announced = false;
        }
    }

    fn reach(&mut self, b: u8) {
        let leaving = self.naive.draining || self.naive.stopping;
        match b.is_multiple_of(2) {
            true => drop(self.bench.tell(Event::Unreachable)),
            false => drop(self.bench.tell(Event::Reached)),
        }
        if self.naive.announced && !leaving {
            self.naive.suspect = b.is_multiple_of(2);
        }
    }

    fn want(&mut self, link: LinkId, b: u8) {
        if self.naive.open.contains(&link) {
            let (call, count) = (CallId(0), u16::from(b % 8));
            self.bench.tell(Event::Want { link, call, count });
        }
    }

    fn be_silent(&mut self, link: LinkId, b: u8) {
        if self.naive.open.contains(&link) {
            self.bench.tell(match b % 2 {
                0 => Event::Silent { link },
                _ => Event::Heard { link },
            });
        }
    }
}

quickcheck! {
    fn gate_decides_like_the_naive_model(steps: Vec<(u8, u8, u8, u8)>) -> bool {
        let mut pair = Pair::new();
        for (kind, a, b, c) in steps {
            pair.step([kind, a, b, c]);
        }
        true
    }
}

#[test]
fn long_runs_decide_like_the_naive_model() {
    let seed = from_env("HEMLOCK_SEED", SEED);
    let steps = from_env("HEMLOCK_STEPS", STEPS);
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut pair = Pair::new();
    for step in 0..steps {
        // A stop is for ever, and the list of the model grows: begin again now and then.
        if step % 500 == 0 {
            pair = Pair::new();
        }
        pair.step(random.random());
    }
}
