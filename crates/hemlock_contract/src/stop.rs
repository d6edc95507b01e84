//! Planned stops of endpoints.

use derive_more::{Display, From, Into};
use hemlock_types::names::is_valid_name;
use hemlock_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::fault::{ContractFault, FaultKind};

/// Id of a planned stop. The operator chooses it, so that a resent stop is recognised.
#[derive(
    Clone, Debug, Display, From, Into, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct StopId(pub String);

/// A planned stop. The endpoints that it covers get no new work, and their running work finishes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlannedStop {
    /// Id of the stop.
    pub id: StopId,
    /// The endpoints that it covers.
    pub target: StopTarget,
}

/// Endpoints that a planned stop covers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum StopTarget {
    /// The endpoint instance of one agent incarnation.
    Endpoint(Incarnation),
    /// Every endpoint on a rack of a failure domain.
    Rack(FailureDomainName, RackName),
    /// Every endpoint in a failure domain.
    Domain(FailureDomainName),
}

impl StopTarget {
    /// Returns whether the stop covers the endpoint of `agent`, on the given rack of the failure
    /// domain.
    pub fn covers(&self, agent: Incarnation, domain: &FailureDomainName, rack: &RackName) -> bool {
        match self {
            Self::Endpoint(target) => *target == agent,
            Self::Rack(in_domain, target) => in_domain == domain && target == rack,
            Self::Domain(target) => target == domain,
        }
    }
}

impl PlannedStop {
    /// Checks the id and the names in the target.
    ///
    /// # Errors
    ///
    /// Returns all faults, each with its field.
    pub fn check(&self) -> Result<(), Vec<ContractFault>> {
        let target_names = match &self.target {
            StopTarget::Endpoint(_) => vec![],
            StopTarget::Rack(domain, rack) => {
                vec![
                    ("target.rack", domain.as_str()),
                    ("target.rack", rack.as_str()),
                ]
            }
            StopTarget::Domain(domain) => vec![("target.domain", domain.as_str())],
        };
        let faults: Vec<ContractFault> = [("id", self.id.0.as_str())]
            .into_iter()
            .chain(target_names)
            .filter(|(_, name)| !is_valid_name(name))
            .map(|(field, _)| ContractFault {
                field: field.to_owned(),
                kind: FaultKind::BadName,
            })
            .collect();
        match faults.is_empty() {
            true => Ok(()),
            false => Err(faults),
        }
    }
}
