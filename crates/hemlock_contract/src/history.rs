//! Accepted revisions of a contract, by which a resent contract is recognised.

use std::collections::VecDeque;

use hemlock_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::contract::Contract;

/// Number of accepted revisions that are kept for each contract.
const MAX_REVISIONS: usize = 64;

/// Latest accepted revisions of one contract, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct History {
    past: VecDeque<PastRevision>,
}

/// Accepted revision of a contract.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PastRevision {
    revision: Revision,
    /// Digest of the complete contract.
    content: Digest,
    /// Configuration version that accepted the revision.
    version: ConfigVersion,
}

impl History {
    pub(crate) fn push(&mut self, contract: &Contract, version: ConfigVersion) {
        self.past.push_back(PastRevision {
            revision: contract.revision,
            content: contract.content_digest(),
            version,
        });
        if self.past.len() > MAX_REVISIONS {
            self.past.pop_front();
        }
    }

    pub(crate) fn find(&self, revision: Revision) -> Option<PastRevision> {
        let index = self
            .past
            .binary_search_by_key(&revision, |past| past.revision)
            .ok()?;
        Some(self.past[index])
    }
}

impl PastRevision {
    /// Returns whether the contract equals the accepted one.
    pub(crate) fn has_content_of(&self, contract: &Contract) -> bool {
        self.content == contract.content_digest()
    }

    pub(crate) fn version(&self) -> ConfigVersion {
        self.version
    }
}
