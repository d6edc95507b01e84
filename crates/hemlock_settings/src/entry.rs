//! Settings of `hemlock-entry`.

use std::net::SocketAddr;

use hemlock_types::prelude::*;

use crate::document::Settings;
use crate::secret::SecretKey;
use crate::section::Section;
use crate::{ADDRESS, KEEPERS_MAX, cluster_key};

/// Maximum number of lanes of one entry.
const LANES_MAX: u64 = 64;
/// Default placement policy.
const DEFAULT_POLICY: &str = "credits";

/// Settings of one entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntrySettings {
    /// Name of the cluster. Connections from processes of another cluster are refused.
    pub cluster: String,
    /// Shared secret with which the processes of the cluster authenticate each other.
    pub cluster_key: SecretKey,
    /// Address of the HTTP server for callers, health checks and metrics.
    pub http_address: SocketAddr,
    /// Failure domain in which this entry runs.
    pub domain: FailureDomainName,
    /// Wire addresses of the keepers.
    pub keepers: Vec<SocketAddr>,
    /// Number of lanes: threads that each own the connections to a part of the endpoints.
    pub lanes: u16,
    /// Name of the placement policy.
    pub policy: String,
    /// Seed of the random number generator that breaks ties between endpoints.
    pub seed: u64,
}

impl Settings for EntrySettings {
    fn read(section: &mut Section<'_>) -> Option<Self> {
        let cluster = section.required_name("cluster");
        let cluster_key = cluster_key(section);
        let http_address = section.required("http_address", ADDRESS);
        let domain = section.required_name("domain");
        let keepers = section.required_list("keepers", 1, KEEPERS_MAX, ADDRESS);
        let lanes = section.optional_number("lanes", 1, 1, LANES_MAX);
        let policy = section.optional("policy", DEFAULT_POLICY.to_owned(), "the name of a policy");
        let seed = section.optional_number("seed", 0, 0, u64::MAX);
        Some(Self {
            cluster: cluster?,
            cluster_key: cluster_key?,
            http_address: http_address?,
            domain: domain?,
            keepers: keepers?,
            lanes: u16::try_from(lanes?).ok()?,
            policy: policy?,
            seed: seed?,
        })
    }
}
