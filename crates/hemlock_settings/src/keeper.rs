//! Settings of `hemlock-keeper`.

use std::net::SocketAddr;
use std::path::PathBuf;

use hemlock_types::prelude::*;

use crate::document::Settings;
use crate::error::FieldProblem;
use crate::secret::SecretKey;
use crate::section::Section;
use crate::{ADDRESS, KEEPERS_MAX, cluster_key};

/// Maximum of `sync_delay_ms`.
const SYNC_DELAY_MAX_MS: u64 = 1_000;
/// Maximum number of operator keys.
const OPERATOR_KEYS_MAX: usize = 64;

/// Settings of one keeper.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeeperSettings {
    /// Name of the cluster. Connections from processes of another cluster are refused.
    pub cluster: String,
    /// Shared secret with which the processes of the cluster authenticate each other.
    pub cluster_key: SecretKey,
    /// Id of this keeper, starting at 1 and unique in the cluster.
    pub keeper_id: u64,
    /// Folder for the files that must survive a restart.
    pub data_folder: PathBuf,
    /// Address on which the keeper listens for keepers, entries and agents.
    pub wire_address: SocketAddr,
    /// Address of the HTTP server for operators, health checks and metrics.
    pub http_address: SocketAddr,
    /// Failure domain in which this keeper runs.
    pub domain: FailureDomainName,
    /// All keepers of a new cluster, including this one.
    pub keepers: Vec<KeeperAddress>,
    /// SHA-256 digests of the operators' API keys.
    pub operator_key_sha256: Vec<Digest>,
    /// Delay added to each synced write, in milliseconds. Simulates a slower disk in experiments.
    pub sync_delay_ms: u64,
}

/// Id and wire address of one keeper.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeeperAddress {
    /// Id of the keeper.
    pub id: u64,
    /// Wire address of the keeper.
    pub address: SocketAddr,
}

impl Settings for KeeperSettings {
    fn read(section: &mut Section<'_>) -> Option<Self> {
        let cluster = section.required_name("cluster");
        let cluster_key = cluster_key(section);
        let keeper_id = section.required_number("keeper_id", 1, u64::MAX);
        let data_folder = section.required("data_folder", "the path of a folder");
        let wire_address = section.required("wire_address", ADDRESS);
        let http_address = section.required("http_address", ADDRESS);
        let domain = section.required_name("domain");
        let keepers = read_keepers(section);
        let operator_key_sha256 = section.required_list(
            "operator_key_sha256",
            1,
            OPERATOR_KEYS_MAX,
            "the SHA-256 of each operator's key, in 64 hexadecimal digits",
        );
        let sync_delay_ms = section.optional_number("sync_delay_ms", 0, 0, SYNC_DELAY_MAX_MS);
        let settings = Self {
            cluster: cluster?,
            cluster_key: cluster_key?,
            keeper_id: keeper_id?,
            data_folder: data_folder?,
            wire_address: wire_address?,
            http_address: http_address?,
            domain: domain?,
            keepers: keepers?,
            operator_key_sha256: operator_key_sha256?,
            sync_delay_ms: sync_delay_ms?,
        };
        settings.check(section);
        Some(settings)
    }
}

impl KeeperSettings {
    fn check(&self, section: &mut Section<'_>) {
        let own = self
            .keepers
            .iter()
            .find(|keeper| keeper.id == self.keeper_id);
        section.check(
            own.is_some(),
            "keepers",
            FieldProblem::Conflict("must include this keeper, with its keeper_id as id"),
        );
        let agrees = |keeper: &KeeperAddress| {
            self.wire_address.port() == 0
                || self.wire_address.ip().is_unspecified()
                || keeper.address == self.wire_address
        };
        section.check(
            own.is_none_or(agrees),
            "wire_address",
            FieldProblem::Conflict(
                "differs from this keeper's address in keepers; make them equal",
            ),
        );
    }
}

fn read_keepers(section: &mut Section<'_>) -> Option<Vec<KeeperAddress>> {
    let expected = "each keeper as `- id: 1` and `address: 10.0.0.1:7100`";
    let keepers = section.sections("keepers", 1, KEEPERS_MAX, expected, |keeper| {
        let id = keeper.required_number("id", 1, u64::MAX);
        let address = keeper.required("address", ADDRESS);
        Some(KeeperAddress {
            id: id?,
            address: address?,
        })
    })?;
    for (index, keeper) in keepers.iter().enumerate() {
        let earlier = &keepers[..index];
        let same_id = earlier.iter().any(|other| other.id == keeper.id);
        let same_address = earlier
            .iter()
            .any(|other| other.address == keeper.address && other.address.port() != 0);
        section.check(
            !same_id,
            &format!("keepers[{index}].id"),
            FieldProblem::Duplicate,
        );
        section.check(
            !same_address,
            &format!("keepers[{index}].address"),
            FieldProblem::Duplicate,
        );
    }
    Some(keepers)
}
