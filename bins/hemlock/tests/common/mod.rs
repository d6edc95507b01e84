//! A small cluster in the test process: one keeper, two entries, and agents with stand-in
//! endpoints.

#![allow(dead_code, unreachable_pub, clippy::unwrap_used)]

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hemlock_agent::{Agent, AgentHandle};
use hemlock_entry::{Entry, EntryHandle};
use hemlock_http::prelude::*;
use hemlock_keeper::{Keeper, KeeperHandle};
use hemlock_settings::prelude::*;
use hemlock_standin::prelude::*;
use hemlock_types::prelude::*;
use serde_json::{Value, json};
use tempfile::TempDir;

pub const SERVICE: &str = "allocate";
pub const CUSTOMER_KEY: &str = "a-customers-key";
const OPERATOR_KEY: &str = "an-operators-key";
const CLUSTER_KEY: &str = "a-cluster-key-for-tests";
/// Timeout of [`wait_for`].
const TIMEOUT: Duration = Duration::from_secs(30);

pub struct Cluster {
    pub keeper: KeeperHandle,
    pub entries: Vec<EntryHandle>,
    pub agents: Vec<AgentHandle>,
    pub standins: Vec<StandinEndpoint>,
    _folder: TempDir,
}

impl Cluster {
    /// Starts all roles, applies one contract, and waits until every entry can run tasks.
    pub fn start(agents: usize) -> Self {
        let folder = TempDir::new().unwrap();
        let wire = free_address().unwrap();
        let keeper = Keeper::start(keeper_settings(&folder, wire)).unwrap();
        wait_for("a leader", || is_ready(keeper.http_address()));
        let standins: Vec<_> = (0..agents)
            .map(|_| StandinEndpoint::start(StandinConfig::new(SERVICE)).unwrap())
            .collect();
        let agents = standins
            .iter()
            .map(|standin| Agent::start(agent_settings(wire, standin.address())).unwrap())
            .collect();
        let entries: Vec<_> = (0..2)
            .map(|seed| Entry::start(entry_settings(wire, seed)).unwrap())
            .collect();
        let cluster = Self {
            keeper,
            entries,
            agents,
            standins,
            _folder: folder,
        };
        cluster.put_contract();
        for entry in &cluster.entries {
            wait_for("an entry", || is_ready(entry.http_address()));
            wait_for("an endpoint", || {
                cluster.post(entry.http_address(), "search", "{}").status == 200
            });
        }
        cluster
    }

    pub fn entry(&self, index: usize) -> SocketAddr {
        self.entries[index].http_address()
    }

    /// Number of starts on all stand-in endpoints.
    pub fn started(&self) -> u64 {
        self.standins
            .iter()
            .map(|standin| standin.counts().started)
            .sum()
    }

    /// Number of starts of the task with the given key.
    pub fn starts_of(&self, key: &str) -> u32 {
        self.standins
            .iter()
            .filter_map(|standin| standin.key_starts().get(key).copied())
            .sum()
    }

    /// Sends a request for one task.
    pub fn post(&self, entry: SocketAddr, operation: &str, body: &str) -> HttpReply {
        let path = format!("/v1/services/{SERVICE}/{operation}");
        send(&call(entry, &path, body))
    }

    fn put_contract(&self) {
        let contract = json!({
            "customer": "university", "revision": 1, "services": [SERVICE],
            "key_sha256": [Digest::of_key(CUSTOMER_KEY.as_bytes())],
            "max_running": 64, "max_queued": 512,
            "non_idempotent": [{ "service": SERVICE, "operation": "hold" }],
        });
        let path = "/v1/contracts/university?wait=in-force";
        let call = HttpCall::new(Method::Put, self.keeper.http_address(), path)
            .with_header("Authorization", format!("Bearer {OPERATOR_KEY}"))
            .with_body(contract.to_string(), "application/json");
        let reply = send(&call);
        assert_eq!(reply.status, 200, "{:?}", reply.body);
    }

    /// Stops all roles, entries first.
    pub fn stop(self) {
        for entry in &self.entries {
            entry.stop();
        }
        for entry in &self.entries {
            entry.join();
        }
        for agent in self.agents {
            agent.stop();
            agent.join();
        }
        self.keeper.stop().unwrap();
    }
}

/// A call that is authenticated with the customer's key.
pub fn call(entry: SocketAddr, path: &str, body: &str) -> HttpCall {
    HttpCall::new(Method::Post, entry, path)
        .with_header("Authorization", format!("Bearer {CUSTOMER_KEY}"))
        .with_body(body.to_owned(), "application/json")
}

pub fn send(call: &HttpCall) -> HttpReply {
    let client = HttpClient::new(HttpClientConfig::default());
    client.send(call).expect("the call is answered")
}

/// A job of `tasks` tasks that finish at once.
pub fn job(name: &str, tasks: usize) -> Value {
    let task =
        |index| json!({ "operation": "search", "body": { "key": format!("{name}/{index}") } });
    json!({
        "submission": name,
        "service": SERVICE,
        "tasks": (0..tasks).map(task).collect::<Vec<_>>(),
    })
}

/// Polls until the condition holds, or panics after [`TIMEOUT`].
pub fn wait_for(what: &str, condition: impl Fn() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < TIMEOUT, "timed out waiting for {what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

fn is_ready(address: SocketAddr) -> bool {
    let call = HttpCall::new(Method::Get, address, "/readyz");
    let client = HttpClient::new(HttpClientConfig::default());
    client.send(&call).is_ok_and(|reply| reply.status == 200)
}

fn loopback() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

fn keeper_settings(folder: &TempDir, wire: SocketAddr) -> KeeperSettings {
    KeeperSettings {
        cluster: "test".to_owned(),
        cluster_key: SecretKey::new(CLUSTER_KEY),
        keeper_id: 1,
        data_folder: folder.path().join("keeper"),
        wire_address: wire,
        http_address: loopback(),
        domain: "muscat-a".into(),
        keepers: vec![KeeperAddress {
            id: 1,
            address: wire,
        }],
        operator_key_sha256: vec![Digest::of_key(OPERATOR_KEY.as_bytes())],
        sync_delay_ms: 0,
    }
}

fn agent_settings(keeper: SocketAddr, endpoint: SocketAddr) -> AgentSettings {
    AgentSettings {
        cluster: "test".to_owned(),
        cluster_key: SecretKey::new(CLUSTER_KEY),
        wire_address: loopback(),
        advertised_address: None,
        http_address: loopback(),
        domain: "muscat-a".into(),
        rack: "rack-1".into(),
        keepers: vec![keeper],
        cores: 64,
        memory_mb: 262_144,
        retention_ms: 600_000,
        endpoint: Some(EndpointSettings {
            service: SERVICE.into(),
            slots: 8,
            connections: 64,
            address: endpoint,
        }),
    }
}

fn entry_settings(keeper: SocketAddr, seed: u64) -> EntrySettings {
    EntrySettings {
        cluster: "test".to_owned(),
        cluster_key: SecretKey::new(CLUSTER_KEY),
        http_address: loopback(),
        domain: "muscat-a".into(),
        keepers: vec![keeper],
        lanes: 1,
        policy: "credits".to_owned(),
        seed,
    }
}
