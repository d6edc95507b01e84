//! Single decisions of the router, each brought about on its own.

mod site;

use hemlock_contract::prelude::*;
use hemlock_ledger::prelude::*;
use hemlock_router::prelude::*;
use hemlock_types::prelude::*;

use site::{SLOTS, Site, contract, whole};

const CUSTOMER: &str = "loovutusliit";

fn site(endpoints: u64) -> Site {
    Site::new(endpoints, vec![contract(CUSTOMER, Urgency::Normal)])
}

fn not_run(reason: NotRunReason) -> CallResult {
    CallResult::NotRun(reason, NotRunProof::NeverSent)
}

/// Submits one request each `gap_ms` for a while.
fn load(site: &mut Site, customer: &str, requests: u64, gap_ms: u64) -> Vec<CallId> {
    let mut calls = Vec::new();
    for _ in 0..requests {
        calls.push(site.submit(customer));
        site.advance_ms(gap_ms);
    }
    calls
}

fn complete(site: &Site, calls: &[CallId]) -> usize {
    let whole = |call: &&CallId| matches!(site.result(**call), Some(CallResult::Complete(_)));
    calls.iter().filter(whole).count()
}

#[test]
fn an_endpoint_that_fails_everything_at_once_is_ejected_and_comes_back() {
    let mut site = site(5);
    load(&mut site, CUSTOMER, 100, 10);
    site.behaviours
        .get_mut(&Incarnation(2))
        .expect("known")
        .fails = true;
    let before = site.starts_at(2);
    let calls = load(&mut site, CUSTOMER, 400, 10);
    site.advance_ms(500);
    assert!(
        site.starts_at(2) - before <= 12,
        "{}",
        site.starts_at(2) - before
    );
    assert!(
        complete(&site, &calls) >= 398,
        "{}",
        complete(&site, &calls)
    );
    assert!(site.observed(&Observation::Ejected(Incarnation(2))) >= 1);
    site.behaviours
        .get_mut(&Incarnation(2))
        .expect("known")
        .fails = false;
    load(&mut site, CUSTOMER, 3_000, 10);
    assert_eq!(site.observed(&Observation::Reinstated(Incarnation(2))), 1);
}

#[test]
fn an_endpoint_twenty_times_slower_gets_little_work() {
    let mut site = site(5);
    load(&mut site, CUSTOMER, 100, 10);
    site.behaviours
        .get_mut(&Incarnation(3))
        .expect("known")
        .service_ms = 2_000;
    let before = site.starts_at(3);
    load(&mut site, CUSTOMER, 600, 10);
    let share = site.starts_at(3) - before;
    assert!(
        share <= 2 * usize::from(SLOTS),
        "{share} of 600 went to the straggler"
    );
}

#[test]
fn twice_the_capacity_keeps_the_goodput_and_the_urgent_contract_fast() {
    let urgent = contract("urgent", Urgency::Interactive);
    let mut site = Site::new(5, vec![contract(CUSTOMER, Urgency::Normal), urgent]);
    // 20 slots at 100 ms serve 200 requests a second; 400 are offered, 40 of them urgent.
    let (mut usual, mut fast) = (Vec::new(), Vec::new());
    for step in 0..8_000_u64 {
        if step % 25 == 0 {
            fast.push((site.submit("urgent"), site.now));
        }
        for _ in 0..u64::from(step % 25 < 9) {
            usual.push(site.submit(CUSTOMER));
        }
        site.advance_ms(1);
    }
    let ended = site.now;
    site.advance_ms(15_000);
    let whole = |result: &CallResult| matches!(result, CallResult::Complete(_));
    let in_time = site
        .answers
        .values()
        .filter(|(result, at)| whole(result) && *at <= ended);
    assert!(
        in_time.count() >= 1_550,
        "the endpoints are kept busy with work that counts"
    );
    let times = fast.iter().map(|(call, sent)| {
        let (result, at) = &site.answers[call];
        assert!(whole(result), "{result:?}");
        at.since(*sent).as_ms()
    });
    let slowest = times.max().unwrap_or(0);
    assert!(
        slowest <= 150,
        "the slowest urgent request took {slowest} ms"
    );
    assert!(usual.iter().all(|call| site.result(*call).is_some()));
    let late = |result: &CallResult| matches!(result, CallResult::Failed(_));
    let failed = site.answers.values().filter(|(result, _)| late(result));
    assert_eq!(
        failed.count(),
        0,
        "work that can't end in time is refused, not started"
    );
}

#[test]
fn a_wave_of_cancellations_travels_in_one_message_per_agent() {
    let mut site = site(3);
    load(&mut site, CUSTOMER, 100, 10);
    site.advance_ms(200);
    site.starts.clear();
    site.answering = false;
    let names: Vec<String> = (0..1_000).map(|number| format!("job-{number}")).collect();
    let calls: Vec<_> = names
        .iter()
        .map(|name| {
            let call = site.submit_tasks(CUSTOMER, Some(name), &[(0, 0), (0, 0)], Some(60_000));
            grant_claim(&mut site, 1, None);
            call
        })
        .collect();
    assert_eq!(site.starts.len(), 3 * usize::from(SLOTS));
    let mut actions = Actions::new();
    for (index, name) in names.iter().enumerate() {
        let submission = SubmissionId::derive(&CUSTOMER.into(), name);
        let call = CallId(1_000_000 + index as u64);
        let event = Event::CancelSubmission { call, submission };
        site.router.apply(site.now, event, &mut actions);
    }
    site.router.flush(site.now, &mut actions);
    let cancels = actions
        .iter()
        .filter(|action| matches!(action, Action::Cancel { .. }));
    assert_eq!(cancels.count(), 3);
    site.perform(actions);
    let started = calls
        .iter()
        .filter(|call| site.result(**call) == Some(&CallResult::Failed(FailureKind::Cancelled)));
    assert_eq!(started.count(), 6, "six jobs had started");
    let unstarted = calls
        .iter()
        .filter(|call| site.result(**call) == Some(&not_run(NotRunReason::Cancelled)));
    assert_eq!(unstarted.count(), 994);
    assert_eq!(site.router.queued(), 0);
}

/// Answers the latest claim with a grant.
fn grant_claim(site: &mut Site, epoch: u32, previous: Option<PreviousClaim>) {
    let epoch = Epoch(epoch);
    answer_claim(site, Some(ClaimReply::Granted { epoch, previous }));
}

fn answer_claim(site: &mut Site, reply: Option<ClaimReply>) {
    let claim = site.others.iter().rev().find_map(|action| match action {
        Action::Claim { attempt, claim } => Some((*attempt, claim.submission)),
        _ => None,
    });
    let (attempt, submission) = claim.expect("a claim");
    site.tell(Event::ClaimAnswered {
        submission,
        attempt,
        reply,
    });
}

#[test]
fn a_task_larger_than_every_worker_is_refused_at_once() {
    let mut site = site(2);
    let call = site.submit_tasks(CUSTOMER, None, &[(65, 0)], None);
    assert_eq!(site.result(call), Some(&not_run(NotRunReason::Infeasible)));
    let call = site.submit_tasks(CUSTOMER, None, &[(64, 1_000)], None);
    site.advance_ms(200);
    assert!(matches!(site.result(call), Some(CallResult::Complete(_))));
}

#[test]
fn nothing_is_admitted_or_started_without_a_lease() {
    let mut site = site(2);
    site.answering = false;
    for _ in 0..10 {
        site.submit(CUSTOMER);
    }
    let before = site.starts.len();
    site.now += DurationMs::new(8_001);
    let call = site.submit(CUSTOMER);
    assert_eq!(site.result(call), Some(&not_run(NotRunReason::NoLease)));
    let (agent, spec) = site.starts[0].clone();
    site.settle(agent, spec.request, whole(200));
    assert_eq!(site.starts.len(), before, "queued work waits for a lease");
    let named = site.submit_tasks(CUSTOMER, Some("k"), &[(0, 0)], None);
    let lookup = |action: &Action| matches!(action, Action::Lookup { call, .. } if *call == named);
    assert!(
        site.others.iter().any(lookup),
        "the ledger is asked before \"not run\""
    );
    site.tell(Event::LookupAnswered {
        call: named,
        reply: None,
    });
    let unknown = CallResult::Failed(FailureKind::Unknown);
    assert_eq!(site.result(named), Some(&unknown));
}

#[test]
fn an_agent_that_misses_heartbeats_gets_no_new_work_until_it_answers() {
    let mut site = site(2);
    for _ in 0..3 {
        site.tell(Event::PingMissed(Incarnation(1)));
    }
    load(&mut site, CUSTOMER, 20, 50);
    assert_eq!(site.starts_at(1), 0);
    let (agent, draining) = (Incarnation(1), false);
    site.tell(Event::Pong { agent, draining });
    load(&mut site, CUSTOMER, 20, 5);
    assert!(site.starts_at(1) > 0);
}

#[test]
fn a_start_that_never_left_is_placed_again_free_of_charge() {
    let mut site = site(2);
    site.answering = false;
    let call = site.submit(CUSTOMER);
    let (agent, spec) = site.starts[0].clone();
    let loss = LossKind::NeverSent;
    let request = spec.request;
    site.tell(Event::StartLost {
        agent,
        request,
        loss,
    });
    assert_eq!(site.starts.len(), 2);
    assert_eq!(site.observed(&Observation::Retried), 0);
    let (agent, spec) = site.starts[1].clone();
    site.settle(agent, spec.request, whole(200));
    assert!(matches!(site.result(call), Some(CallResult::Complete(_))));
}

#[test]
fn lost_starts_are_retried_within_the_budget_and_hold_their_place() {
    let mut site = site(3);
    site.answering = false;
    let calls: Vec<_> = (0..10).map(|_| site.submit(CUSTOMER)).collect();
    let sent: Vec<_> = site.starts.clone();
    for (agent, spec) in &sent {
        let (agent, request, loss) = (*agent, spec.request, LossKind::AfterSending);
        site.tell(Event::StartLost {
            agent,
            request,
            loss,
        });
    }
    assert_eq!(
        site.observed(&Observation::Retried),
        2,
        "20 % of ten requests"
    );
    let lost = CallResult::Failed(FailureKind::ConnectionLost);
    let failed = calls
        .iter()
        .filter(|call| site.result(**call) == Some(&lost));
    assert_eq!(failed.count(), 8);
    assert_eq!(
        site.router.in_flight(),
        12,
        "unknown outcomes hold their place"
    );
    site.sync(60_000);
    site.advance_ms(10_001);
    assert_eq!(site.router.in_flight(), 2, "until their deadline");
}

#[test]
fn a_lost_start_of_a_submission_goes_to_the_same_agent_again() {
    let mut site = site(3);
    site.answering = false;
    let call = site.submit_tasks(CUSTOMER, Some("k"), &[(0, 0)], None);
    grant_claim(&mut site, 1, None);
    let (agent, first) = site.starts[0].clone();
    site.tell(Event::LinkDown(agent));
    site.tell(Event::StartLost {
        agent,
        request: first.request,
        loss: LossKind::AfterSending,
    });
    assert_eq!(site.starts.len(), 1, "no other agent may start it");
    site.tell(Event::LinkUp(agent));
    let (again, second) = site.starts[1].clone();
    assert_eq!((again, second.task), (agent, first.task));
    assert_ne!(second.request, first.request);
    site.settle(agent, second.request, whole(200));
    assert!(matches!(site.result(call), Some(CallResult::Complete(_))));
}

#[test]
fn a_job_is_spread_over_the_racks() {
    let mut site = site(6);
    site.answering = false;
    let sizes = [(0, 0); 6];
    site.submit_tasks(CUSTOMER, Some("job"), &sizes, None);
    grant_claim(&mut site, 1, None);
    let racks = site.starts.iter().map(|(agent, _)| agent.0 % 3);
    let mut by_rack = [0; 3];
    for rack in racks {
        by_rack[rack as usize] += 1;
    }
    // Three endpoints are in the entry's own failure domain, one on each rack.
    assert!(by_rack.iter().all(|count| *count >= 1), "{by_rack:?}");
}

#[test]
fn a_claim_without_an_answer_is_never_told_as_not_run() {
    let mut site = site(1);
    let call = site.submit_tasks(CUSTOMER, Some("k"), &[(0, 0)], Some(60_000));
    for _ in 0..20 {
        if site.result(call).is_none() {
            answer_claim(&mut site, None);
            site.advance_ms(1_000);
        }
    }
    let unknown = CallResult::Failed(FailureKind::Unknown);
    assert_eq!(site.result(call), Some(&unknown));
    assert!(site.starts.is_empty());
}

#[test]
fn a_straggling_request_is_hedged_and_its_loser_withdrawn() {
    let mut hedged = contract(CUSTOMER, Urgency::Normal);
    hedged.hedging = Hedging {
        enabled: true,
        budget_percent: 20,
    };
    let mut site = Site::new(3, vec![hedged]);
    load(&mut site, CUSTOMER, 60, 20);
    site.advance_ms(500);
    site.answering = false;
    let call = site.submit(CUSTOMER);
    let (slow, first) = site.starts.last().cloned().expect("a start");
    site.advance_ms(400);
    let (fast, second) = site.starts.last().cloned().expect("a start");
    assert_ne!(
        (slow, first.request),
        (fast, second.request),
        "a second copy is out"
    );
    assert_ne!(slow, fast);
    site.settle(fast, second.request, whole(200));
    assert!(matches!(site.result(call), Some(CallResult::Complete(_))));
    let withdrawn = |action: &Action| {
        matches!(action, Action::Cancel { agent, requests }
            if *agent == slow && requests == &[first.request])
    };
    assert!(site.others.iter().any(withdrawn));
    site.settle(slow, first.request, whole(200));
    assert_eq!(site.router.in_flight(), 0);
}

#[test]
fn slots_that_a_claim_does_not_allow_are_no_room_for_its_tasks() {
    let mut site = site(60);
    site.answering = false;
    site.submit_tasks(CUSTOMER, Some("k"), &[(0, 0)], None);
    let claim = site.others.iter().find_map(|action| match action {
        Action::Claim { claim, .. } => Some(claim.plan.clone()),
        _ => None,
    });
    let plan = claim.expect("a claim");
    assert!(plan.len() < 60, "the claim allows a part of the service");
    for agent in &plan {
        let (agent, slots) = (*agent, SLOTS);
        site.tell(Event::Recall {
            agent,
            slots,
            ticket: 0,
        });
    }
    grant_claim(&mut site, 1, None);
    assert!(
        site.starts.is_empty(),
        "no allowed agent has granted a slot"
    );
    let wanted = site.others.iter().find_map(|action| match action {
        Action::Want { agent, count } if *count > 0 => Some(*agent),
        _ => None,
    });
    let agent = wanted.expect("an agent is asked although others have granted slots");
    assert!(
        plan.contains(&agent),
        "the agent is one that the claim allows"
    );
    site.tell(Event::Granted { agent, slots: 1 });
    assert_eq!(site.starts.len(), 1);
}

#[test]
fn a_refusal_of_a_second_sending_is_no_proof_for_the_first() {
    let mut site = site(3);
    site.answering = false;
    let call = site.submit_tasks(CUSTOMER, Some("k"), &[(0, 0)], None);
    grant_claim(&mut site, 1, None);
    let (agent, first) = site.starts[0].clone();
    site.tell(Event::LinkDown(agent));
    site.tell(Event::StartLost {
        agent,
        request: first.request,
        loss: LossKind::AfterSending,
    });
    site.tell(Event::LinkUp(agent));
    let second = site.starts[1].1.request;
    let refused = Outcome::NotRun(NotRunReason::Refused, NotRunProof::RefusedByGate);
    site.settle(agent, second, refused);
    assert_eq!(site.starts.len(), 2, "the first may still start");
    let unknown = CallResult::Failed(FailureKind::Unknown);
    assert_eq!(site.result(call), Some(&unknown));
}
