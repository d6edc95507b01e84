//! Settings of `hemlock-agent`.

use std::net::SocketAddr;

use hemlock_types::prelude::*;

use crate::document::Settings;
use crate::error::FieldProblem;
use crate::secret::SecretKey;
use crate::section::Section;
use crate::{ADDRESS, KEEPERS_MAX, cluster_key};

/// Default time that outcomes are kept, in milliseconds.
const DEFAULT_RETENTION_MS: u64 = 600_000;
/// Minimum time that outcomes may be kept, in milliseconds.
const RETENTION_MIN_MS: u64 = 1_000;
/// Maximum time that outcomes may be kept, in milliseconds.
const RETENTION_MAX_MS: u64 = 86_400_000;
/// Maximum number of slots of one endpoint.
const SLOTS_MAX: u64 = 4_096;
/// Maximum number of connections to one endpoint.
const CONNECTIONS_MAX: u64 = 16_384;
/// Maximum number of CPU cores of one worker.
const CORES_MAX: u64 = 4_096;
/// Maximum memory of one worker, in megabytes.
const MEMORY_MAX_MB: u64 = 64 * 1024 * 1024;

/// Settings of one agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentSettings {
    /// Name of the cluster. Connections from processes of another cluster are refused.
    pub cluster: String,
    /// Shared secret with which the processes of the cluster authenticate each other.
    pub cluster_key: SecretKey,
    /// Address on which the agent listens for entries.
    pub wire_address: SocketAddr,
    /// Address that entries connect to instead of `wire_address`, when a relay forwards their
    /// connections.
    pub advertised_address: Option<SocketAddr>,
    /// Address of the HTTP server for the endpoint instance, health checks and metrics.
    pub http_address: SocketAddr,
    /// Failure domain in which this agent runs.
    pub domain: FailureDomainName,
    /// Rack of the agent's worker.
    pub rack: RackName,
    /// Wire addresses of the keepers.
    pub keepers: Vec<SocketAddr>,
    /// CPU cores of the agent's worker.
    pub cores: u32,
    /// Memory of the agent's worker, in megabytes.
    pub memory_mb: u64,
    /// Time that outcomes are kept, so that resubmitted work gets the same answer, in
    /// milliseconds.
    pub retention_ms: u64,
    /// Endpoint that the agent announces when it starts. If `None`, the endpoint instance
    /// announces itself over HTTP.
    pub endpoint: Option<EndpointSettings>,
}

/// Settings of one endpoint instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointSettings {
    /// Service that the endpoint provides.
    pub service: ServiceName,
    /// Maximum number of tasks that run at the same time.
    pub slots: u16,
    /// Maximum number of open connections to the endpoint.
    pub connections: u16,
    /// Address on which the endpoint listens for requests.
    pub address: SocketAddr,
}

impl Settings for AgentSettings {
    fn read(section: &mut Section<'_>) -> Option<Self> {
        let cluster = section.required_name("cluster");
        let cluster_key = cluster_key(section);
        let wire_address = section.required("wire_address", ADDRESS);
        let advertised_address = section.optional("advertised_address", None, ADDRESS);
        let http_address = section.required("http_address", ADDRESS);
        let domain = section.required_name("domain");
        let rack = section.required_name("rack");
        let keepers = section.required_list("keepers", 1, KEEPERS_MAX, ADDRESS);
        let cores = section.required_number("cores", 1, CORES_MAX);
        let memory_mb = section.required_number("memory_mb", 1, MEMORY_MAX_MB);
        let retention_ms = section.optional_number(
            "retention_ms",
            DEFAULT_RETENTION_MS,
            RETENTION_MIN_MS,
            RETENTION_MAX_MS,
        );
        let endpoint = section.optional_section(
            "endpoint",
            "the fields service, slots, connections and address",
            EndpointSettings::read,
        );
        Some(Self {
            cluster: cluster?,
            cluster_key: cluster_key?,
            wire_address: wire_address?,
            advertised_address: advertised_address?,
            http_address: http_address?,
            domain: domain?,
            rack: rack?,
            keepers: keepers?,
            cores: u32::try_from(cores?).ok()?,
            memory_mb: memory_mb?,
            retention_ms: retention_ms?,
            endpoint: endpoint?,
        })
    }
}

impl Settings for EndpointSettings {
    fn read(section: &mut Section<'_>) -> Option<Self> {
        let service = section.required_name("service");
        let slots = section.required_number("slots", 1, SLOTS_MAX);
        let connections = section.required_number("connections", 1, CONNECTIONS_MAX);
        let address = section.required("address", ADDRESS);
        let has_enough_connections = connections
            .zip(slots)
            .is_none_or(|(connections, slots)| connections >= slots);
        section.check(
            has_enough_connections,
            "connections",
            FieldProblem::Conflict("fewer than slots; each slot needs a connection"),
        );
        Some(Self {
            service: service?,
            slots: u16::try_from(slots?).ok()?,
            connections: u16::try_from(connections?).ok()?,
            address: address?,
        })
    }
}
