//! The latest accepted revisions of a contract, for answering resends.

use std::collections::VecDeque;

use hemlock_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::contract::Contract;

/// Accepted revisions of one contract that are remembered.
const HISTORY_REVISIONS: usize = 64;

/// Accepted revisions of one contract, the latest last.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct History {
    past: VecDeque<PastRevision>,
}

/// One accepted revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PastRevision {
    revision: Revision,
    content: Digest,
    version: ConfigVersion,
}

impl History {
    pub(crate) fn push(&mut self, contract: &Contract, version: ConfigVersion) {
        self.past.push_back(PastRevision {
            revision: contract.revision,
            content: contract.content_digest(),
            version,
        });
        if self.past.len() > HISTORY_REVISIONS {
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
    pub(crate) fn is_same(&self, contract: &Contract) -> bool {
        self.content == contract.content_digest()
    }

    pub(crate) fn version(&self) -> ConfigVersion {
        self.version
    }
}
