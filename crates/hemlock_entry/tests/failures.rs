//! Failures brought about on the whole path, seen from callers and stand-ins.

mod common;

use common::{Cluster, header, wait_for};

#[test]
fn without_keepers_idempotent_work_goes_on_and_claims_are_never_told_as_not_run() {
    let mut cluster = Cluster::start(1, 2, 5);
    cluster.wait_ready();
    cluster.kill_keeper();
    for index in 0..20 {
        let reply = cluster.request(&cluster.entries[0], "search", &format!("{index}"), None);
        assert_eq!(
            reply.status, 200,
            "idempotent work needs no keeper while the lease holds"
        );
    }
    let named = cluster.request(&cluster.entries[0], "reserve", "cat", Some("k-1"));
    assert_eq!(
        (named.status, header(&named, "Hemlock-Outcome")),
        (502, "failed")
    );
    assert_ne!(header(&named, "Retry-After"), "");
    wait_for("the lease to run out", || {
        cluster.get(&cluster.entries[0], "/readyz").status == 503
    });
    let refused = cluster.request(&cluster.entries[0], "search", "late", None);
    assert_eq!(
        (refused.status, header(&refused, "Hemlock-Outcome")),
        (503, "not-run")
    );
    cluster.restart_keeper();
    wait_for("the entry to serve again", || {
        let again = cluster.request(&cluster.entries[0], "reserve", "cat", Some("k-1"));
        again.status == 200
    });
    assert_eq!(cluster.most_starts_of_a_key(), 1);
}

#[test]
fn an_agent_that_dies_with_work_in_flight_costs_no_second_start() {
    let mut cluster = Cluster::start(1, 3, 300);
    cluster.wait_ready();
    let victim = cluster.agents.remove(0);
    let replies: Vec<_> = std::thread::scope(|scope| {
        let cluster = &cluster;
        let calls: Vec<_> = (0..40)
            .map(|index| {
                scope.spawn(move || {
                    let entry = &cluster.entries[0];
                    let key = format!("key-{index}");
                    match index % 2 {
                        0 => (true, cluster.request(entry, "reserve", "cat", Some(&key))),
                        _ => (false, cluster.request(entry, "search", "cat", None)),
                    }
                })
            })
            .collect();
        let before = cluster.starts();
        wait_for("work to start", || cluster.starts() > before + 4);
        victim.kill();
        calls.into_iter().map(|call| call.join().unwrap()).collect()
    });
    for (keyed, reply) in &replies {
        let outcome = header(reply, "Hemlock-Outcome");
        match (*keyed, outcome) {
            (_, "complete") | (true, "failed") | (false, "failed") => {}
            (keyed, other) => panic!("keyed {keyed}: {other} {}", reply.status),
        }
    }
    let complete = |reply: &&(bool, hemlock_http::prelude::HttpReply)| reply.1.status == 200;
    assert!(replies.iter().filter(complete).count() >= 20);
    assert_eq!(cluster.most_starts_of_a_key(), 1);
}

#[test]
fn answers_too_large_for_the_ledger_are_fetched_from_the_agents() {
    let cluster = Cluster::start(2, 2, 5);
    cluster.wait_ready();
    let first = cluster.large_job(&cluster.entries[0], "large", 8);
    assert_eq!(first.status, 200);
    assert!(first.body.len() > 16 * 1024, "{} bytes", first.body.len());
    let before = cluster.starts();
    let again = cluster.large_job(&cluster.entries[1], "large", 8);
    assert_eq!(again.status, 200);
    assert_eq!(again.body, first.body);
    assert_eq!(cluster.starts(), before, "nothing starts again");
}

#[test]
fn bad_calls_are_refused_and_run_nothing() {
    let cluster = Cluster::start(1, 1, 5);
    cluster.wait_ready();
    let entry = &cluster.entries[0];
    let before = cluster.starts();
    let statuses: Vec<u16> = [
        "{\"submission\":\"a\",\"service\":\"portaal\",\"tasks\":[]}",
        "{\"submission\":\"a\",\"service\":\"portaal\"",
        "{\"submission\":\"a\",\"service\":\"Portaal\",\"tasks\":[{\"operation\":\"x\"}]}",
        "{\"submission\":\"a b\",\"service\":\"portaal\",\"tasks\":[{\"operation\":\"x\"}]}",
        "{\"submission\":\"a\",\"service\":\"portaal\",\"deadline_ms\":0,\"tasks\":[{\"operation\":\"x\"}]}",
        "{\"submission\":\"a\",\"service\":\"portaal\",\"colour\":1,\"tasks\":[{\"operation\":\"x\"}]}",
    ]
    .iter()
    .map(|body| cluster.post_job(entry, body.as_bytes().to_vec()).status)
    .collect();
    assert_eq!(statuses, [400; 6]);
    assert_eq!(cluster.post_job(entry, vec![0xff, 0xfe]).status, 400);
    assert_eq!(cluster.job(entry, "many", 241).status, 400);
    let elsewhere = cluster.get(entry, "/v1/jobs/never-seen");
    assert_eq!(elsewhere.status, 404);
    assert_eq!(cluster.get(entry, "/v2/anything").status, 404);
    assert_eq!(cluster.starts(), before);
}

#[test]
fn a_silent_partition_is_found_and_its_work_is_neither_lost_nor_doubled() {
    let mut cluster = Cluster::start(1, 1, 400);
    let relay = cluster.add_relayed_agent(400);
    cluster.wait_ready();
    let partitioned = |cluster: &Cluster| cluster.standins[1].counts().started;
    wait_for("work to reach both agents", || {
        std::thread::scope(|scope| {
            for _ in 0..16 {
                scope.spawn(|| cluster.request(&cluster.entries[0], "search", "warm", None));
            }
        });
        partitioned(&cluster) > 0
    });
    std::thread::scope(|scope| {
        let cluster = &cluster;
        let before = partitioned(cluster);
        let calls: Vec<_> = (0..16)
            .map(|index| {
                let key = format!("silent-{index}");
                scope.spawn(move || {
                    cluster.request(&cluster.entries[0], "reserve", "cat", Some(&key))
                })
            })
            .collect();
        wait_for("work to start behind the relay", || {
            partitioned(cluster) > before
        });
        relay.set_silent(true);
        std::thread::sleep(std::time::Duration::from_millis(5_000));
        let (before, started) = (partitioned(cluster), std::time::Instant::now());
        for _ in 0..8 {
            let reply = cluster.request(&cluster.entries[0], "search", "during", None);
            assert_eq!(reply.status, 200, "{}", header(&reply, "Hemlock-Reason"));
        }
        assert_eq!(partitioned(cluster), before, "{:?}", started.elapsed());
        relay.set_silent(false);
        for call in calls {
            let reply = call.join().unwrap();
            let outcome = header(&reply, "Hemlock-Outcome").to_owned();
            assert_eq!(outcome, "complete", "{}", header(&reply, "Hemlock-Reason"));
        }
    });
    assert_eq!(cluster.most_starts_of_a_key(), 1);
}
