//! Fixtures shared by the tests of the gate.

use bytes::Bytes;
use hemlock_gate::prelude::*;
use hemlock_types::prelude::*;

pub(crate) const AGENT: Incarnation = Incarnation(7);
pub(crate) const SERVICE: &str = "allocate";

/// Reads a number from an environment variable; `default` if it is unset or no number.
pub(crate) fn from_env(name: &str, default: u64) -> u64 {
    let text = std::env::var(name).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

pub(crate) fn offer(slots: u16) -> Offer {
    Offer {
        service: SERVICE.into(),
        slots,
        connections: slots,
        address: ([127, 0, 0, 1], 9).into(),
    }
}

/// Request to start an idempotent task without a submission.
pub(crate) fn spec(request: u64) -> TaskSpec {
    TaskSpec {
        request: RequestId(request),
        submission: None,
        task: TaskIndex(0),
        epoch: Epoch(0),
        agent: AGENT,
        service: SERVICE.into(),
        operation: "hold".into(),
        deadline_ms: 1_000,
        traceparent: Bytes::new(),
        body: Bytes::new(),
    }
}

/// Request to start a task of submission `number` under `epoch`.
pub(crate) fn task(request: u64, number: u8, task: u16, epoch: u32) -> TaskSpec {
    TaskSpec {
        submission: Some(submission(number)),
        task: TaskIndex(task),
        epoch: Epoch(epoch),
        ..spec(request)
    }
}

pub(crate) fn submission(number: u8) -> SubmissionId {
    SubmissionId([number; 16])
}

pub(crate) fn answer(text: &str) -> Outcome {
    Outcome::Complete(Answer {
        status: 200,
        content_type: Bytes::new(),
        body: Bytes::copy_from_slice(text.as_bytes()),
    })
}

/// A gate and the current time of the test.
pub(crate) struct Harness {
    pub(crate) gate: Gate,
    pub(crate) now: Instant,
}

impl Harness {
    pub(crate) fn new(config: GateConfig) -> Self {
        Self {
            gate: Gate::new(config).expect("the state charts are valid"),
            now: Instant::ZERO,
        }
    }

    /// Returns a gate whose endpoint has `slots` slots, with `links` entries connected.
    pub(crate) fn serving(slots: u16, links: u64) -> Self {
        let mut harness = Self::new(GateConfig::new(AGENT));
        harness.handle(Event::Announced(offer(slots)));
        for link in 0..links {
            harness.open(link);
        }
        harness
    }

    pub(crate) fn open(&mut self, link: u64) -> Actions {
        let entry = Incarnation(link);
        let link = LinkId(link);
        self.handle(Event::Opened { link, entry })
    }

    pub(crate) fn handle(&mut self, event: Event) -> Actions {
        let mut actions = Actions::new();
        self.gate.handle(self.now, event, &mut actions);
        actions
    }

    pub(crate) fn start(&mut self, link: u64, spec: TaskSpec) -> Actions {
        let link = LinkId(link);
        self.handle(Event::Start { link, spec })
    }

    pub(crate) fn end(&mut self, run: RunKey, outcome: Outcome) -> Actions {
        self.handle(Event::Ended {
            run,
            outcome,
            service_us: 1,
        })
    }
}

/// Returns the run that the actions begin, if there is one.
pub(crate) fn run_of(actions: &[Action]) -> Option<RunKey> {
    actions.iter().find_map(|action| match action {
        Action::Run { run, .. } => Some(*run),
        _ => None,
    })
}

/// Returns the requests that the actions answer, in order, with their outcomes.
pub(crate) fn settled(actions: &[Action]) -> Vec<(LinkId, RequestId, Outcome)> {
    let settle = |action: &Action| match action {
        Action::Settle {
            link,
            request,
            outcome,
            ..
        } => Some((*link, *request, outcome.clone())),
        _ => None,
    };
    actions.iter().filter_map(settle).collect()
}
