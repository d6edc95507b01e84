//! Addresses and settings of the programs of one run.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::Path;
use std::sync::atomic::{AtomicU32, Ordering};

use hemlock_types::digest::Digest;
use serde_json::{Value, json};

use crate::error::BenchError;
use crate::options::Deployment;

/// Secret that the processes of a run share.
pub(crate) const CLUSTER_KEY: &str = "bench-cluster-key";
/// Key that operators present.
pub(crate) const OPERATOR_KEY: &str = "bench-operator-key";
/// Ports that the bench gives out.
const PORTS: std::ops::Range<u16> = 10_000..32_000;
/// How far apart two runs of the bench begin to look for free ports.
const PORTS_PER_PROCESS: u32 = 977;
/// Cores of each worker.
const WORKER_CORES: u32 = 64;
/// Memory of each worker in megabytes.
const WORKER_MEMORY_MB: u64 = 256 * 1024;
/// Workers in one rack.
const RACK_WORKERS: usize = 3;
/// Slots of each endpoint instance.
pub(crate) const ENDPOINT_SLOTS: u16 = 8;
/// Connections of each endpoint instance.
const ENDPOINT_CONNECTIONS: u16 = 64;

/// What a run consists of.
#[derive(Clone, Debug)]
pub(crate) struct Spec {
    /// Whose failure domains and service it takes.
    pub(crate) deployment: Deployment,
    /// Keepers.
    pub(crate) keepers: usize,
    /// Entries.
    pub(crate) entries: usize,
    /// Endpoint instances, each with its agent.
    pub(crate) endpoints: usize,
    /// Placement policy of the entries.
    pub(crate) policy: String,
    /// Seed of the entries.
    pub(crate) seed: u64,
    /// Delay added to each sync of a keeper, in milliseconds.
    pub(crate) sync_delay_ms: u64,
    /// One-way latency between entries and agents, in microseconds.
    pub(crate) latency_us: u64,
}

/// Addresses of one program.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Addresses {
    /// Where it serves the system's own processes.
    pub(crate) wire: SocketAddr,
    /// Where it serves HTTP.
    pub(crate) http: SocketAddr,
    /// Where entries reach it: a relay, or the same as `wire`.
    pub(crate) reached: SocketAddr,
}

/// Draws free loopback addresses.
///
/// Their ports lie below those that the system gives to outgoing connections, which could take
/// a port between this look at it and the start of its program.
///
/// # Errors
///
/// [`BenchError::NotReady`] when every port is taken.
pub(crate) fn free_addresses(count: usize) -> Result<Vec<Addresses>, BenchError> {
    let addresses = (0..count * 3)
        .map(|_| free_address())
        .collect::<Result<Vec<_>, _>>()?;
    let group = |three: &[SocketAddr]| Addresses {
        wire: three[0],
        http: three[1],
        reached: three[2],
    };
    Ok(addresses.chunks(3).map(group).collect())
}

fn free_address() -> Result<SocketAddr, BenchError> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let offset = std::process::id() * PORTS_PER_PROCESS;
    for _ in PORTS {
        let number = offset.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
        let port = PORTS.start + (number % u32::from(PORTS.end - PORTS.start)) as u16;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(BenchError::NotReady("every port of the bench is taken"))
}

/// Settings of keeper `index`.
pub(crate) fn keeper_settings(
    spec: &Spec,
    keepers: &[Addresses],
    index: usize,
    folder: &Path,
) -> Value {
    let members: Vec<Value> = keepers
        .iter()
        .enumerate()
        .map(|(member, at)| json!({ "id": member + 1, "address": at.wire }))
        .collect();
    json!({
        "cluster": "bench",
        "cluster_key": CLUSTER_KEY,
        "keeper_id": index + 1,
        "data_folder": folder.join(format!("keeper-{index}")),
        "wire_address": keepers[index].wire,
        "http_address": keepers[index].http,
        "domain": domain_of(spec, index),
        "keepers": members,
        "operator_key_sha256": [Digest::of_key(OPERATOR_KEY.as_bytes()).to_string()],
        "sync_delay_ms": spec.sync_delay_ms,
    })
}

/// Settings of entry `index`.
pub(crate) fn entry_settings(
    spec: &Spec,
    keepers: &[Addresses],
    entry: Addresses,
    index: usize,
) -> Value {
    json!({
        "cluster": "bench",
        "cluster_key": CLUSTER_KEY,
        "http_address": entry.http,
        "domain": domain_of(spec, index),
        "keepers": keepers.iter().map(|at| at.wire).collect::<Vec<_>>(),
        "policy": spec.policy,
        "seed": spec.seed + index as u64,
    })
}

/// Settings of the agent of endpoint `index`.
pub(crate) fn agent_settings(
    spec: &Spec,
    keepers: &[Addresses],
    agent: Addresses,
    index: usize,
    endpoint: SocketAddr,
) -> Value {
    json!({
        "cluster": "bench",
        "cluster_key": CLUSTER_KEY,
        "wire_address": agent.wire,
        "advertised_address": agent.reached,
        "http_address": agent.http,
        "domain": domain_of(spec, index),
        "rack": format!("rack-{}", index / RACK_WORKERS),
        "keepers": keepers.iter().map(|at| at.wire).collect::<Vec<_>>(),
        "cores": WORKER_CORES,
        "memory_mb": WORKER_MEMORY_MB,
        "endpoint": {
            "service": spec.deployment.service(),
            "slots": ENDPOINT_SLOTS,
            "connections": ENDPOINT_CONNECTIONS,
            "address": endpoint,
        },
    })
}

fn domain_of(spec: &Spec, index: usize) -> &'static str {
    let domains = spec.deployment.domains();
    domains[index % domains.len()]
}

/// The contract of a bench customer, whose limits bind nothing unless `max_running` does.
pub(crate) fn contract(
    spec: &Spec,
    customer: &str,
    revision: u64,
    urgency: &str,
    max_running: u32,
) -> Value {
    json!({
        "customer": customer,
        "revision": revision,
        "key_sha256": [Digest::of_key(contract_key(customer).as_bytes()).to_string()],
        "services": [spec.deployment.service()],
        "max_running": max_running,
        "max_queued": 100_000,
        "urgency": urgency,
        "non_idempotent": [{ "service": spec.deployment.service(), "operation": "reserve" }],
        "deadline_ms": 60_000,
        "deadline_cap_ms": 120_000,
    })
}

/// The key of a bench customer.
pub(crate) fn contract_key(customer: &str) -> String {
    format!("bench-key-of-{customer}")
}
