//! Measures the time that the gate core takes for a decision.

use std::time::Instant as WallInstant;

use bytes::Bytes;
use hemlock_gate::prelude::*;
use hemlock_types::prelude::*;

/// Incarnation of the agent that owns the gate.
const AGENT: Incarnation = Incarnation(7);
/// Slots of the endpoint behind the gate.
const SLOTS: u16 = 8;
/// Starts in one measurement.
const STARTS: u64 = 400_000;
/// Cancellations that each entry sends in one measurement.
const CANCELS_PER_ENTRY: u64 = 4_000;

/// Time that one gate takes for each kind of decision, in nanoseconds.
pub(super) struct GateCost {
    /// A start without a submission, and its end.
    pub(super) start_ns: u128,
    /// A start that belongs to a submission, and its end.
    pub(super) claimed_start_ns: u128,
    /// A start at a gate that assigns no credits, and its end.
    pub(super) start_without_credits_ns: u128,
    /// A cancellation of a start that has not arrived.
    pub(super) cancel_ns: u128,
}

/// Measures a gate that serves `entries` entries.
pub(super) fn cost_of_gate(entries: u64) -> GateCost {
    GateCost {
        start_ns: start_ns(reserving_credits(), entries, false),
        claimed_start_ns: start_ns(reserving_credits(), entries, true),
        start_without_credits_ns: start_ns(Box::new(NoCredits), entries, false),
        cancel_ns: cancel_ns(entries),
    }
}

fn reserving_credits() -> Box<dyn CreditPolicy> {
    Box::new(ReservingCredits::new(DurationMs::new(25), 1))
}

fn gate_with_entries(credits: Box<dyn CreditPolicy>, entries: u64) -> Gate {
    let config = GateConfig::new(AGENT).with_retention(DurationMs::new(100));
    let mut gate = Gate::with_credits(config, credits).expect("the state charts are valid");
    let mut out = Actions::new();
    let offer = Offer {
        service: "allocate".into(),
        slots: SLOTS,
        connections: SLOTS,
        address: ([127, 0, 0, 1], 9).into(),
    };
    gate.handle(Instant::ZERO, Event::Announced(offer), &mut out);
    for entry in 0..entries {
        let (link, entry) = (LinkId(entry), Incarnation(entry));
        gate.handle(Instant::ZERO, Event::Opened { link, entry }, &mut out);
    }
    gate
}

fn spec(request: u64, claimed: bool) -> TaskSpec {
    let mut name = [0; 16];
    name[..8].copy_from_slice(&(request / 8).to_le_bytes());
    TaskSpec {
        request: RequestId(request),
        submission: claimed.then_some(SubmissionId(name)),
        task: TaskIndex(u16::try_from(request % 8).unwrap_or(0)),
        epoch: Epoch(1),
        agent: AGENT,
        service: "allocate".into(),
        operation: "hold".into(),
        deadline_ms: 1_000,
        traceparent: Bytes::new(),
        body: Bytes::new(),
    }
}

/// Returns the nanoseconds for one start, one want of the next entry and one end, while seven
/// other tasks run.
fn start_ns(credits: Box<dyn CreditPolicy>, entries: u64, claimed: bool) -> u128 {
    let mut gate = gate_with_entries(credits, entries);
    let mut out = Actions::new();
    let mut running = std::collections::VecDeque::new();
    let specs: Vec<_> = (0..STARTS).map(|request| spec(request, claimed)).collect();
    let began = WallInstant::now();
    for (number, spec) in specs.into_iter().enumerate() {
        let now = Instant::from_micros(number as u64 * 10);
        let number = number as u64;
        let link = LinkId(number % entries);
        gate.handle(now, Event::Start { link, spec }, &mut out);
        let next = Event::Want {
            link: LinkId((number + 1) % entries),
            call: CallId(number),
            count: 1,
        };
        gate.handle(now, next, &mut out);
        collect_runs(&mut out, &mut running);
        if running.len() < usize::from(SLOTS) {
            continue;
        }
        end_oldest(&mut gate, now, &mut running, &mut out);
        if number.is_multiple_of(10_000) {
            gate.handle(now, Event::Tick, &mut out);
        }
    }
    let elapsed = began.elapsed().as_nanos();
    assert_eq!(gate.counters().started, STARTS, "every start is accepted");
    elapsed / u128::from(STARTS)
}

fn collect_runs(out: &mut Actions, running: &mut std::collections::VecDeque<RunKey>) {
    for action in out.drain(..) {
        if let Action::Run { run, .. } = action {
            running.push_back(run);
        }
    }
}

fn end_oldest(
    gate: &mut Gate,
    now: Instant,
    running: &mut std::collections::VecDeque<RunKey>,
    out: &mut Actions,
) {
    let Some(run) = running.pop_front() else {
        return;
    };
    let outcome = Outcome::Failed(FailureKind::Unknown);
    let ended = Event::Ended {
        run,
        outcome,
        service_us: 1,
    };
    gate.handle(now, ended, out);
}

/// Returns the nanoseconds for one cancellation of a start that has not arrived.
fn cancel_ns(entries: u64) -> u128 {
    let mut gate = gate_with_entries(reserving_credits(), entries);
    let mut out = Actions::new();
    let requests: Vec<_> = (0..CANCELS_PER_ENTRY).map(RequestId).collect();
    let batches: Vec<_> = (0..entries).map(|_| requests.clone()).collect();
    let began = WallInstant::now();
    for (entry, requests) in batches.into_iter().enumerate() {
        let link = LinkId(entry as u64);
        let call = CallId(link.0);
        let cancel = Event::Cancel {
            link,
            call,
            requests,
        };
        gate.handle(Instant::ZERO, cancel, &mut out);
    }
    let elapsed = began.elapsed().as_nanos();
    assert_eq!(gate.counters().revoked, CANCELS_PER_ENTRY * entries);
    elapsed / u128::from(CANCELS_PER_ENTRY * entries)
}
