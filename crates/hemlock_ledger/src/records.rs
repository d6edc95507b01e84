//! The ledger's records, shared cheaply with a snapshot that is being written.

use std::collections::HashMap;
use std::sync::Arc;

use hemlock_types::prelude::*;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::record::Record;

/// Parts that are copied one by one when a change meets a snapshot.
const SHARDS: usize = 4_096;

type Shard = HashMap<SubmissionId, Record>;

/// Every record by its submission.
///
/// A clone shares all records. A change after that copies only the part that it touches, so that
/// taking a snapshot of millions of records doesn't hold up the claims.
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

/// Submission ids are digests, so that any of their bytes spread them evenly.
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
