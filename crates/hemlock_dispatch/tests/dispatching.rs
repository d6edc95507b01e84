//! Single decisions of the dispatcher, each under the load pattern that it answers.

mod fixture;

use fixture::{Fixture, job, queue, task};
use hemlock_dispatch::prelude::*;
use hemlock_jobs::prelude::*;

#[test]
fn a_job_gets_all_its_tasks_started_where_there_is_room() {
    let mut world = Fixture::new(2);
    world.submit(1, job(8, 6_000, 60));
    let starts = world.poll();
    assert_eq!(starts.len(), 8);
    assert!(starts.iter().all(|(_, start)| start.run == RunNumber(1)));
}

#[test]
fn capacity_is_never_passed() {
    let mut world = Fixture::new(1);
    for id in 0..5 {
        world.submit(id, job(8, 6_200, 60));
    }
    // An instance of 64 cores holds ten tasks of 6.2 cores.
    assert_eq!(world.poll().len(), 10);
    world.end(0, task(0, 0), 1, RunEnd::Done);
    assert_eq!(world.poll().len(), 1);
}

#[test]
fn a_task_whose_run_failed_goes_to_another_instance() {
    let mut world = Fixture::new(2);
    world.submit(1, job(1, 6_000, 60));
    let (first, _) = world.poll()[0].clone();
    world.end(first, task(1, 0), 1, RunEnd::Failed);
    let (second, start) = world.poll()[0].clone();
    assert_ne!(first, second);
    assert_eq!(start.run, RunNumber(1).next_recorded());
}

#[test]
fn an_instance_that_fails_everything_gets_no_more_work() {
    let mut world = Fixture::new(3);
    let mut failed = 0;
    for id in 0..60 {
        world.submit(id, job(1, 6_000, 60).with_best_effort(true));
        for (agent, start) in world.poll() {
            let end = match agent {
                0 => RunEnd::Failed,
                _ => RunEnd::Done,
            };
            failed += u32::from(end == RunEnd::Failed);
            world.end(agent, start.task, start.run.0, end);
        }
        world.poll().into_iter().for_each(|(agent, start)| {
            world.end(agent, start.task, start.run.0, RunEnd::Done);
        });
        world.advance_ms(5);
    }
    assert!(
        failed <= 3,
        "{failed} runs went to an instance that fails everything"
    );
}

#[test]
fn a_burst_is_served_in_the_order_of_what_can_still_be_prompt() {
    let mut world = Fixture::with_queues(1, vec![queue("urgent", 0), queue("later", 2)]);
    // The less urgent work came first, and far more of it than there is room for.
    for id in 0..10 {
        world.submit_to("later", id, job(5, 6_000, 900));
    }
    assert_eq!(world.poll().len(), 10);
    world.submit_to("urgent", 100, job(2, 6_000, 60));
    world.end(0, task(0, 0), 1, RunEnd::Done);
    let starts = world.poll();
    assert_eq!(starts[0].1.task.job, JobId(100));
}

#[test]
fn a_job_that_has_begun_is_finished_before_another_is_begun() {
    let mut world = Fixture::with_queues(1, vec![queue("urgent", 0), queue("later", 2)]);
    world.submit_to("later", 1, job(12, 6_000, 900));
    assert_eq!(world.poll().len(), 10);
    world.submit_to("urgent", 2, job(2, 6_000, 60));
    world.end(0, task(1, 0), 1, RunEnd::Done);
    assert_eq!(world.poll()[0].1.task, task(1, 10));
}

#[test]
fn a_job_that_has_begun_is_finished_even_when_it_can_only_be_late() {
    let mut world = Fixture::new(1);
    world.submit(1, job(11, 6_000, 60));
    assert_eq!(world.poll().len(), 10);
    world.advance_ms(200);
    world.submit(2, job(1, 6_000, 60));
    world.end(0, task(1, 0), 1, RunEnd::Done);
    assert_eq!(world.poll()[0].1.task, task(1, 10));
}

#[test]
fn a_job_that_can_only_be_late_goes_behind_one_that_can_be_prompt() {
    let mut world = Fixture::new(1);
    world.submit(1, job(10, 6_000, 60));
    assert_eq!(world.poll().len(), 10);
    world.submit(2, job(1, 6_000, 60));
    // The objective of 1.6 x 60 + 60 ms has passed for the job that waits.
    world.advance_ms(200);
    world.submit(3, job(1, 6_000, 60));
    world.end(0, task(1, 0), 1, RunEnd::Done);
    assert_eq!(world.poll()[0].1.task.job, JobId(3));
}

#[test]
fn a_step_waits_for_the_steps_it_depends_on() {
    let mut world = Fixture::new(1);
    let mut second = StepSpec::new(2);
    second.depends_on = vec![0];
    let spec = JobSpec::new(bytes::Bytes::new(), vec![StepSpec::new(2), second]);
    world.submit(1, spec);
    assert_eq!(world.poll().len(), 2);
    world.end(0, task(1, 0), 1, RunEnd::Done);
    assert_eq!(world.poll().len(), 0);
    world.end(0, task(1, 1), 1, RunEnd::Done);
    let starts = world.poll();
    assert!(starts.iter().all(|(_, start)| start.task.step == 1));
    assert_eq!(starts.len(), 2);
}

#[test]
fn labels_and_spread_are_kept() {
    let mut world = Fixture::new(3);
    let mut step = StepSpec::new(6);
    step.max_per_instance = 1;
    world.submit(1, JobSpec::new(bytes::Bytes::new(), vec![step]));
    let agents: std::collections::BTreeSet<u64> =
        world.poll().into_iter().map(|(agent, _)| agent).collect();
    assert_eq!(agents.len(), 3);
    let mut labelled = StepSpec::new(1);
    labelled.required_label = Some("rack-2".to_owned());
    world.submit(2, JobSpec::new(bytes::Bytes::new(), vec![labelled]));
    assert_eq!(world.poll()[0].0, 2);
}

#[test]
fn work_that_cannot_be_prompt_is_rejected_with_a_time_to_return() {
    let mut world = Fixture::new(1);
    let mut refusal = None;
    for id in 0..200 {
        match world.admit(&job(4, 6_000, 200)) {
            Ok(()) => world.submit(id, job(4, 6_000, 200)),
            Err(refused) => {
                refusal = Some((id, refused));
                break;
            }
        }
    }
    let (accepted, refused) = refusal.expect("the queue is bounded");
    // Each job is 75 ms of work for the whole instance. It takes 200 ms itself and has 380, so its
    // slack is 180 ms, of which the third would wait 150.
    assert_eq!(
        accepted, 2,
        "what can be prompt is taken in, and nothing else"
    );
    assert!(refused.retry_after_ms >= 1_000);
}

#[test]
fn the_work_of_a_silent_agent_is_started_elsewhere_once_its_leases_are_over() {
    let mut world = Fixture::new(2);
    world.submit(1, job(1, 6_000, 900));
    let (silent, _) = world.poll()[0].clone();
    world.close(silent);
    let expiry_ms = DispatchSettings::default().expiry().as_ms();
    let mut waited_ms = 0;
    while waited_ms < expiry_ms {
        assert!(
            world.poll().is_empty(),
            "a run may be alive after {waited_ms} ms"
        );
        world.advance_others_ms(silent, 50);
        waited_ms += 50;
    }
    world.advance_others_ms(silent, 100);
    let (other, start) = world.poll()[0].clone();
    assert_ne!(other, silent);
    assert_eq!(start.run, RunNumber(1).next_recorded());
}

#[test]
fn a_new_leader_starts_nothing_that_an_unheard_agent_may_run() {
    let mut book = fixture::book(vec![queue("searches", 0)]);
    book.apply(&Batch::new(
        0,
        vec![
            Command::Lead,
            Command::Enlist(AgentId(0)),
            Command::Enlist(AgentId(1)),
            fixture::acceptance(1, job(1, 6_000, 900)),
        ],
    ));
    let mut world = Fixture::on(book, 1);
    assert!(world.poll().is_empty(), "agent 1 may run the task");
    let running = RunReport {
        task: task(1, 0),
        run: RunNumber(1),
        end: None,
        took_ms: 0,
    };
    let adoption = world.register(1, vec![running]);
    assert!(adoption.stops.is_empty());
    assert!(world.poll().is_empty(), "it runs at agent 1");
}

#[test]
fn a_new_leader_starts_open_jobs_at_once_when_every_agent_was_heard() {
    let mut book = fixture::book(vec![queue("searches", 0)]);
    book.apply(&Batch::new(
        0,
        vec![
            Command::Lead,
            Command::Enlist(AgentId(0)),
            fixture::acceptance(1, job(1, 6_000, 900)),
            Command::Lead,
        ],
    ));
    let mut world = Fixture::on(book, 1);
    let starts = world.poll();
    assert_eq!(starts.len(), 1);
    assert!(
        starts[0].1.run > RunNumber(1),
        "the number may have been used before"
    );
}

#[test]
fn an_end_told_again_is_recorded_again_until_it_is_durable() {
    let mut world = Fixture::new(1);
    world.submit(1, job(1, 6_000, 60));
    world.poll();
    let ended = RunReport {
        task: task(1, 0),
        run: RunNumber(1),
        end: Some(RunEnd::Done),
        took_ms: 60,
    };
    assert_eq!(world.report(0, ended), EndVerdict::Record(TaskEnd::Done));
    // The agent connects anew before the record is durable, and tells it again.
    let adoption = world.register(0, vec![ended]);
    assert_eq!(
        adoption.ends,
        vec![(ended, EndVerdict::Record(TaskEnd::Done))]
    );
}

#[test]
fn runs_of_a_cancelled_job_are_stopped_and_keep_their_room_until_they_are_over() {
    let mut world = Fixture::new(1);
    world.submit(1, job(10, 6_000, 900));
    assert_eq!(world.poll().len(), 10);
    world.cancel(1);
    world.submit(2, job(1, 6_000, 60));
    let orders = world.poll_orders();
    let stops: usize = orders.iter().map(|order| order.stops.len()).sum();
    let starts: usize = orders.iter().map(|order| order.starts.len()).sum();
    assert_eq!((stops, starts), (10, 0));
    world.end(0, task(1, 3), 1, RunEnd::Stopped);
    assert_eq!(world.poll().len(), 1);
}

#[test]
fn a_slow_instance_gets_work_only_when_the_others_would_take_longer() {
    let mut world = Fixture::new(3);
    for id in 0..30 {
        world.submit(id, job(1, 6_000, 200));
        for (agent, start) in world.poll() {
            let took_ms = if agent == 0 { 1_300 } else { 200 };
            world.end_after(agent, start.task, start.run.0, RunEnd::Done, took_ms);
        }
        world.advance_ms(5);
    }
    let mut at_slow = 0;
    for id in 100..120 {
        world.submit(id, job(1, 3_000, 200));
        at_slow += world.poll().iter().filter(|(agent, _)| *agent == 0).count();
    }
    assert_eq!(at_slow, 0);
}

#[test]
fn a_run_that_stood_still_is_made_again_elsewhere_and_does_not_count_as_an_attempt() {
    let mut world = Fixture::new(2);
    world.submit(1, job(1, 6_000, 60));
    let (first, start) = world.poll()[0].clone();
    assert_eq!(start.stall_after_ms, 250);
    world.end(first, task(1, 0), 1, RunEnd::Stalled);
    let (second, _) = world.poll()[0].clone();
    assert_ne!(first, second);
    let open = world.book.job(JobId(1)).and_then(JobRecord::open);
    assert_eq!(open.map(|open| open.steps[0][0].failures), Some(0));
}

#[test]
fn a_job_that_cannot_end_before_its_caller_leaves_is_rejected_at_once() {
    let mut world = Fixture::new(1);
    let spec = job(1, 6_000, 200);
    let within = |ms| Some(hemlock_types::prelude::DurationMs::new(ms));
    assert!(world.admit_within(&spec, within(99)).is_err());
    assert!(
        world.admit_within(&spec, within(100)).is_ok(),
        "declared durations may be too long"
    );
}
