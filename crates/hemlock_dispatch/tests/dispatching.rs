//! Individual decisions of a dispatcher that is the only one to use its instances.

mod fixture;

use fixture::{Fixture, job, queue, task};
use hemlock_dispatch::prelude::*;
use hemlock_jobs::prelude::*;

#[test]
fn all_tasks_start_when_capacity_is_free() {
    let mut fixture = Fixture::new(2);
    fixture.submit(1, job(8, 6_000, 60));
    let starts = fixture.poll();
    assert_eq!(starts.len(), 8);
    assert!(starts.iter().all(|(_, start)| start.run == RunNumber(1)));
}

#[test]
fn running_tasks_never_exceed_capacity() {
    let mut fixture = Fixture::new(1);
    for id in 0..5 {
        fixture.submit(id, job(8, 6_200, 60));
    }
    // An instance of 64 cores holds ten tasks of 6.2 cores.
    assert_eq!(fixture.poll().len(), 10);
    fixture.end(0, task(0, 0), 1, RunEnd::Done);
    assert_eq!(fixture.poll().len(), 1);
}

#[test]
fn a_failed_task_is_retried_on_another_instance() {
    let mut fixture = Fixture::new(2);
    fixture.submit(1, job(1, 6_000, 60));
    let (first, _) = fixture.poll()[0].clone();
    fixture.end(first, task(1, 0), 1, RunEnd::Failed);
    let (second, start) = fixture.poll()[0].clone();
    assert_ne!(first, second);
    assert_eq!(start.run, RunNumber(1).next_recorded());
}

#[test]
fn an_instance_that_fails_every_run_is_ejected() {
    let mut fixture = Fixture::new(3);
    let mut failed = 0;
    for id in 0..60 {
        fixture.submit(id, job(1, 6_000, 60).with_best_effort(true));
        for (agent, start) in fixture.poll() {
            let end = match agent {
                0 => RunEnd::Failed,
                _ => RunEnd::Done,
            };
            failed += u32::from(end == RunEnd::Failed);
            fixture.end(agent, start.task, start.run.0, end);
        }
        fixture.poll().into_iter().for_each(|(agent, start)| {
            fixture.end(agent, start.task, start.run.0, RunEnd::Done);
        });
        fixture.advance_ms(5);
    }
    assert!(
        failed <= 3,
        "{failed} runs went to an instance that fails every run"
    );
}

#[test]
fn urgent_work_overtakes_an_earlier_burst_of_less_urgent_work() {
    let mut fixture = Fixture::with_queues(1, vec![queue("urgent", 0), queue("later", 2)]);
    // Less urgent work arrives first, and far more than fits.
    for id in 0..10 {
        fixture.submit_to("later", id, job(5, 6_000, 900));
    }
    assert_eq!(fixture.poll().len(), 10);
    fixture.submit_to("urgent", 100, job(2, 6_000, 60));
    fixture.end(0, task(0, 0), 1, RunEnd::Done);
    let starts = fixture.poll();
    assert_eq!(starts[0].1.task.job, JobId(100));
}

#[test]
fn a_started_job_finishes_before_another_starts() {
    let mut fixture = Fixture::with_queues(1, vec![queue("urgent", 0), queue("later", 2)]);
    fixture.submit_to("later", 1, job(12, 6_000, 900));
    assert_eq!(fixture.poll().len(), 10);
    fixture.submit_to("urgent", 2, job(2, 6_000, 60));
    fixture.end(0, task(1, 0), 1, RunEnd::Done);
    assert_eq!(fixture.poll()[0].1.task, task(1, 10));
}

#[test]
fn a_started_job_finishes_first_even_when_it_is_late() {
    let mut fixture = Fixture::new(1);
    fixture.submit(1, job(11, 6_000, 60));
    assert_eq!(fixture.poll().len(), 10);
    fixture.advance_ms(200);
    fixture.submit(2, job(1, 6_000, 60));
    fixture.end(0, task(1, 0), 1, RunEnd::Done);
    assert_eq!(fixture.poll()[0].1.task, task(1, 10));
}

#[test]
fn a_late_job_waits_behind_one_that_can_be_on_time() {
    let mut fixture = Fixture::new(1);
    fixture.submit(1, job(10, 6_000, 60));
    assert_eq!(fixture.poll().len(), 10);
    fixture.submit(2, job(1, 6_000, 60));
    // The waiting job has missed its objective of 1.6 x 60 + 60 ms.
    fixture.advance_ms(200);
    fixture.submit(3, job(1, 6_000, 60));
    fixture.end(0, task(1, 0), 1, RunEnd::Done);
    assert_eq!(fixture.poll()[0].1.task.job, JobId(3));
}

#[test]
fn a_step_waits_for_the_steps_it_depends_on() {
    let mut fixture = Fixture::new(1);
    let mut second = StepSpec::new(2);
    second.depends_on = vec![0];
    let spec = JobSpec::new(bytes::Bytes::new(), vec![StepSpec::new(2), second]);
    fixture.submit(1, spec);
    assert_eq!(fixture.poll().len(), 2);
    fixture.end(0, task(1, 0), 1, RunEnd::Done);
    assert_eq!(fixture.poll().len(), 0);
    fixture.end(0, task(1, 1), 1, RunEnd::Done);
    let starts = fixture.poll();
    assert!(starts.iter().all(|(_, start)| start.task.step == 1));
    assert_eq!(starts.len(), 2);
}

#[test]
fn required_labels_and_instance_limits_are_respected() {
    let mut fixture = Fixture::new(3);
    let mut step = StepSpec::new(6);
    step.max_per_instance = 1;
    fixture.submit(1, JobSpec::new(bytes::Bytes::new(), vec![step]));
    let agents: std::collections::BTreeSet<u64> =
        fixture.poll().into_iter().map(|(agent, _)| agent).collect();
    assert_eq!(agents.len(), 3);
    let mut labelled = StepSpec::new(1);
    labelled.required_label = Some("rack-2".to_owned());
    fixture.submit(2, JobSpec::new(bytes::Bytes::new(), vec![labelled]));
    assert_eq!(fixture.poll()[0].0, 2);
}

#[test]
fn work_that_cannot_be_on_time_is_rejected_with_a_retry_time() {
    let mut fixture = Fixture::new(1);
    let mut refusal = None;
    for id in 0..200 {
        match fixture.admit(&job(4, 6_000, 200)) {
            Ok(()) => fixture.submit(id, job(4, 6_000, 200)),
            Err(refused) => {
                refusal = Some((id, refused));
                break;
            }
        }
    }
    let (accepted, refused) = refusal.expect("the queue is bounded");
    // Each job is 75 ms of work for the whole instance. It takes 200 ms of its objective of 380 ms,
    // which leaves a slack of 180 ms. Half of that may be spent waiting, and the third job would
    // wait 150 ms.
    assert_eq!(
        accepted, 2,
        "only jobs that can be on time must be admitted"
    );
    assert!(refused.retry_after_ms >= 1_000);
}

/// Guards against serving few large jobs in place of many small ones, and against starving them.
#[test]
fn large_jobs_are_rejected_first_but_at_most_half_of_them() {
    let mut fixture = Fixture::new(1);
    // 75 of the 90 ms that a usual job may wait.
    fixture.submit(1, job(4, 6_000, 200));
    let (mut usual, mut large) = (0, 0);
    for _ in 0..40 {
        for _ in 0..9 {
            usual += u32::from(fixture.admit(&job(4, 6_000, 200)).is_ok());
        }
        match fixture.admit(&job(16, 6_000, 200)) {
            Ok(()) => large += 1,
            Err(refused) => {
                assert_eq!(refused.cause, RejectionCause::Size);
                assert_eq!(refused.size, RelativeSize::Large);
            }
        }
    }
    assert_eq!(usual, 360);
    assert!((20..40).contains(&large), "{large}");
}

/// Guards against rejected callers that all come back in the same second.
#[test]
fn retry_times_of_rejected_callers_are_spread() {
    let mut fixture = Fixture::new(1);
    for id in 0..8 {
        fixture.submit(id, job(4, 6_000, 200));
    }
    let mut seconds = std::collections::BTreeMap::new();
    for _ in 0..40 {
        let refused = fixture.admit(&job(4, 6_000, 200)).expect_err("overload");
        assert!((1_000..=5_000).contains(&refused.retry_after_ms));
        *seconds.entry(refused.retry_after_ms / 1_000).or_insert(0) += 1;
    }
    assert!(seconds.len() >= 4 && seconds.values().all(|callers| *callers <= 12));
}

#[test]
fn tasks_of_a_silent_agent_restart_elsewhere_after_its_leases_expire() {
    let mut fixture = Fixture::new(2);
    fixture.submit(1, job(1, 6_000, 900));
    let (silent, lost) = fixture.poll()[0].clone();
    fixture.close_session(silent);
    let expiry_ms = DispatchSettings::default().expiry().as_ms();
    let mut waited_ms = 0;
    while waited_ms < expiry_ms {
        assert!(
            fixture.poll().is_empty(),
            "a task started while its earlier run may be alive, after {waited_ms} ms"
        );
        fixture.advance_others_ms(silent, 50);
        waited_ms += 50;
    }
    fixture.advance_others_ms(silent, 100);
    let (other, start) = fixture.poll()[0].clone();
    assert_ne!(other, silent);
    assert_eq!(start.run, RunNumber(1).next_recorded());
    let expired = fixture.dispatcher.take_expired_agents();
    assert_eq!(expired.len(), 1);
    assert_eq!(expired[0].agent, AgentId(silent));
    assert_eq!(expired[0].runs, vec![(lost.task, lost.run)]);
    assert!(expired[0].unconfirmed.as_ms() >= expiry_ms);
}

#[test]
fn a_new_leader_starts_no_task_that_an_unregistered_agent_may_run() {
    let mut store = fixture::store(vec![queue("searches", 0)]);
    store.apply(&Batch::new(
        0,
        vec![
            Command::Lead,
            Command::Enlist(AgentId(0)),
            Command::Enlist(AgentId(1)),
            fixture::acceptance(1, job(1, 6_000, 900)),
        ],
    ));
    let mut fixture = Fixture::with_store(store, 1);
    assert!(fixture.poll().is_empty(), "agent 1 may be running the task");
    let running = RunReport {
        task: task(1, 0),
        run: RunNumber(1),
        end: None,
        took_ms: 0,
    };
    let adoption = fixture.register(1, vec![running]);
    assert!(adoption.stops.is_empty());
    assert!(fixture.poll().is_empty(), "the task is running at agent 1");
}

/// Guards against tasks that the next leader starts beside their runs: an agent that had registered
/// at the end of a takeover, and whose inventory was still to come, was removed from the record.
#[test]
fn an_agent_that_has_registered_is_not_missing_at_the_end_of_a_takeover() {
    let mut store = fixture::store(vec![queue("searches", 0)]);
    let enlist = |agent| Command::Enlist(AgentId(agent));
    let commands = vec![Command::Lead, enlist(0), enlist(1), enlist(2)];
    store.apply(&Batch::new(0, commands));
    let mut fixture = Fixture::with_store(store, 1);
    fixture.dispatcher.register(fixture.now, AgentId(1));
    assert_eq!(fixture.dispatcher.take_missing_agents(), vec![]);
    fixture.now += DispatchSettings::default().expiry();
    fixture.poll();
    assert_eq!(fixture.dispatcher.take_missing_agents(), vec![AgentId(2)]);
}

#[test]
fn a_new_leader_starts_open_jobs_at_once_when_every_agent_has_registered() {
    let mut store = fixture::store(vec![queue("searches", 0)]);
    store.apply(&Batch::new(
        0,
        vec![
            Command::Lead,
            Command::Enlist(AgentId(0)),
            fixture::acceptance(1, job(1, 6_000, 900)),
            Command::Lead,
        ],
    ));
    let mut fixture = Fixture::with_store(store, 1);
    let starts = fixture.poll();
    assert_eq!(starts.len(), 1);
    assert!(
        starts[0].1.run > RunNumber(1),
        "run number 1 may have been used by the previous leader"
    );
}

/// Guards against a task that runs again although its only run has succeeded, because the run was
/// taken for lost before its agent could report the success.
#[test]
fn a_late_success_is_recorded_if_the_task_has_not_started_again() {
    let mut fixture = Fixture::new(1);
    fixture.submit(1, job(1, 6_000, 900));
    assert_eq!(fixture.poll().len(), 1);
    let expiry = DispatchSettings::default().expiry();
    fixture.advance_others_ms(0, expiry.as_ms());
    assert_eq!(fixture.poll().len(), 0, "there is no other instance");
    let done = RunReport {
        task: task(1, 0),
        run: RunNumber(1),
        end: Some(RunEnd::Done),
        took_ms: 900,
    };
    let adoption = fixture.register(0, vec![done]);
    assert_eq!(
        adoption.ends,
        vec![(done, EndAction::Record(TaskEnd::Done))]
    );
    assert_eq!(fixture.poll().len(), 0);
}

#[test]
fn a_repeated_end_is_recorded_again_until_it_is_durable() {
    let mut fixture = Fixture::new(1);
    fixture.submit(1, job(1, 6_000, 60));
    fixture.poll();
    let ended = RunReport {
        task: task(1, 0),
        run: RunNumber(1),
        end: Some(RunEnd::Done),
        took_ms: 60,
    };
    assert_eq!(fixture.report(0, ended), EndAction::Record(TaskEnd::Done));
    // The agent reconnects before the record is durable, and reports the end again.
    let adoption = fixture.register(0, vec![ended]);
    assert_eq!(
        adoption.ends,
        vec![(ended, EndAction::Record(TaskEnd::Done))]
    );
}

#[test]
fn runs_of_a_cancelled_job_hold_capacity_until_they_end() {
    let mut fixture = Fixture::new(1);
    fixture.submit(1, job(10, 6_000, 900));
    assert_eq!(fixture.poll().len(), 10);
    fixture.cancel(1);
    fixture.submit(2, job(1, 6_000, 60));
    let orders = fixture.poll_orders();
    let stops: usize = orders.iter().map(|order| order.stops.len()).sum();
    let starts: usize = orders.iter().map(|order| order.starts.len()).sum();
    assert_eq!((stops, starts), (10, 0));
    fixture.end(0, task(1, 3), 1, RunEnd::Stopped);
    assert_eq!(fixture.poll().len(), 1);
}

#[test]
fn a_slow_instance_gets_work_only_when_the_others_would_take_longer() {
    let mut fixture = Fixture::new(3);
    for id in 0..30 {
        fixture.submit(id, job(1, 6_000, 200));
        for (agent, start) in fixture.poll() {
            let took_ms = if agent == 0 { 1_300 } else { 200 };
            fixture.end_after(agent, start.task, start.run.0, RunEnd::Done, took_ms);
        }
        fixture.advance_ms(5);
    }
    let mut on_slow_instance = 0;
    for id in 100..120 {
        fixture.submit(id, job(1, 3_000, 200));
        on_slow_instance += fixture
            .poll()
            .iter()
            .filter(|(agent, _)| *agent == 0)
            .count();
    }
    assert_eq!(on_slow_instance, 0);
}

#[test]
fn a_stalled_run_is_retried_elsewhere_and_does_not_count_as_an_attempt() {
    let mut fixture = Fixture::new(2);
    fixture.submit(1, job(1, 6_000, 60));
    let (first, start) = fixture.poll()[0].clone();
    assert_eq!(start.stall_after_ms, 250);
    fixture.end(first, task(1, 0), 1, RunEnd::Stalled);
    let (second, _) = fixture.poll()[0].clone();
    assert_ne!(first, second);
    let open = fixture.store.job(JobId(1)).and_then(JobRecord::open);
    assert_eq!(open.map(|open| open.steps[0][0].failures), Some(0));
}

#[test]
fn a_job_that_cannot_end_before_its_caller_deadline_is_rejected() {
    let mut fixture = Fixture::new(1);
    let spec = job(1, 6_000, 200);
    let within = |ms| Some(hemlock_types::prelude::DurationMs::new(ms));
    assert!(fixture.admit_within(&spec, within(99)).is_err());
    assert!(
        fixture.admit_within(&spec, within(100)).is_ok(),
        "the declared duration may be twice the true one"
    );
}

/// Guards against a leader that ends because an instance's capacity shrank below what runs there, and
/// a task needs none of the exceeded resource.
#[test]
fn an_instance_that_shrank_below_its_runs_gets_no_tasks() {
    let mut fixture = Fixture::new(1);
    let accelerated = |accelerators| {
        let mut spec = job(1, 6_000, 60);
        spec.steps[0].needs.accelerators = accelerators;
        spec
    };
    fixture.set_accelerators(0, 2);
    fixture.submit(1, accelerated(2));
    assert_eq!(fixture.poll().len(), 1);
    fixture.set_accelerators(0, 1);
    fixture.submit(2, accelerated(0));
    assert_eq!(fixture.poll(), vec![]);
    fixture.set_accelerators(0, 2);
    assert_eq!(fixture.poll().len(), 1);
}
