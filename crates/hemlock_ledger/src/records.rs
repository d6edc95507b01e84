//! Records of the ledger, shared with snapshots by copy-on-write.

use std::collections::HashMap;
use std::sync::Arc;

use hemlock_types::prelude::*;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::record::Record;

/// Number of shards. A change copies only the affected shard if a snapshot shares it.
const SHARDS: usize = 4_096;

type Shard = HashMap<SubmissionId, Record>;

/// All records, by submission.
///
/// A clone shares all shards. A later change copies only the shard that it modifies, so that a
/// snapshot of millions of records does not block claims.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Records {
    shards: Vec<Arc<Shard>>,
    len: usize,
}

impl Default for Records {
    fn default() -> Self {
        Self {
            shards: (0..SHARDS).map(|_| Arc::default()).collect(),
            len: 0,
        }
    }
}

impl Records {
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    pub(crate) fn get(&self, submission: &SubmissionId) -> Option<&Record> {
        self.shards[shard_of(submission)].get(submission)
    }

    pub(crate) fn get_mut(&mut self, submission: &SubmissionId) -> Option<&mut Record> {
        let shard = &mut self.shards[shard_of(submission)];
        match shard.contains_key(submission) {
            true => Arc::make_mut(shard).get_mut(submission),
            false => None,
        }
    }

    pub(crate) fn insert(&mut self, submission: SubmissionId, record: Record) {
        let shard = Arc::make_mut(&mut self.shards[shard_of(&submission)]);
        if shard.insert(submission, record).is_none() {
            self.len += 1;
        }
    }

    pub(crate) fn remove(&mut self, submission: &SubmissionId) -> Option<Record> {
        let shard = Arc::make_mut(&mut self.shards[shard_of(submission)]);
        let removed = shard.remove(submission)?;
        self.len -= 1;
        Some(removed)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&SubmissionId, &Record)> {
        self.shards.iter().flat_map(|shard| shard.iter())
    }
}

/// Returns the index of the shard. Submission ids are digests, so any of their bytes distribute
/// them evenly.
fn shard_of(submission: &SubmissionId) -> usize {
    usize::from(u16::from_le_bytes([submission.0[0], submission.0[1]])) % SHARDS
}

impl Serialize for Records {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        use serde::ser::SerializeSeq;
        let mut list = serializer.serialize_seq(Some(self.len))?;
        for pair in self.iter() {
            list.serialize_element(&pair)?;
        }
        list.end()
    }
}

impl<'de> Deserialize<'de> for Records {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let list = Vec::<(SubmissionId, Record)>::deserialize(deserializer)?;
        let mut records = Self::default();
        for (submission, record) in list {
            records.insert(submission, record);
        }
        Ok(records)
    }
}
