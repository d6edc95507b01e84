//! `hemlock evacuations` against a coordinator on loopback.

use std::net::SocketAddr;
use std::path::Path;
use std::process::{Command, Output};

use hemlock_nodes::prelude::*;
use hemlock_wire::prelude::ClusterKey;
use serde_json::{Value, json};
use tokio::task::LocalSet;

const CLUSTER: &str = "test";
const KEY: &str = "a-cluster-key";

/// Runs a coordinator on a thread of its own until the process of the test ends.
fn start_coordinator(folder: &Path) -> SocketAddr {
    let address = hemlock_standin::free_address().expect("loopback has ports");
    let data_folder = folder.to_owned();
    std::thread::spawn(move || {
        let coordinator = Coordinator::new(CoordinatorSettings {
            address,
            listen_address: address,
            source_ip: None,
            data_folder,
            cluster: CLUSTER.to_owned(),
            key: ClusterKey::new(KEY),
            seeds: vec![address],
            allow_bootstrap: true,
            target_voters: 1,
            dispatch: Default::default(),
            retention_ms: 1_000,
            failure_domains: ["a", "b"].map(str::to_owned).into(),
        });
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("a runtime");
        let running = LocalSet::new().block_on(&runtime, coordinator.run());
        running.expect("it runs");
    });
    address
}

fn hemlock(arguments: &[&str], coordinators: &str) -> Output {
    Command::new(env!("CARGO_BIN_EXE_hemlock"))
        .arg("evacuations")
        .args(arguments)
        .env("HEMLOCK_COORDINATORS", coordinators)
        .env("HEMLOCK_CLUSTER", CLUSTER)
        .env("HEMLOCK_CLUSTER_KEY", KEY)
        .output()
        .expect("the program runs")
}

fn code(output: &Output) -> i32 {
    output.status.code().expect("the program ends by itself")
}

fn errors(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

/// Runs the command, which must succeed, and returns its answer.
fn answer(arguments: &[&str], coordinators: &str) -> Value {
    let arguments = [arguments, &["--format", "json"]].concat();
    let output = hemlock(&arguments, coordinators);
    assert_eq!(code(&output), 0, "{arguments:?}: {}", errors(&output));
    serde_json::from_slice(&output.stdout).expect("JSON")
}

#[test]
fn evacuations_are_begun_listed_and_ended() {
    let folder = tempfile::tempdir().expect("a folder");
    let address = start_coordinator(folder.path());
    // The first address belongs to nobody.
    let unused = hemlock_standin::free_address().expect("loopback has ports");
    let coordinators = format!("{unused},{address}");
    let state =
        |evacuated, version| json!({"domain": "a", "evacuated": evacuated, "version": version});
    assert_eq!(answer(&["begin", "a"], &coordinators), state(true, 1));
    assert_eq!(answer(&["begin", "a"], &coordinators), state(true, 1));
    assert_eq!(
        answer(&["list"], &coordinators),
        json!({"version": 1, "domains": ["a"]})
    );
    assert_eq!(answer(&["end", "a"], &coordinators), state(false, 2));
    assert_eq!(
        answer(&["list"], &coordinators),
        json!({"version": 2, "domains": []})
    );
    let table = hemlock(&["list"], &coordinators);
    let table = String::from_utf8_lossy(&table.stdout).into_owned();
    assert!(table.contains("version"), "{table}");
}

#[test]
fn errors_have_their_exit_codes() {
    let folder = tempfile::tempdir().expect("a folder");
    let address = start_coordinator(folder.path()).to_string();
    let unknown = hemlock(&["begin", "c"], &address);
    assert_eq!(code(&unknown), 3);
    assert!(errors(&unknown).contains("404"), "{}", errors(&unknown));
    let unused = hemlock_standin::free_address().expect("loopback has ports");
    let unreachable = hemlock(&["list"], &unused.to_string());
    assert_eq!(code(&unreachable), 4, "{}", errors(&unreachable));
    for arguments in [&["begin"][..], &[], &["stop", "a"], &["end", "a", "b"]] {
        assert_eq!(code(&hemlock(arguments, &address)), 2, "{arguments:?}");
    }
    let wrong_key = Command::new(env!("CARGO_BIN_EXE_hemlock"))
        .args(["evacuations", "end", "a", "--coordinators", &address])
        .args(["--cluster", CLUSTER])
        .env("HEMLOCK_CLUSTER_KEY", "another-key")
        .output()
        .expect("the program runs");
    assert_eq!(code(&wrong_key), 4, "{}", errors(&wrong_key));
    let no_key = Command::new(env!("CARGO_BIN_EXE_hemlock"))
        .args(["evacuations", "list", "--coordinators", &address])
        .args(["--cluster", CLUSTER])
        .env_remove("HEMLOCK_CLUSTER_KEY")
        .output()
        .expect("the program runs");
    assert_eq!(code(&no_key), 2);
    assert!(errors(&no_key).contains("--cluster-key-file"));
}
