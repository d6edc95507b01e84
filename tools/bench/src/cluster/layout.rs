//! Addresses and settings of the processes of a cluster.

use std::net::SocketAddr;
use std::path::Path;

use hemlock_standin::free_address;
use hemlock_types::digest::Digest;
use serde_json::{Value, json};

use crate::error::BenchError;
use crate::options::Deployment;

/// Cluster key, with which the processes authenticate to each other.
pub(crate) const CLUSTER_KEY: &str = "bench-cluster-key";
/// Key that operator calls carry.
pub(crate) const OPERATOR_KEY: &str = "bench-operator-key";
/// Number of cores that each worker announces.
const WORKER_CORES: u32 = 64;
/// Memory that each worker announces, in megabytes.
const WORKER_MEMORY_MB: u64 = 256 * 1024;
/// Number of workers in a rack.
const RACK_WORKERS: usize = 3;
/// Slots of each endpoint instance.
pub(crate) const ENDPOINT_SLOTS: u16 = 8;
/// Limit on the connections to each endpoint instance.
const ENDPOINT_CONNECTIONS: u16 = 64;

/// Size and settings of a cluster.
#[derive(Clone, Debug)]
pub(crate) struct ClusterSpec {
    /// Deployment whose failure domains and service the cluster has.
    pub(crate) deployment: Deployment,
    /// Number of keepers.
    pub(crate) keepers: usize,
    /// Number of entries.
    pub(crate) entries: usize,
    /// Number of endpoint instances; each has an agent of its own.
    pub(crate) endpoints: usize,
    /// Placement policy of the entries.
    pub(crate) policy: String,
    /// Seed of the first entry and of the first endpoint; the others follow it.
    pub(crate) seed: u64,
    /// Delay added to each sync of a keeper, in milliseconds.
    pub(crate) sync_delay_ms: u64,
    /// One-way latency between entries and agents, in microseconds.
    pub(crate) latency_us: u64,
}

/// Addresses of one process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Addresses {
    /// Listening address for the other processes of the cluster.
    pub(crate) wire: SocketAddr,
    /// Listening address for HTTP.
    pub(crate) http: SocketAddr,
    /// Address that entries connect to: that of a relay, or the same as `wire`.
    pub(crate) advertised: SocketAddr,
}

/// Returns the cluster name, which is unique to this process of the bench.
///
/// Another bench may run at the same time and take the port of a process that was killed. Its
/// processes have a different cluster name, so they are refused.
pub(crate) fn cluster_name() -> String {
    format!("bench-{}", std::process::id())
}

/// Returns free loopback addresses for `count` processes.
///
/// # Errors
///
/// [`BenchError::NotReady`] when every port is taken.
pub(crate) fn free_addresses(count: usize) -> Result<Vec<Addresses>, BenchError> {
    let addresses = (0..count * 3)
        .map(|_| free_address())
        .collect::<Result<Vec<_>, _>>()
        .map_err(|_| BenchError::NotReady("every port of the bench is taken"))?;
    let group = |three: &[SocketAddr]| Addresses {
        wire: three[0],
        http: three[1],
        advertised: three[2],
    };
    Ok(addresses.chunks(3).map(group).collect())
}

/// Returns the settings of keeper `index`.
pub(crate) fn keeper_settings(
    spec: &ClusterSpec,
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
        "cluster": cluster_name(),
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

/// Returns the settings of entry `index`.
pub(crate) fn entry_settings(
    spec: &ClusterSpec,
    keepers: &[Addresses],
    entry: Addresses,
    index: usize,
) -> Value {
    json!({
        "cluster": cluster_name(),
        "cluster_key": CLUSTER_KEY,
        "http_address": entry.http,
        "domain": domain_of(spec, index),
        "keepers": keepers.iter().map(|at| at.wire).collect::<Vec<_>>(),
        "policy": spec.policy,
        "seed": spec.seed + index as u64,
    })
}

/// Returns the settings of the agent of endpoint `index`.
pub(crate) fn agent_settings(
    spec: &ClusterSpec,
    keepers: &[Addresses],
    agent: Addresses,
    index: usize,
    endpoint: SocketAddr,
) -> Value {
    json!({
        "cluster": cluster_name(),
        "cluster_key": CLUSTER_KEY,
        "wire_address": agent.wire,
        "advertised_address": agent.advertised,
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

fn domain_of(spec: &ClusterSpec, index: usize) -> &'static str {
    let domains = spec.deployment.domains();
    domains[index % domains.len()]
}

/// Returns a contract of a bench customer. Of its limits only `max_running` is low enough to
/// matter, if at all.
pub(crate) fn contract(
    spec: &ClusterSpec,
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

/// Returns the contract key of a bench customer.
pub(crate) fn contract_key(customer: &str) -> String {
    format!("bench-key-of-{customer}")
}
