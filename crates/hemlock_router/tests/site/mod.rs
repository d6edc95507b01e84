//! One router with simulated agents of given service times, in simulated time.
#![allow(dead_code, reason = "each test uses only a part of this module")]

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use hemlock_contract::prelude::*;
use hemlock_directory::prelude::*;
use hemlock_quota::prelude::*;
use hemlock_router::prelude::*;
use hemlock_types::prelude::*;

pub(crate) const SLOTS: u16 = 4;

/// How one endpoint behaves.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Behaviour {
    pub(crate) service_ms: u64,
    pub(crate) fails: bool,
}

/// A router with its simulated agents, and everything that it emitted.
pub(crate) struct Site {
    pub(crate) now: Instant,
    pub(crate) router: Router,
    pub(crate) behaviours: BTreeMap<Incarnation, Behaviour>,
    pub(crate) answers: BTreeMap<CallId, (CallResult, Instant)>,
    pub(crate) starts: Vec<(Incarnation, TaskSpec)>,
    pub(crate) other_actions: Vec<Action>,
    pub(crate) observed: Vec<Observation>,
    running: BTreeSet<(Instant, u64, Incarnation)>,
    sync_count: u64,
    contracts: Vec<Contract>,
    calls: u64,
    /// The agents answer starts by themselves; otherwise the test answers them.
    pub(crate) agents_answer: bool,
}

pub(crate) fn contract(customer: &str, urgency: Urgency) -> Contract {
    Contract {
        customer: customer.into(),
        revision: Revision(1),
        key_sha256: Vec::new(),
        services: vec!["portaal".into()],
        max_running: 1_000,
        max_queued: 10_000,
        urgency,
        weight: 100,
        non_idempotent: Vec::new(),
        deadline_ms: 10_000,
        deadline_cap_ms: 60_000,
        retry_budget_percent: 20,
        hedging: Hedging::default(),
    }
}

impl Site {
    pub(crate) fn new(endpoints: u64, contracts: Vec<Contract>) -> Self {
        let settings = RouterSettings::new(Incarnation(9_000), "domain-0".into(), 7);
        let placement = placement_named("credits").expect("a known policy");
        let mut site = Self {
            now: Instant::from_ms(1),
            router: Router::new(settings, placement),
            behaviours: BTreeMap::new(),
            answers: BTreeMap::new(),
            starts: Vec::new(),
            other_actions: Vec::new(),
            observed: Vec::new(),
            running: BTreeSet::new(),
            sync_count: 0,
            contracts,
            calls: 0,
            agents_answer: true,
        };
        let healthy = Behaviour {
            service_ms: 100,
            fails: false,
        };
        site.behaviours = (1..=endpoints)
            .map(|agent| (Incarnation(agent), healthy))
            .collect();
        site.sync(8_000);
        for agent in (1..=endpoints).map(Incarnation) {
            site.handle(Event::LinkUp(agent));
            let slots = SLOTS;
            site.handle(Event::Granted { agent, slots });
        }
        site
    }

    pub(crate) fn sync(&mut self, lease_ms: u64) {
        self.sync_count += 1;
        let announcement = |agent: &Incarnation| Announcement {
            agent: *agent,
            service: "portaal".into(),
            slots: SLOTS,
            connections: 64,
            address: ([127, 0, 0, 1], 1).into(),
            domain: format!("domain-{}", agent.0 % 2).as_str().into(),
            rack: format!("rack-{}", agent.0 % 3).as_str().into(),
            cores: 64,
            memory_mb: 1_000,
            state: EndpointState::Serving,
        };
        let share = |contract: &Contract| Share {
            customer: contract.customer.clone(),
            count: contract.max_running,
            valid_ms: lease_ms,
        };
        let update = SyncUpdate {
            sent: self.now,
            lease_ms,
            config: ConfigUpdate::Snapshot {
                version: ConfigVersion(1),
                contracts: self.contracts.clone(),
                stops: Vec::new(),
            },
            directory: DirectoryUpdate::Snapshot {
                generation: 1,
                version: 1,
                endpoints: self.behaviours.keys().map(announcement).collect(),
            },
            shares: self.contracts.iter().map(share).collect(),
            shares_seq: self.sync_count,
            cancelled: Vec::new(),
        };
        self.handle(Event::Synced(Box::new(update)));
    }

    pub(crate) fn handle(&mut self, event: Event) {
        let mut actions = Actions::new();
        self.router.handle(self.now, event, &mut actions);
        self.perform(actions);
    }

    pub(crate) fn perform(&mut self, actions: Actions) {
        for action in actions {
            match action {
                Action::Answer { call, result, .. } => {
                    let earlier = self.answers.insert(call, (result, self.now));
                    assert!(earlier.is_none(), "a call must be answered only once");
                }
                Action::Start { agent, spec } => self.start(agent, spec),
                Action::Observe(observation) => self.observed.push(observation),
                other => self.other_actions.push(other),
            }
        }
    }

    fn start(&mut self, agent: Incarnation, spec: TaskSpec) {
        let behaviour = self.behaviours[&agent];
        let service_ms = match behaviour.fails {
            true => 1,
            false => behaviour.service_ms,
        };
        let ends = self.now + DurationMs::new(service_ms);
        if self.agents_answer {
            self.running.insert((ends, spec.request.0, agent));
        }
        self.starts.push((agent, spec));
    }

    pub(crate) fn submit(&mut self, customer: &str) -> CallId {
        self.submit_tasks(customer, None, &[(0, 0)], None)
    }

    pub(crate) fn submit_tasks(
        &mut self,
        customer: &str,
        name: Option<&str>,
        sizes: &[(u32, u64)],
        deadline_ms: Option<u64>,
    ) -> CallId {
        self.calls += 1;
        let call = CallId(self.calls);
        let customer: CustomerName = customer.into();
        let id = name.map(|name| SubmissionId::derive(&customer, name));
        let task = |size: &(u32, u64)| TaskRequest {
            operation: "search".into(),
            body: Bytes::new(),
            cores: size.0,
            memory_mb: size.1,
        };
        self.handle(Event::Submit(Box::new(Submit {
            call,
            customer,
            service: "portaal".into(),
            submission: id.map(|id| (id, Digest::of_parts(&[b"content"]))),
            tasks: sizes.iter().map(task).collect(),
            deadline_ms,
            traceparent: Bytes::new(),
            detached: false,
        })));
        call
    }

    pub(crate) fn settle(&mut self, agent: Incarnation, request: RequestId, outcome: Outcome) {
        let service_ms = self.behaviours[&agent].service_ms;
        self.handle(Event::Settled {
            agent,
            request,
            outcome,
            service_us: service_ms * 1_000,
            granted: 1,
        });
    }

    /// Advances time in steps of one millisecond: ends starts whose service time is over, runs due
    /// timers, and synchronises with the keeper every second.
    pub(crate) fn advance_ms(&mut self, ms: u64) {
        for _ in 0..ms {
            self.now += DurationMs::new(1);
            while let Some(first) = self.running.first().copied()
                && first.0 <= self.now
            {
                self.running.remove(&first);
                let (_, request, agent) = first;
                let outcome = match self.behaviours[&agent].fails {
                    true => Outcome::Failed(FailureKind::BrokenAnswer),
                    false => completed(200),
                };
                self.settle(agent, RequestId(request), outcome);
            }
            if self.router.next_wakeup().is_some_and(|at| at <= self.now) {
                self.handle(Event::Tick);
            }
            if self.now.as_micros().is_multiple_of(1_000_000) {
                self.sync(8_000);
            }
        }
    }

    pub(crate) fn result(&self, call: CallId) -> Option<&CallResult> {
        self.answers.get(&call).map(|(result, _)| result)
    }

    pub(crate) fn starts_at(&self, agent: u64) -> usize {
        let at = |start: &&(Incarnation, TaskSpec)| start.0 == Incarnation(agent);
        self.starts.iter().filter(at).count()
    }

    pub(crate) fn observed(&self, expected: &Observation) -> usize {
        self.observed
            .iter()
            .filter(|observation| *observation == expected)
            .count()
    }
}

pub(crate) fn completed(status: u16) -> Outcome {
    Outcome::Complete(Answer {
        status,
        content_type: Bytes::new(),
        body: Bytes::new(),
    })
}
