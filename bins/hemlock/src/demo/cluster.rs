//! The demonstration's cluster: every role in this process, on loopback.

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
use crate::demo::say::Narrator;
use crate::operator::Operator;

const CLUSTER: &str = "demo";
const CLUSTER_KEY: &str = "demo-cluster-key-for-loopback-only";
const OPERATOR_KEY: &str = "demo-operator-key";
/// Failure domain of the keeper, entry or agent of each number.
const DOMAINS: [&str; 3] = ["harju-1", "harju-2", "emajogi"];
/// Rack of every worker.
const RACK: &str = "rack-1";
/// Placement policy of the entries.
const POLICY: &str = "credits";
/// Entries.
const ENTRIES: usize = 2;
/// Tasks that each endpoint runs at once.
const SLOTS: u16 = 8;
/// Connections that each endpoint takes.
const CONNECTIONS: u16 = 64;
/// Cores of each worker.
const CORES: u32 = 64;
/// Memory of each worker, in megabytes.
const MEMORY_MB: u64 = 256 * 1024;
/// Time that agents keep outcomes, in milliseconds.
const RETENTION_MS: u64 = 600_000;
/// Longest wait for a process to be ready, in milliseconds.
const READY_TIMEOUT_MS: u64 = 30_000;
/// Longest wait for one answer about readiness, in milliseconds.
const READY_CALL_MS: u64 = 1_000;
/// Pause between two looks at a process, in milliseconds.
const READY_POLL_MS: u64 = 20;

/// An agent, until it is stopped, and the stand-in endpoint beside it.
struct Pair {
    agent: Option<AgentHandle>,
    standin: StandinEndpoint,
}

/// What one stand-in endpoint saw.
#[derive(Clone, Debug)]
pub(crate) struct Sighting {
    /// Its totals.
    pub(crate) totals: RequestCounts,
    /// How often each task started there, by the task's key.
    pub(crate) starts: HashMap<String, u32>,
}

impl Sighting {
    /// Ends a stand-in endpoint and says what it saw.
    fn end(standin: StandinEndpoint) -> Self {
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
    pairs: Mutex<Vec<Pair>>,
    keeper_http: Vec<SocketAddr>,
    /// Holds the keepers' data; removed when the cluster ends.
    folder: TempDir,
}

impl Cluster {
    /// Starts everything and waits until every entry is ready.
    pub(crate) fn start(seed: u64, narrator: &Narrator) -> Result<Self, DemoError> {
        let folder = TempDir::with_prefix("hemlock-demo-")?;
        // The keepers' addresses must be known before the first keeper starts.
        let wire = (0..DOMAINS.len())
            .map(|_| free_address())
            .collect::<Result<Vec<_>, _>>()?;
        let keepers = start_keepers(folder.path(), &wire)?;
        let keeper_http: Vec<_> = keepers.iter().map(KeeperHandle::http_address).collect();
        wait_ready("a keeper", &keeper_http)?;
        narrator.say("3 keepers run, each with its own data folder, and have a leader");
        let pairs = (0..DOMAINS.len())
            .map(|index| start_pair(index, seed, &wire))
            .collect::<Result<Vec<_>, _>>()?;
        narrator.say("3 stand-in endpoints run, 8 slots each, with an agent beside each");
        let entries = (0..ENTRIES)
            .map(|index| start_entry(index, seed, &wire))
            .collect::<Result<Vec<_>, _>>()?;
        for entry in &entries {
            wait_ready("an entry", &[entry.http_address()])?;
        }
        let cluster = Self {
            keepers,
            entries,
            pairs: Mutex::new(pairs),
            keeper_http,
            folder,
        };
        cluster.wait_endpoints()?;
        narrator.say("2 entries are ready, and the keepers know every endpoint");
        Ok(cluster)
    }

    /// Waits until the keepers know every endpoint.
    fn wait_endpoints(&self) -> Result<(), DemoError> {
        let operator = self.operator();
        wait_until("an endpoint", || {
            let known = operator.get("/v1/endpoints").ok();
            let known = known.and_then(|answer| answer["endpoints"].as_array().map(Vec::len));
            known == Some(DOMAINS.len())
        })
    }

    /// An operator of the cluster.
    pub(crate) fn operator(&self) -> Operator {
        Operator::new(self.keeper_http.clone(), OPERATOR_KEY.to_owned())
    }

    /// HTTP address of an entry; numbers wrap around.
    pub(crate) fn entry(&self, index: usize) -> SocketAddr {
        self.entries[index % self.entries.len()].http_address()
    }

    /// Incarnation of an agent that still runs.
    pub(crate) fn agent(&self, index: usize) -> Option<Incarnation> {
        let pairs = self.lock();
        pairs[index].agent.as_ref().map(AgentHandle::incarnation)
    }

    /// Totals of one stand-in endpoint so far.
    pub(crate) fn totals(&self, index: usize) -> RequestCounts {
        self.lock()[index].standin.counts()
    }

    /// Ends an agent after its last work.
    pub(crate) fn end_agent(&self, index: usize) {
        let agent = self.lock()[index].agent.take();
        if let Some(agent) = agent {
            agent.stop();
            agent.join();
        }
    }

    /// Ends everything and returns what each stand-in endpoint saw.
    pub(crate) fn stop(self, narrator: &Narrator) -> Result<Vec<Sighting>, DemoError> {
        for entry in &self.entries {
            entry.stop();
        }
        for entry in self.entries {
            entry.join();
        }
        narrator.say("both entries have drained and ended");
        let pairs = self
            .pairs
            .into_inner()
            .unwrap_or_else(PoisonError::into_inner);
        let sightings = pairs.into_iter().map(end_pair).collect();
        narrator.say("every agent has drained and ended, and its endpoint after it");
        for keeper in &self.keepers {
            keeper.begin_drain();
        }
        for keeper in self.keepers {
            keeper
                .stop()
                .map_err(|error| role_error("a keeper", &error))?;
        }
        self.folder.close()?;
        narrator.say("every keeper has ended, every thread is joined");
        Ok(sightings)
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Pair>> {
        self.pairs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn end_pair(pair: Pair) -> Sighting {
    if let Some(agent) = pair.agent {
        agent.stop();
        agent.join();
    }
    Sighting::end(pair.standin)
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

fn start_pair(index: usize, seed: u64, keepers: &[SocketAddr]) -> Result<Pair, DemoError> {
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
    Ok(Pair {
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

/// Looks again and again until it is so.
fn wait_until(what: &str, is_so: impl Fn() -> bool) -> Result<(), DemoError> {
    let started = Instant::now();
    let limit = Duration::from_millis(READY_TIMEOUT_MS);
    while started.elapsed() < limit {
        if is_so() {
            return Ok(());
        }
        std::thread::sleep(Duration::from_millis(READY_POLL_MS));
    }
    Err(DemoError::NotReady(what.to_owned(), READY_TIMEOUT_MS))
}
