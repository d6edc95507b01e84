//! Announced planned stops of endpoints.

use derive_more::{Display, From, Into};
use hemlock_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Names a planned stop; the operator chooses it, so that a resend is recognised.
#[derive(
    Clone, Debug, Display, From, Into, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct StopId(pub String);

/// One planned stop. Its targets get no new work, and work in flight finishes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlannedStop {
    /// Names the stop.
    pub id: StopId,
    /// What stops.
    pub target: StopTarget,
}

/// What a planned stop covers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum StopTarget {
    /// One agent incarnation and its endpoint instance.
    Endpoint(Incarnation),
    /// Every endpoint on a rack of a failure domain.
    Rack(DomainName, RackName),
    /// Every endpoint in a failure domain.
    Domain(DomainName),
}

impl StopTarget {
    /// Whether the stop covers the endpoint that stands at the given place.
    pub fn covers(&self, agent: Incarnation, domain: &DomainName, rack: &RackName) -> bool {
        match self {
            Self::Endpoint(target) => *target == agent,
            Self::Rack(in_domain, target) => in_domain == domain && target == rack,
            Self::Domain(target) => target == domain,
        }
    }
}
