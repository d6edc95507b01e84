//! Newtypes for ids and sequence numbers. Each is `Copy` and can be a key of a map.

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

use crate::digest::Digest;
use crate::names::CustomerName;

/// Random id that a process draws each time it starts.
///
/// A restarted process has a new incarnation, so that it does not accept messages meant for the
/// process before the restart.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    From,
    Into,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
)]
#[display("{_0:016x}")]
pub struct Incarnation(pub u64);

/// Id of a request between two processes, unique within the sender's incarnation.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    From,
    Into,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
)]
pub struct RequestId(pub u64);

/// Fencing token of a claim on a submission.
///
/// A gate refuses to start the submission's tasks under an epoch lower than the highest that it
/// has seen.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    From,
    Into,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
)]
pub struct Epoch(pub u32);

impl Epoch {
    /// The next higher epoch.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Position of a task within its submission, from 0.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    From,
    Into,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
)]
pub struct TaskIndex(pub u16);

/// Revision number of a contract, set by an operator and increased with every change.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    From,
    Into,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
)]
pub struct Revision(pub u64);

/// Version of the configuration: the index in the replicated log of its latest change.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    From,
    Into,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
)]
pub struct ConfigVersion(pub u64);

/// Id of a submission: a truncated digest of its customer and the name that the caller gave it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SubmissionId(pub [u8; 16]);

impl SubmissionId {
    /// Derives the id of the submission that `customer` has named `name`.
    pub fn derive(customer: &CustomerName, name: &str) -> Self {
        let digest = Digest::of_parts(&[customer.as_str().as_bytes(), name.as_bytes()]);
        let mut id = [0; 16];
        id.copy_from_slice(&digest.as_bytes()[..16]);
        Self(id)
    }
}

impl std::fmt::Display for SubmissionId {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0
            .iter()
            .try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}
