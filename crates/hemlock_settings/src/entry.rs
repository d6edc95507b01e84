//! Settings of `hemlock-entry`.

use std::net::SocketAddr;

use hemlock_types::prelude::*;

use crate::document::Settings;
use crate::secret::SecretKey;
use crate::section::Section;
use crate::{ADDRESS, KEEPERS_MAX, cluster_key};

/// Most lanes of one entry.
const LANES_MAX: u64 = 64;
/// Placement policy of an entry whose settings name none.
const DEFAULT_POLICY: &str = "credits";

/// Settings of one entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntrySettings {
    /// Name of the cluster; processes of another cluster are refused.
    pub cluster: String,
    /// Secret that the cluster's processes prove to each other.
    pub cluster_key: SecretKey,
    /// Address for callers, health checks and metrics.
    pub http_address: SocketAddr,
    /// Failure domain that this entry stands in.
    pub domain: FailureDomainName,
    /// Wire addresses of the keepers.
    pub keepers: Vec<SocketAddr>,
    /// Threads that each own the connections to some of the endpoints.
    pub lanes: u16,
    /// Placement policy.
    pub policy: String,
    /// Seed of the generator that breaks ties between endpoints.
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
        let policy = section.optional("policy", DEFAULT_POLICY.to_owned(), "a policy's name");
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
