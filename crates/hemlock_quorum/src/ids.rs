//! Newtypes for ids and sequence numbers of the replicated log.

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
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
        #[serde(transparent)]
        pub struct $name(pub u64);
    };
}

number_type! {
    /// Id of a keeper, set in the configuration of the cluster. It stays the same when the disk is
    /// replaced.
    KeeperId
}

number_type! {
    /// Election term. Each term has at most one leader.
    Term
}

number_type! {
    /// Index of an entry in the replicated log. The first entry has index 1.
    LogIndex
}

number_type! {
    /// Identifies a proposal or read request of the caller, so that the reply can be matched.
    ProposalToken
}

number_type! {
    /// Id of a unit of disk work. Ids increase in the order in which the work must be done.
    WorkId
}

impl Term {
    /// The next term.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl LogIndex {
    /// The index before the first entry.
    pub const ZERO: Self = Self(0);

    /// The next index.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// The previous index, or zero if this is zero.
    #[must_use]
    pub fn prev(self) -> Self {
        Self(self.0.saturating_sub(1))
    }

    /// Number of entries from `earlier` to this index; zero if `earlier` is not lower.
    pub fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

impl WorkId {
    /// The next id.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}
