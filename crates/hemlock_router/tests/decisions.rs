//! Tests of single decisions of the router, with simulated agents and time.

mod site;

use hemlock_contract::prelude::*;
use hemlock_ledger::prelude::*;
use hemlock_router::prelude::*;
use hemlock_types::prelude::*;

use site::{SLOTS, Site, completed, contract};

const CUSTOMER: &str = "loovutusliit";

fn site(endpoints: u64) -> Site {
    Site::new(endpoints, vec![contract(CUSTOMER, Urgency::Normal)])
}

fn not_run(reason: NotRunReason) -> CallResult {
    CallResult::NotRun(reason, NotRunProof::NeverSent)
}

/// Submits one request every `gap_ms`.
fn load(site: &mut Site, customer: &str, requests: u64, gap_ms: u64) -> Vec<CallId> {
    let mut calls = Vec::new();
    for _ in 0..requests {
        calls.push(site.submit(customer));
        site.advance_ms(gap_ms);
    }
    calls
}

fn count_complete(site: &Site, calls: &[CallId]) -> usize {
    let is_complete = |call: &&CallId| matches!(site.result(**call), Some(CallResult::Complete(_)));
    calls.iter().filter(is_complete).count()
}

#[test]
fn an_endpoint_that_fails_every_task_is_ejected_and_reinstated() {
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
        count_complete(&site, &calls) >= 398,
        "{}",
        count_complete(&site, &calls)
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
        "{share} of 600 requests went to the slow endpoint"
    );
}

#[test]
fn overload_keeps_goodput_and_the_latency_of_an_urgent_contract() {
    let urgent = contract("urgent", Urgency::Interactive);
    let mut site = Site::new(5, vec![contract(CUSTOMER, Urgency::Normal), urgent]);
    // 20 slots at 100 ms serve 200 requests per second; 400 are submitted, 40 of them urgent.
    let (mut normal, mut urgent_calls) = (Vec::new(), Vec::new());
    for step in 0..8_000_u64 {
        if step % 25 == 0 {
            urgent_calls.push((site.submit("urgent"), site.now));
        }
        for _ in 0..u64::from(step % 25 < 9) {
            normal.push(site.submit(CUSTOMER));
        }
        site.advance_ms(1);
    }
    let ended = site.now;
    site.advance_ms(15_000);
    let is_complete = |result: &CallResult| matches!(result, CallResult::Complete(_));
    let in_time = site
        .answers
        .values()
        .filter(|(result, at)| is_complete(result) && *at <= ended);
    assert!(
        in_time.count() >= 1_550,
        "the endpoints must stay busy with work that completes"
    );
    let times = urgent_calls.iter().map(|(call, sent)| {
        let (result, at) = &site.answers[call];
        assert!(is_complete(result), "{result:?}");
        at.since(*sent).as_ms()
    });
    let slowest = times.max().unwrap_or(0);
    assert!(
        slowest <= 150,
        "the slowest urgent request took {slowest} ms"
    );
    assert!(normal.iter().all(|call| site.result(*call).is_some()));
    let is_failed = |result: &CallResult| matches!(result, CallResult::Failed(_));
    let failed = site
        .answers
        .values()
        .filter(|(result, _)| is_failed(result));
    assert_eq!(
        failed.count(),
        0,
        "work that can't end by its deadline must be refused before it starts"
    );
}

#[test]
fn cancellations_of_many_jobs_are_sent_in_one_message_per_agent() {
    let mut site = site(3);
    load(&mut site, CUSTOMER, 100, 10);
    site.advance_ms(200);
    site.starts.clear();
    site.agents_answer = false;
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
    assert_eq!(started.count(), 6, "12 slots start six jobs of two tasks");
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
    let claim = site
        .other_actions
        .iter()
        .rev()
        .find_map(|action| match action {
            Action::Claim { attempt, claim } => Some((*attempt, claim.submission)),
            _ => None,
        });
    let (attempt, submission) = claim.expect("a claim");
    site.handle(Event::ClaimAnswered {
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
    site.agents_answer = false;
    for _ in 0..10 {
        site.submit(CUSTOMER);
    }
    let before = site.starts.len();
    site.now += DurationMs::new(8_001);
    let call = site.submit(CUSTOMER);
    assert_eq!(site.result(call), Some(&not_run(NotRunReason::NoLease)));
    let (agent, spec) = site.starts[0].clone();
    site.settle(agent, spec.request, completed(200));
    assert_eq!(
        site.starts.len(),
        before,
        "queued work must not start without a lease"
    );
    let named = site.submit_tasks(CUSTOMER, Some("k"), &[(0, 0)], None);
    let lookup = |action: &Action| matches!(action, Action::Lookup { call, .. } if *call == named);
    assert!(
        site.other_actions.iter().any(lookup),
        "the ledger must be looked up before \"not run\" is answered"
    );
    site.handle(Event::LookupAnswered {
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
        site.handle(Event::PingMissed(Incarnation(1)));
    }
    load(&mut site, CUSTOMER, 20, 50);
    assert_eq!(site.starts_at(1), 0);
    let (agent, draining) = (Incarnation(1), false);
    site.handle(Event::Pong { agent, draining });
    load(&mut site, CUSTOMER, 20, 5);
    assert!(site.starts_at(1) > 0);
}

#[test]
fn a_start_that_was_never_sent_is_placed_again_without_a_retry() {
    let mut site = site(2);
    site.agents_answer = false;
    let call = site.submit(CUSTOMER);
    let (agent, spec) = site.starts[0].clone();
    let loss = LossKind::NeverSent;
    let request = spec.request;
    site.handle(Event::StartLost {
        agent,
        request,
        loss,
    });
    assert_eq!(site.starts.len(), 2);
    assert_eq!(site.observed(&Observation::Retried), 0);
    let (agent, spec) = site.starts[1].clone();
    site.settle(agent, spec.request, completed(200));
    assert!(matches!(site.result(call), Some(CallResult::Complete(_))));
}

#[test]
fn lost_starts_are_retried_within_the_budget_and_count_until_their_deadline() {
    let mut site = site(3);
    site.agents_answer = false;
    let calls: Vec<_> = (0..10).map(|_| site.submit(CUSTOMER)).collect();
    let sent: Vec<_> = site.starts.clone();
    for (agent, spec) in &sent {
        let (agent, request, loss) = (*agent, spec.request, LossKind::AfterSending);
        site.handle(Event::StartLost {
            agent,
            request,
            loss,
        });
    }
    assert_eq!(
        site.observed(&Observation::Retried),
        2,
        "the budget is 20 % of ten requests"
    );
    let lost = CallResult::Failed(FailureKind::ConnectionLost);
    let failed = calls
        .iter()
        .filter(|call| site.result(**call) == Some(&lost));
    assert_eq!(failed.count(), 8);
    assert_eq!(
        site.router.in_flight(),
        12,
        "starts of unknown outcome count as in flight"
    );
    site.sync(60_000);
    site.advance_ms(10_001);
    assert_eq!(
        site.router.in_flight(),
        2,
        "lost starts count only until their deadline"
    );
}

/// Guards against a request that takes down one endpoint after the other, because the retry budget of
/// its contract pays for each.
#[test]
fn a_request_whose_endpoints_are_lost_is_not_retried_without_bound() {
    let mut site = site(8);
    load(&mut site, CUSTOMER, 200, 10);
    site.agents_answer = false;
    let sent_before = site.starts.len();
    let call = site.submit(CUSTOMER);
    let mut losses = 0;
    while let Some((agent, spec)) = site.starts.get(sent_before + losses).cloned() {
        losses += 1;
        let (request, loss) = (spec.request, LossKind::AfterSending);
        site.handle(Event::StartLost {
            agent,
            request,
            loss,
        });
    }
    assert!(losses <= 2, "{losses} endpoints were lost");
    let lost = CallResult::Failed(FailureKind::ConnectionLost);
    assert_eq!(site.result(call), Some(&lost));
}

#[test]
fn a_lost_start_of_a_submission_is_sent_to_the_same_agent_again() {
    let mut site = site(3);
    site.agents_answer = false;
    let call = site.submit_tasks(CUSTOMER, Some("k"), &[(0, 0)], None);
    grant_claim(&mut site, 1, None);
    let (agent, first) = site.starts[0].clone();
    site.handle(Event::LinkDown(agent));
    site.handle(Event::StartLost {
        agent,
        request: first.request,
        loss: LossKind::AfterSending,
    });
    assert_eq!(
        site.starts.len(),
        1,
        "the task must not be sent to another agent"
    );
    site.handle(Event::LinkUp(agent));
    let (again, second) = site.starts[1].clone();
    assert_eq!((again, second.task), (agent, first.task));
    assert_ne!(second.request, first.request);
    site.settle(agent, second.request, completed(200));
    assert!(matches!(site.result(call), Some(CallResult::Complete(_))));
}

#[test]
fn a_job_is_spread_over_the_racks() {
    let mut site = site(6);
    site.agents_answer = false;
    let sizes = [(0, 0); 6];
    site.submit_tasks(CUSTOMER, Some("job"), &sizes, None);
    grant_claim(&mut site, 1, None);
    let racks = site.starts.iter().map(|(agent, _)| agent.0 % 3);
    let mut by_rack = [0; 3];
    for rack in racks {
        by_rack[rack as usize] += 1;
    }
    // Three endpoints are in the entry's failure domain, one on each rack.
    assert!(by_rack.iter().all(|count| *count >= 1), "{by_rack:?}");
}

#[test]
fn a_call_whose_claim_gets_no_answer_is_never_answered_as_not_run() {
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
fn a_straggler_is_hedged_and_its_slower_copy_is_cancelled() {
    let mut hedged = contract(CUSTOMER, Urgency::Normal);
    hedged.hedging = Hedging {
        enabled: true,
        budget_percent: 20,
    };
    let mut site = Site::new(3, vec![hedged]);
    load(&mut site, CUSTOMER, 60, 20);
    site.advance_ms(500);
    site.agents_answer = false;
    let call = site.submit(CUSTOMER);
    let (slow, first) = site.starts.last().cloned().expect("a start");
    site.advance_ms(400);
    let (fast, second) = site.starts.last().cloned().expect("a start");
    assert_ne!(
        (slow, first.request),
        (fast, second.request),
        "a second copy must have been sent"
    );
    assert_ne!(slow, fast);
    site.settle(fast, second.request, completed(200));
    assert!(matches!(site.result(call), Some(CallResult::Complete(_))));
    let withdrawn = |action: &Action| {
        matches!(action, Action::Cancel { agent, requests }
            if *agent == slow && requests == &[first.request])
    };
    assert!(site.other_actions.iter().any(withdrawn));
    site.settle(slow, first.request, completed(200));
    assert_eq!(site.router.in_flight(), 0);
}

#[test]
fn slots_of_agents_outside_the_claim_are_not_used_for_its_tasks() {
    let mut site = site(60);
    site.agents_answer = false;
    site.submit_tasks(CUSTOMER, Some("k"), &[(0, 0)], None);
    let claim = site.other_actions.iter().find_map(|action| match action {
        Action::Claim { claim, .. } => Some(claim.plan.clone()),
        _ => None,
    });
    let plan = claim.expect("a claim");
    assert!(
        plan.len() < 60,
        "the claim must name only some of the agents"
    );
    for agent in &plan {
        let (agent, slots) = (*agent, SLOTS);
        site.handle(Event::Recall {
            agent,
            slots,
            ticket: 0,
        });
    }
    grant_claim(&mut site, 1, None);
    assert!(
        site.starts.is_empty(),
        "no agent that the claim names has granted a slot"
    );
    let wanted = site.other_actions.iter().find_map(|action| match action {
        Action::Want { agent, count } if *count > 0 => Some(*agent),
        _ => None,
    });
    let agent = wanted.expect("an agent must be asked although others have granted slots");
    assert!(
        plan.contains(&agent),
        "the agent must be one that the claim names"
    );
    site.handle(Event::Granted { agent, slots: 1 });
    assert_eq!(site.starts.len(), 1);
}

#[test]
fn a_refusal_of_a_second_send_does_not_prove_that_the_first_did_not_run() {
    let mut site = site(3);
    site.agents_answer = false;
    let call = site.submit_tasks(CUSTOMER, Some("k"), &[(0, 0)], None);
    grant_claim(&mut site, 1, None);
    let (agent, first) = site.starts[0].clone();
    site.handle(Event::LinkDown(agent));
    site.handle(Event::StartLost {
        agent,
        request: first.request,
        loss: LossKind::AfterSending,
    });
    site.handle(Event::LinkUp(agent));
    let second = site.starts[1].1.request;
    let refused = Outcome::NotRun(NotRunReason::Refused, NotRunProof::RefusedByGate);
    site.settle(agent, second, refused);
    assert_eq!(
        site.starts.len(),
        2,
        "the first send may still start the task"
    );
    let unknown = CallResult::Failed(FailureKind::Unknown);
    assert_eq!(site.result(call), Some(&unknown));
}
