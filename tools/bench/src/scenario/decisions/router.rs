//! Measures the time that the router core takes for a decision.

use std::time::Instant as WallInstant;

use bytes::Bytes;
use hemlock_contract::prelude::*;
use hemlock_directory::prelude::*;
use hemlock_quota::prelude::*;
use hemlock_router::prelude::*;
use hemlock_types::prelude::*;

/// Submissions of one task in one measurement.
const TASKS: u64 = 200_000;
/// Slots of each endpoint.
const SLOTS: u16 = 8;

fn contract() -> Contract {
    Contract {
        customer: "loovutusliit".into(),
        revision: Revision(1),
        key_sha256: Vec::new(),
        services: vec!["portaal".into()],
        max_running: 100_000,
        max_queued: 100_000,
        urgency: Urgency::Interactive,
        weight: 100,
        non_idempotent: Vec::new(),
        deadline_ms: 10_000,
        deadline_cap_ms: 60_000,
        retry_budget_percent: 10,
        hedging: Hedging::default(),
    }
}

fn announcement(agent: u64) -> Announcement {
    Announcement {
        agent: Incarnation(agent),
        service: "portaal".into(),
        slots: SLOTS,
        connections: 64,
        address: ([127, 0, 0, 1], 9).into(),
        domain: format!("domain-{}", agent % 11).as_str().into(),
        rack: format!("rack-{}", agent / 33).as_str().into(),
        cores: 64,
        memory_mb: 262_144,
        state: EndpointState::Serving,
    }
}

fn ready_router(policy: &str, endpoints: u64) -> Router {
    let settings = RouterSettings::new(Incarnation(1), "domain-1".into(), 1);
    let placement = placement_named(policy).expect("the policy exists");
    let mut router = Router::new(settings, placement);
    let mut out = Actions::new();
    let update = SyncUpdate {
        sent: Instant::ZERO,
        lease_ms: 3_600_000,
        config: ConfigUpdate::Snapshot {
            version: ConfigVersion(1),
            contracts: vec![contract()],
            stops: Vec::new(),
        },
        directory: DirectoryUpdate::Snapshot {
            generation: 1,
            version: 1,
            endpoints: (1..=endpoints).map(announcement).collect(),
        },
        shares: vec![Share {
            customer: "loovutusliit".into(),
            count: 100_000,
            valid_ms: 3_600_000,
        }],
        shares_seq: 1,
        cancelled: Vec::new(),
    };
    router.handle(Instant::ZERO, Event::Synced(Box::new(update)), &mut out);
    for agent in (1..=endpoints).map(Incarnation) {
        router.handle(Instant::ZERO, Event::LinkUp(agent), &mut out);
        let slots = SLOTS;
        router.handle(Instant::ZERO, Event::Granted { agent, slots }, &mut out);
    }
    router
}

fn submit(call: u64) -> Event {
    Event::Submit(Box::new(Submit {
        call: CallId(call),
        customer: "loovutusliit".into(),
        service: "portaal".into(),
        submission: None,
        tasks: vec![TaskRequest {
            operation: "search".into(),
            body: Bytes::new(),
            cores: 0,
            memory_mb: 0,
        }],
        deadline_ms: None,
        traceparent: Bytes::new(),
        detached: false,
    }))
}

/// Returns the nanoseconds for one submission and its start, and those for one answer and the
/// return of its slot.
pub(super) fn cost_ns(policy: &str, endpoints: u64) -> (u64, u64) {
    let mut router = ready_router(policy, endpoints);
    let mut out = Actions::new();
    let in_flight = endpoints * u64::from(SLOTS) * 7 / 10;
    let mut running = std::collections::VecDeque::new();
    let (mut start_ns, mut settle_ns) = (0, 0);
    for call in 0..TASKS {
        let now = Instant::from_micros(1 + call * 10);
        out.clear();
        let began = WallInstant::now();
        router.handle(now, submit(call), &mut out);
        start_ns += began.elapsed().as_nanos();
        let started = out.drain(..).find_map(|action| match action {
            Action::Start { agent, spec } => Some((agent, spec.request)),
            _ => None,
        });
        running.push_back(started.expect("a slot is free"));
        if (running.len() as u64) < in_flight {
            continue;
        }
        let Some((agent, request)) = running.pop_front() else {
            continue;
        };
        let settled = Event::Settled {
            agent,
            request,
            outcome: Outcome::Complete(Answer {
                status: 200,
                content_type: Bytes::new(),
                body: Bytes::new(),
            }),
            service_us: 300_000,
            granted: 1,
        };
        let began = WallInstant::now();
        router.handle(now, settled, &mut out);
        settle_ns += began.elapsed().as_nanos();
    }
    let each = |total: u128| (total / u128::from(TASKS)) as u64;
    (each(start_ns), each(settle_ns))
}
