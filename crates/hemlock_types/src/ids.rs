//! Newtype ids. Each is `Copy` and serves as a key into an arena or a map.

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

use crate::digest::Digest;
use crate::names::CustomerName;

/// One life of one process, drawn at random when it starts.
///
/// A restarted process has a new incarnation, so that nothing meant for its earlier life
/// reaches it.
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

/// Names one request between two processes; never used twice in a sender's incarnation.
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

/// A claim's fencing number: a gate refuses work of an epoch below the highest it has seen.
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
    /// The epoch that follows this one.
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

/// Number that an operator gives to one state of one contract; it only grows.
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

/// Index in the replicated log of the latest configuration change that a process holds.
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
pub struct Version(pub u64);

/// Names a submission: a digest of its customer and of the name that the caller gave it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SubmissionId(pub [u8; 16]);

impl SubmissionId {
    /// The id of the submission that `customer` calls `name`.
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
