//! The cluster of the demonstration: all roles in this process, on loopback.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use hemlock_agent::{Agent, AgentHandle};
use hemlock_entry::{Entry, EntryHandle};
use hemlock_http::prelude::*;
use hemlock_keeper::{Keeper, KeeperHandle};
use hemlock_settings::prelude::*;
use hemlock_standin::prelude::*;
use hemlock_types::prelude::*;
use tempfile::TempDir;

use crate::demo::DemoError;
use crate::demo::plan::SERVICE;
use crate::demo::progress::Progress;
use crate::operator::Operator;

const CLUSTER: &str = "demo";
const CLUSTER_KEY: &str = "demo-cluster-key-for-loopback-only";
const OPERATOR_KEY: &str = "demo-operator-key";
/// Failure domain of the keeper, entry and agent with each index.
const DOMAINS: [&str; 3] = ["harju-1", "harju-2", "emajogi"];
/// Rack of every worker.
const RACK: &str = "rack-1";
/// Placement policy of the entries.
const POLICY: &str = "credits";
/// Number of entries.
const ENTRIES: usize = 2;
/// Maximum number of tasks that run on an endpoint at the same time.
const SLOTS: u16 = 8;
/// Maximum number of connections to an endpoint.
const CONNECTIONS: u16 = 64;
/// CPU cores of each worker.
const CORES: u32 = 64;
/// Memory of each worker, in megabytes.
const MEMORY_MB: u64 = 256 * 1024;
/// Time that agents keep outcomes, in milliseconds.
const RETENTION_MS: u64 = 600_000;
/// Timeout for a role to become ready, in milliseconds.
const READY_TIMEOUT_MS: u64 = 30_000;
/// Timeout of one readiness check, in milliseconds.
const READY_CALL_MS: u64 = 1_000;
/// Interval between readiness checks, in milliseconds.
const READY_POLL_MS: u64 = 20;

/// A stand-in endpoint and its agent, which is `None` after it was stopped.
struct Worker {
    agent: Option<AgentHandle>,
    standin: StandinEndpoint,
}

/// Requests that one stand-in endpoint received.
#[derive(Clone, Debug)]
pub(crate) struct EndpointCounts {
    /// Total request counts.
    pub(crate) totals: RequestCounts,
    /// Number of starts of each task on this endpoint, by the task's key.
    pub(crate) starts: HashMap<String, u32>,
}

impl EndpointCounts {
    /// Stops a stand-in endpoint and returns its counts.
    fn stop(standin: StandinEndpoint) -> Self {
        let starts = standin.key_starts();
        Self {
            starts,
            totals: standin.stop(),
        }
    }
}

/// The running cluster.
pub(crate) struct Cluster {
    keepers: Vec<KeeperHandle>,
    entries: Vec<EntryHandle>,
    workers: Mutex<Vec<Worker>>,
    keeper_http: Vec<SocketAddr>,
    /// Contains the keepers' data folders. Removed when the cluster stops.
    folder: TempDir,
}

impl Cluster {
    /// Starts all roles and waits until every entry and endpoint is ready.
    pub(crate) fn start(seed: u64, progress: &Progress) -> Result<Self, DemoError> {
        let folder = TempDir::with_prefix("hemlock-demo-")?;
        // The keepers' addresses must be known before the first keeper starts.
        let wire = (0..DOMAINS.len())
            .map(|_| free_address())
            .collect::<Result<Vec<_>, _>>()?;
        let keepers = start_keepers(folder.path(), &wire)?;
        let keeper_http: Vec<_> = keepers.iter().map(KeeperHandle::http_address).collect();
        wait_ready("a keeper", &keeper_http)?;
        progress.print(
            "3 keepers are running, each with its own data folder, and have elected a leader",
        );
        let workers = (0..DOMAINS.len())
            .map(|index| start_worker(index, seed, &wire))
            .collect::<Result<Vec<_>, _>>()?;
        progress.print("3 stand-in endpoints with 8 slots each are running, with an agent each");
        let entries = (0..ENTRIES)
            .map(|index| start_entry(index, seed, &wire))
            .collect::<Result<Vec<_>, _>>()?;
        for entry in &entries {
            wait_ready("an entry", &[entry.http_address()])?;
        }
        let cluster = Self {
            keepers,
            entries,
            workers: Mutex::new(workers),
            keeper_http,
            folder,
        };
        cluster.wait_endpoints()?;
        progress.print("2 entries are ready, and every endpoint is registered");
        Ok(cluster)
    }

    /// Waits until every endpoint is registered with the keepers.
    fn wait_endpoints(&self) -> Result<(), DemoError> {
        let operator = self.operator();
        wait_until("an endpoint", || {
            let count = operator.get("/v1/endpoints").ok();
            let count = count.and_then(|answer| answer["endpoints"].as_array().map(Vec::len));
            count == Some(DOMAINS.len())
        })
    }

    /// A client for the keepers' operator API.
    pub(crate) fn operator(&self) -> Operator {
        Operator::new(self.keeper_http.clone(), OPERATOR_KEY.to_owned())
    }

    /// HTTP address of an entry. Indexes wrap around.
    pub(crate) fn entry(&self, index: usize) -> SocketAddr {
        self.entries[index % self.entries.len()].http_address()
    }

    /// Incarnation of an agent, or `None` if it was stopped.
    pub(crate) fn agent(&self, index: usize) -> Option<Incarnation> {
        let workers = self.lock();
        workers[index].agent.as_ref().map(AgentHandle::incarnation)
    }

    /// Request counts of one stand-in endpoint so far.
    pub(crate) fn totals(&self, index: usize) -> RequestCounts {
        self.lock()[index].standin.counts()
    }

    /// Stops an agent after its running tasks have finished.
    pub(crate) fn stop_agent(&self, index: usize) {
        let agent = self.lock()[index].agent.take();
        if let Some(agent) = agent {
            agent.stop();
            agent.join();
        }
    }

    /// Stops the cluster and returns the counts of each stand-in endpoint.
    pub(crate) fn stop(self, progress: &Progress) -> Result<Vec<EndpointCounts>, DemoError> {
        for entry in &self.entries {
            entry.stop();
        }
        for entry in self.entries {
            entry.join();
        }
        progress.print("both entries have drained and stopped");
        let workers = self
            .workers
            .into_inner()
            .unwrap_or_else(PoisonError::into_inner);
        let endpoint_counts = workers.into_iter().map(stop_worker).collect();
        progress.print("every agent and its endpoint have drained and stopped");
        for keeper in &self.keepers {
            keeper.begin_drain();
        }
        for keeper in self.keepers {
            keeper
                .stop()
                .map_err(|error| role_error("a keeper", &error))?;
        }
        self.folder.close()?;
        progress.print("every keeper has stopped");
        Ok(endpoint_counts)
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Worker>> {
        self.workers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn stop_worker(worker: Worker) -> EndpointCounts {
    if let Some(agent) = worker.agent {
        agent.stop();
        agent.join();
    }
    EndpointCounts::stop(worker.standin)
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

fn role_error(name: &str, error: &dyn std::error::Error) -> DemoError {
    DemoError::Role(name.to_owned(), error.to_string())
}

fn start_keepers(folder: &Path, wire: &[SocketAddr]) -> Result<Vec<KeeperHandle>, DemoError> {
    let listed: Vec<KeeperAddress> = (1..)
        .zip(wire)
        .map(|(id, address)| KeeperAddress {
            id,
            address: *address,
        })
        .collect();
    listed
        .iter()
        .zip(DOMAINS)
        .map(|(own, domain)| {
            let settings = KeeperSettings {
                cluster: CLUSTER.to_owned(),
                cluster_key: SecretKey::new(CLUSTER_KEY),
                keeper_id: own.id,
                data_folder: folder.join(format!("keeper-{}", own.id)),
                wire_address: own.address,
                http_address: loopback(0),
                domain: domain.into(),
                keepers: listed.clone(),
                operator_key_sha256: vec![Digest::of_key(OPERATOR_KEY.as_bytes())],
                sync_delay_ms: 0,
            };
            Keeper::start(settings).map_err(|error| role_error("a keeper", &error))
        })
        .collect()
}

fn start_worker(index: usize, seed: u64, keepers: &[SocketAddr]) -> Result<Worker, DemoError> {
    let config = StandinConfig::new(SERVICE).with_seed(seed.wrapping_add(index as u64));
    let standin =
        StandinEndpoint::start(config).map_err(|error| role_error("a stand-in", &error))?;
    let settings = AgentSettings {
        cluster: CLUSTER.to_owned(),
        cluster_key: SecretKey::new(CLUSTER_KEY),
        wire_address: loopback(0),
        advertised_address: None,
        http_address: loopback(0),
        domain: DOMAINS[index].into(),
        rack: RACK.into(),
        keepers: keepers.to_vec(),
        cores: CORES,
        memory_mb: MEMORY_MB,
        retention_ms: RETENTION_MS,
        endpoint: Some(EndpointSettings {
            service: SERVICE.into(),
            slots: SLOTS,
            connections: CONNECTIONS,
            address: standin.address(),
        }),
    };
    let agent = Agent::start(settings).map_err(|error| role_error("an agent", &error))?;
    Ok(Worker {
        agent: Some(agent),
        standin,
    })
}

fn start_entry(index: usize, seed: u64, keepers: &[SocketAddr]) -> Result<EntryHandle, DemoError> {
    let settings = EntrySettings {
        cluster: CLUSTER.to_owned(),
        cluster_key: SecretKey::new(CLUSTER_KEY),
        http_address: loopback(0),
        domain: DOMAINS[index].into(),
        keepers: keepers.to_vec(),
        lanes: 1,
        policy: POLICY.to_owned(),
        seed: seed.wrapping_add(index as u64),
    };
    Entry::start(settings).map_err(|error| role_error("an entry", &error))
}

/// Waits until one of the addresses answers `/readyz` with 200.
fn wait_ready(what: &str, addresses: &[SocketAddr]) -> Result<(), DemoError> {
    let client = HttpClient::new(HttpClientConfig::default().with_timeout_ms(READY_CALL_MS));
    let is_ready = |address: &SocketAddr| {
        let call = HttpCall::new(Method::Get, *address, "/readyz");
        client.send(&call).is_ok_and(|reply| reply.status == 200)
    };
    wait_until(what, || addresses.iter().any(is_ready))
}

/// Polls until the condition holds.
fn wait_until(what: &str, condition: impl Fn() -> bool) -> Result<(), DemoError> {
    let started = Instant::now();
    let limit = Duration::from_millis(READY_TIMEOUT_MS);
    while started.elapsed() < limit {
        if condition() {
            return Ok(());
        }
        std::thread::sleep(Duration::from_millis(READY_POLL_MS));
    }
    Err(DemoError::NotReady(what.to_owned(), READY_TIMEOUT_MS))
}
