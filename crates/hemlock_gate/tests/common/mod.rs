//! What several tests of the gate need.

use bytes::Bytes;
use hemlock_gate::prelude::*;
use hemlock_types::prelude::*;

pub(crate) const AGENT: Incarnation = Incarnation(7);
pub(crate) const SERVICE: &str = "allocate";

/// A number from the environment, or a small default.
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

/// A start of a task of submission `number` under `epoch`.
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

/// A gate, its time, and the actions of its latest event.
pub(crate) struct Bench {
    pub(crate) gate: Gate,
    pub(crate) now: Instant,
}

impl Bench {
    pub(crate) fn new(config: GateConfig) -> Self {
        Self {
            gate: Gate::new(config).expect("sound charts"),
            now: Instant::ZERO,
        }
    }

    /// A gate that serves `slots` slots, with `links` entries connected.
    pub(crate) fn serving(slots: u16, links: u64) -> Self {
        let mut bench = Self::new(GateConfig::new(AGENT));
        bench.tell(Event::Announced(offer(slots)));
        for link in 0..links {
            bench.open(link);
        }
        bench
    }

    pub(crate) fn open(&mut self, link: u64) -> Actions {
        let entry = Incarnation(link);
        let link = LinkId(link);
        self.tell(Event::Opened { link, entry })
    }

    pub(crate) fn tell(&mut self, event: Event) -> Actions {
        let mut actions = Actions::new();
        self.gate.handle(self.now, event, &mut actions);
        actions
    }

    pub(crate) fn start(&mut self, link: u64, spec: TaskSpec) -> Actions {
        let link = LinkId(link);
        self.tell(Event::Start { link, spec })
    }

    pub(crate) fn end(&mut self, run: RunKey, outcome: Outcome) -> Actions {
        self.tell(Event::Ended {
            run,
            outcome,
            service_us: 1,
        })
    }
}

/// The run that the actions begin, if they do.
pub(crate) fn run_of(actions: &[Action]) -> Option<RunKey> {
    actions.iter().find_map(|action| match action {
        Action::Run { run, .. } => Some(*run),
        _ => None,
    })
}

/// The starts that the actions settle, in order.
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
