//! A real agent beside a stand-in endpoint, driven by a fake entry over loopback.

#[allow(dead_code, reason = "each test file uses a part")]
mod common;

use common::*;
use hemlock_agent::prelude::*;
use hemlock_gate::prelude::*;
use hemlock_http::prelude::*;
use hemlock_standin::prelude::*;
use hemlock_types::prelude::*;
use hemlock_wire::message::agent::{AgentReply, AgentRequest};
use hemlock_wire::message::entry::EntryRequest;

fn started(endpoint: &StandinEndpoint, slots: u16) -> AgentHandle {
    Agent::start(settings(Some(endpoint.address()), slots)).expect("free ports")
}

fn end(agent: AgentHandle, endpoint: StandinEndpoint) -> RequestCounts {
    agent.stop();
    agent.join();
    endpoint.stop()
}

#[test]
fn runs_a_task_once() {
    let endpoint = standin();
    let agent = started(&endpoint, 8);
    run(async {
        let entry = FakeEntry::connect(agent.wire_address()).await;
        until("credits", || entry.pushed.granted() == 8).await;
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
    let seen = end(agent, endpoint);
    assert_eq!((seen.started, seen.duplicate_starts, seen.cut), (1, 0, 0));
}

#[test]
fn tells_broken_answers_from_whole_ones() {
    let endpoint = standin();
    let agent = started(&endpoint, 8);
    let set = |faults| endpoint.set_faults(faults);
    run(async {
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
        assert!(matches!(cut, Outcome::Failed(_)), "cut: {cut:?}");
        set(Faults {
            double_percent: 100,
            ..Faults::default()
        });
        assert_eq!(body(&start(4).await)["key"], "k4");
        set(Faults {
            hang_percent: 100,
            ..Faults::default()
        });
        let hasty = TaskSpec {
            deadline_ms: 50,
            ..spec(agent.incarnation(), 5, None)
        };
        assert_eq!(
            entry.start(hasty).await,
            Outcome::Failed(FailureKind::Deadline)
        );
        set(Faults::default());
        assert_eq!(body(&start(6).await)["key"], "k6");
    });
    end(agent, endpoint);
}

#[test]
fn drain_cuts_nothing() {
    let endpoint = standin();
    let agent = started(&endpoint, 4);
    run(async {
        let entry = FakeEntry::connect(agent.wire_address()).await;
        let running = (1..=4).map(|request| {
            let slow = with_work(spec(agent.incarnation(), request, None), 300);
            entry.start(slow)
        });
        let drain = async {
            until("four running", || endpoint.counts().running == 4).await;
            agent.begin_drain();
            until("the word", || entry.pushed.has(EntryRequest::Leaving)).await;
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

#[test]
fn restart_at_the_same_address_refuses_earlier_starts() {
    let endpoint = standin();
    let first = started(&endpoint, 8);
    let (address, earlier) = (first.wire_address(), first.incarnation());
    first.kill();
    first.join();
    let mut settings = settings(Some(endpoint.address()), 8);
    settings.wire_address = address;
    let second = Agent::start(settings).expect("the address is free again");
    run(async {
        let entry = FakeEntry::connect(address).await;
        let outcome = entry.start(spec(earlier, 1, Some(submission("a")))).await;
        assert_eq!(outcome, Refusal::AnotherIncarnation.outcome());
    });
    assert_eq!(end(second, endpoint).started, 0);
}

#[test]
fn endpoint_that_dies_is_left_and_taken_back() {
    let endpoint = standin();
    let agent = started(&endpoint, 8);
    let address = endpoint.address();
    run(async {
        let entry = FakeEntry::connect(agent.wire_address()).await;
        let start = |request| entry.start(spec(agent.incarnation(), request, None));
        let slow = with_work(spec(agent.incarnation(), 1, Some(submission("a"))), 60_000);
        let dies = async {
            until("one running", || endpoint.counts().running == 1).await;
            endpoint.kill();
        };
        let (lost, ()) = futures::join!(entry.start(slow), dies);
        assert!(
            matches!(lost, Outcome::Failed(_)),
            "lost after sending: {lost:?}"
        );
        assert_eq!(start(2).await, Refusal::NoEndpoint.outcome());
        let back = StandinEndpoint::start(StandinConfig::new(SERVICE).with_address(address));
        let back = back.expect("the address is free again");
        let mut request = 3;
        while start(request).await == Refusal::NoEndpoint.outcome() {
            request += 1;
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        }
        assert_eq!(back.counts().started, 1);
    });
    agent.stop();
    agent.join();
}

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
    run(async {
        let entry = FakeEntry::connect(agent.wire_address()).await;
        let start = |request| entry.start(spec(agent.incarnation(), request, None));
        assert_eq!(start(1).await, Refusal::AnotherService.outcome());
        assert_eq!(put(offer(SERVICE)), 200);
        assert_eq!(body(&start(2).await)["key"], "k2");
    });
    assert_eq!(get("/readyz"), 200);
    assert_eq!(get("/metrics"), 200);
    assert_eq!(get("/v2"), 404);
    end(agent, endpoint);
}

#[test]
fn cancels_only_what_has_not_arrived() {
    let endpoint = standin();
    let agent = started(&endpoint, 1);
    run(async {
        let entry = FakeEntry::connect(agent.wire_address()).await;
        let slow = with_work(spec(agent.incarnation(), 1, None), 200);
        let wave = async {
            until("one running", || endpoint.counts().running == 1).await;
            let requests = (1..=1_000).map(RequestId).collect();
            entry.ask(AgentRequest::Cancel { requests }).await
        };
        let (outcome, wave) = futures::join!(entry.start(slow), wave);
        assert_eq!(body(&outcome)["key"], "k1");
        let Ok(AgentReply::Cancelled { outcomes }) = wave else {
            panic!("not cancelled: {wave:?}");
        };
        assert_eq!(outcomes[0], (RequestId(1), None));
        let revoked = Some(Refusal::Revoked.outcome());
        assert!(outcomes[1..].iter().all(|(_, outcome)| *outcome == revoked));
        let late = entry.start(spec(agent.incarnation(), 500, None)).await;
        assert_eq!(late, Refusal::Revoked.outcome());
    });
    assert_eq!(end(agent, endpoint).started, 1);
}

#[test]
fn lost_entry_leaves_its_task_running_and_its_outcome_kept() {
    let endpoint = standin();
    let agent = started(&endpoint, 8);
    run(async {
        let first = FakeEntry::connect(agent.wire_address()).await;
        let slow = with_work(spec(agent.incarnation(), 1, Some(submission("a"))), 200);
        let request = AgentRequest::Start(slow);
        let call = first.connection.link.call::<_, AgentReply>(&request);
        let lost = tokio::time::timeout(std::time::Duration::from_millis(50), call).await;
        assert!(lost.is_err(), "the task outlasts the entry");
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
                other => panic!("the start is forgotten: {other:?}"),
            }
            tokio::time::sleep(std::time::Duration::from_millis(10)).await;
        }
    });
    let seen = end(agent, endpoint);
    assert_eq!((seen.started, seen.finished, seen.cut), (1, 1, 0));
}

#[test]
fn answers_that_cross_reach_their_own_starts() {
    let endpoint = standin();
    let agent = started(&endpoint, 8);
    run(async {
        let entry = FakeEntry::connect(agent.wire_address()).await;
        // The first to start is the last to end, and the answers come in reverse.
        let starts = (1..=8).map(|request| {
            let slow = with_work(spec(agent.incarnation(), request, None), 20 * (9 - request));
            entry.start(slow)
        });
        let outcomes = futures::future::join_all(starts).await;
        for (index, outcome) in outcomes.iter().enumerate() {
            assert_eq!(body(outcome)["key"], format!("k{}", index + 1));
        }
    });
    assert_eq!(end(agent, endpoint).peak_running, 8);
}
