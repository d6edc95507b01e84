//! A real agent beside a stand-in endpoint, driven by a fake entry over loopback.

#[allow(dead_code, reason = "each test file uses only some of the fixtures")]
mod common;

use common::*;
use hemlock_agent::prelude::*;
use hemlock_gate::prelude::*;
use hemlock_http::prelude::*;
use hemlock_standin::prelude::*;
use hemlock_types::prelude::*;
use hemlock_wire::message::agent::{AgentReply, AgentRequest};
use hemlock_wire::message::entry::EntryRequest;

fn start_agent(endpoint: &StandinEndpoint, slots: u16) -> AgentHandle {
    Agent::start(settings(Some(endpoint.address()), slots)).expect("free ports")
}

fn stop_all(agent: AgentHandle, endpoint: StandinEndpoint) -> RequestCounts {
    agent.stop();
    agent.join();
    endpoint.stop()
}

/// Guards against a repeated start that runs its task again, and against a start that runs after its
/// submission was fenced.
#[test]
fn runs_a_task_once() {
    let endpoint = standin();
    let agent = start_agent(&endpoint, 8);
    run_local(async {
        let entry = FakeEntry::connect(agent.wire_address()).await;
        wait_until("all credits", || entry.pushed.granted() == 8).await;
        let first = spec(agent.incarnation(), 1, Some(submission("a")));
        let again = TaskSpec {
            request: RequestId(2),
            ..first.clone()
        };
        let outcome = entry.start(first).await;
        assert_eq!(body(&outcome)["key"], "k1");
        assert_eq!(entry.start(again).await, outcome);
        let known = entry.fence(submission("a"), 2).await;
        assert_eq!(known, [(TaskIndex(0), TaskRecord::Ended(outcome))]);
        let late = TaskSpec {
            task: TaskIndex(1),
            ..spec(agent.incarnation(), 3, Some(submission("a")))
        };
        assert_eq!(entry.start(late).await, Refusal::Fenced.outcome());
    });
    let seen = stop_all(agent, endpoint);
    assert_eq!((seen.started, seen.duplicate_starts, seen.cut), (1, 0, 0));
}

/// Guards against an endpoint fault that is reported as a complete answer, or an error response that
/// is reported as a failure.
#[test]
fn distinguishes_incomplete_answers_from_complete_ones() {
    let endpoint = standin();
    let agent = start_agent(&endpoint, 8);
    let set = |faults| endpoint.set_faults(faults);
    run_local(async {
        let entry = FakeEntry::connect(agent.wire_address()).await;
        let start = |request| entry.start(spec(agent.incarnation(), request, None));
        set(Faults {
            fail_percent: 100,
            ..Faults::default()
        });
        assert!(matches!(start(1).await, Outcome::Complete(answer) if answer.status == 500));
        set(Faults {
            truncate_percent: 100,
            ..Faults::default()
        });
        assert_eq!(start(2).await, Outcome::Failed(FailureKind::BrokenAnswer));
        set(Faults {
            cut_percent: 100,
            ..Faults::default()
        });
        let cut = start(3).await;
        assert!(
            matches!(cut, Outcome::Failed(_)),
            "the connection was cut: {cut:?}"
        );
        set(Faults {
            double_percent: 100,
            ..Faults::default()
        });
        assert_eq!(body(&start(4).await)["key"], "k4");
        set(Faults {
            hang_percent: 100,
            ..Faults::default()
        });
        let short_deadline = TaskSpec {
            deadline_ms: 50,
            ..spec(agent.incarnation(), 5, None)
        };
        assert_eq!(
            entry.start(short_deadline).await,
            Outcome::Failed(FailureKind::Deadline)
        );
        set(Faults::default());
        assert_eq!(body(&start(6).await)["key"], "k6");
    });
    stop_all(agent, endpoint);
}

/// Guards against a planned stop that interrupts running tasks or accepts new ones.
#[test]
fn drain_completes_running_tasks() {
    let endpoint = standin();
    let agent = start_agent(&endpoint, 4);
    run_local(async {
        let entry = FakeEntry::connect(agent.wire_address()).await;
        let running = (1..=4).map(|request| {
            let slow = with_work(spec(agent.incarnation(), request, None), 300);
            entry.start(slow)
        });
        let drain = async {
            wait_until("four running tasks", || endpoint.counts().running == 4).await;
            agent.begin_drain();
            wait_until("the drain notice", || {
                entry.pushed.has(EntryRequest::Leaving)
            })
            .await;
            entry.start(spec(agent.incarnation(), 9, None)).await
        };
        let (outcomes, refused) = futures::join!(futures::future::join_all(running), drain);
        assert_eq!(refused, Refusal::Leaving.outcome());
        for (index, outcome) in outcomes.iter().enumerate() {
            assert_eq!(body(outcome)["key"], format!("k{}", index + 1));
        }
        entry.connection.until_closed().await;
    });
    agent.join();
    let seen = endpoint.stop();
    assert_eq!((seen.started, seen.finished, seen.cut), (4, 4, 0));
}

/// Guards against a restarted agent that runs a start meant for the process before it.
#[test]
fn restart_at_the_same_address_refuses_earlier_starts() {
    let endpoint = standin();
    let first = start_agent(&endpoint, 8);
    let (address, earlier) = (first.wire_address(), first.incarnation());
    first.kill();
    first.join();
    let mut settings = settings(Some(endpoint.address()), 8);
    settings.wire_address = address;
    let second = Agent::start(settings).expect("the address is free again");
    run_local(async {
        let entry = FakeEntry::connect(address).await;
        let outcome = entry.start(spec(earlier, 1, Some(submission("a")))).await;
        assert_eq!(outcome, Refusal::AnotherIncarnation.outcome());
    });
    assert_eq!(stop_all(second, endpoint).started, 0);
}

/// Guards against two faults after the endpoint is killed: reporting its running task as not run, and
/// not using the endpoint again once it is back.
#[test]
fn killed_endpoint_is_used_again_after_its_restart() {
    let endpoint = standin();
    let agent = start_agent(&endpoint, 8);
    let address = endpoint.address();
    run_local(async {
        let entry = FakeEntry::connect(agent.wire_address()).await;
        let start = |request| entry.start(spec(agent.incarnation(), request, None));
        let slow = with_work(spec(agent.incarnation(), 1, Some(submission("a"))), 60_000);
        let kill = async {
            wait_until("one running task", || endpoint.counts().running == 1).await;
            endpoint.kill();
        };
        let (lost, ()) = futures::join!(entry.start(slow), kill);
        assert!(
            matches!(lost, Outcome::Failed(_)),
            "the start was sent, so it must not be \"not run\": {lost:?}"
        );
        assert_eq!(start(2).await, Refusal::NoEndpoint.outcome());
        let restarted = StandinEndpoint::start(StandinConfig::new(SERVICE).with_address(address));
        let restarted = restarted.expect("the address is free again");
        let mut request = 3;
        while start(request).await == Refusal::NoEndpoint.outcome() {
            request += 1;
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        }
        assert_eq!(restarted.counts().started, 1);
    });
    agent.stop();
    agent.join();
}

/// Guards against an invalid announcement that is accepted, and a change of service that has no
/// effect on the next starts.
#[test]
fn endpoint_announces_itself_and_changes_its_service() {
    let endpoint = standin();
    let agent = Agent::start(settings(None, 0)).expect("free ports");
    let client = HttpClient::new(HttpClientConfig::default());
    let put = |body: String| {
        let call = HttpCall::new(Method::Put, agent.http_address(), "/v1/endpoint");
        client
            .send(&call.with_body(body, "application/json"))
            .expect("an answer")
            .status
    };
    let get = |path: &str| {
        let call = HttpCall::new(Method::Get, agent.http_address(), path);
        client.send(&call).expect("an answer").status
    };
    let offer = |service: &str| {
        let address = endpoint.address();
        format!(r#"{{"service":"{service}","slots":2,"connections":2,"address":"{address}"}}"#)
    };
    assert_eq!(get("/readyz"), 503);
    assert_eq!(put(offer("No Name")), 422);
    assert_eq!(put("{}".to_owned()), 400);
    assert_eq!(put(offer("allocate")), 200);
    run_local(async {
        let entry = FakeEntry::connect(agent.wire_address()).await;
        let start = |request| entry.start(spec(agent.incarnation(), request, None));
        assert_eq!(start(1).await, Refusal::AnotherService.outcome());
        assert_eq!(put(offer(SERVICE)), 200);
        assert_eq!(body(&start(2).await)["key"], "k2");
    });
    assert_eq!(get("/readyz"), 200);
    assert_eq!(get("/metrics"), 200);
    assert_eq!(get("/v2"), 404);
    stop_all(agent, endpoint);
}

/// Guards against a cancellation that stops a running task, and one that fails to refuse starts that
/// arrive after it.
#[test]
fn cancels_only_starts_that_have_not_arrived() {
    let endpoint = standin();
    let agent = start_agent(&endpoint, 1);
    run_local(async {
        let entry = FakeEntry::connect(agent.wire_address()).await;
        let slow = with_work(spec(agent.incarnation(), 1, None), 200);
        let cancel = async {
            wait_until("one running task", || endpoint.counts().running == 1).await;
            let requests = (1..=1_000).map(RequestId).collect();
            entry.call(AgentRequest::Cancel { requests }).await
        };
        let (outcome, cancelled) = futures::join!(entry.start(slow), cancel);
        assert_eq!(body(&outcome)["key"], "k1");
        let Ok(AgentReply::Cancelled { outcomes }) = cancelled else {
            panic!("expected an answer to the cancellation: {cancelled:?}");
        };
        assert_eq!(outcomes[0], (RequestId(1), None));
        let revoked = Some(Refusal::Revoked.outcome());
        assert!(outcomes[1..].iter().all(|(_, outcome)| *outcome == revoked));
        let late = entry.start(spec(agent.incarnation(), 500, None)).await;
        assert_eq!(late, Refusal::Revoked.outcome());
    });
    assert_eq!(stop_all(agent, endpoint).started, 1);
}

/// Guards against a task that is stopped, or whose outcome is forgotten, when the connection of its
/// entry closes.
#[test]
fn task_and_outcome_survive_the_loss_of_the_entry() {
    let endpoint = standin();
    let agent = start_agent(&endpoint, 8);
    run_local(async {
        let first = FakeEntry::connect(agent.wire_address()).await;
        let slow = with_work(spec(agent.incarnation(), 1, Some(submission("a"))), 200);
        let request = AgentRequest::Start(slow);
        let call = first.connection.link.call::<_, AgentReply>(&request);
        let lost = tokio::time::timeout(std::time::Duration::from_millis(50), call).await;
        assert!(lost.is_err(), "the task must still be running");
        first.connection.close();
        let second = FakeEntry::connect(agent.wire_address()).await;
        loop {
            let known = second.fence(submission("a"), 2).await;
            match &known[..] {
                [(TaskIndex(0), TaskRecord::Running)] => {}
                [(TaskIndex(0), TaskRecord::Ended(outcome))] => {
                    assert_eq!(body(outcome)["key"], "k1");
                    break;
                }
                other => panic!("the agent has no record of the start: {other:?}"),
            }
            tokio::time::sleep(std::time::Duration::from_millis(10)).await;
        }
    });
    let seen = stop_all(agent, endpoint);
    assert_eq!((seen.started, seen.finished, seen.cut), (1, 1, 0));
}

/// Guards against answers that are matched to the wrong start when tasks end in another order than
/// they started.
#[test]
fn answers_out_of_order_reach_their_own_starts() {
    let endpoint = standin();
    let agent = start_agent(&endpoint, 8);
    run_local(async {
        let entry = FakeEntry::connect(agent.wire_address()).await;
        // The first task started is the last to end, so the answers arrive in reverse order.
        let starts = (1..=8).map(|request| {
            let slow = with_work(spec(agent.incarnation(), request, None), 20 * (9 - request));
            entry.start(slow)
        });
        let outcomes = futures::future::join_all(starts).await;
        for (index, outcome) in outcomes.iter().enumerate() {
            assert_eq!(body(outcome)["key"], format!("k{}", index + 1));
        }
    });
    assert_eq!(stop_all(agent, endpoint).peak_running, 8);
}
