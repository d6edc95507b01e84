//! Newtype ids of the replicated log.

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
    /// Names a keeper in the settings of its cluster. It outlives the keeper's disk.
    KeeperId
}

number_type! {
    /// An election period. It has one leader at most.
    Term
}

number_type! {
    /// A position in the replicated log. The first entry stands at 1.
    LogIndex
}

number_type! {
    /// Names one request of the shell, so that its answer can be matched.
    ProposalToken
}

number_type! {
    /// Names one piece of disk work. Work is numbered in the order in which it must be done.
    WorkId
}

impl Term {
    /// The term that follows this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl LogIndex {
    /// The position before the first entry.
    pub const ZERO: Self = Self(0);

    /// The position that follows this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// The position before this one; zero stays zero.
    #[must_use]
    pub fn prev(self) -> Self {
        Self(self.0.saturating_sub(1))
    }

    /// How many positions this one is past `earlier`; zero when it is not.
    pub fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

impl WorkId {
    /// The number that follows this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}
