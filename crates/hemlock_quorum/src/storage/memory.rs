//! In-memory storage for tests.

use std::sync::{Arc, Mutex, PoisonError};

use hemlock_types::ids::Incarnation;

use super::{Storage, StorageError};
use crate::disk_work::{PersistBatch, RecoveredState};
use crate::entry::Entry;
use crate::snapshot::Snapshot;

/// In-memory storage. Clones share the data, so that a test can restart a keeper on the same disk.
#[derive(Clone, Debug)]
pub struct MemoryStorage {
    state: Arc<Mutex<RecoveredState>>,
}

impl MemoryStorage {
    /// Creates an empty disk.
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            state: Arc::new(Mutex::new(RecoveredState::empty(incarnation))),
        }
    }

    fn with<R>(&self, change: impl FnOnce(&mut RecoveredState) -> R) -> R {
        change(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl Storage for MemoryStorage {
    fn recover(&mut self) -> Result<RecoveredState, StorageError> {
        Ok(self.with(|state| state.clone()))
    }

    fn persist(&mut self, batch: &PersistBatch) -> Result<(), StorageError> {
        self.with(|state| apply_batch(state, batch));
        Ok(())
    }

    fn compact(&mut self, snapshot: &Snapshot) -> Result<(), StorageError> {
        let index = snapshot.head.index;
        self.with(|state| {
            state.entries.retain(|entry| entry.index > index);
            state.snapshot = Some(snapshot.clone());
        });
        Ok(())
    }

    fn install_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), StorageError> {
        self.with(|state| {
            state.entries.clear();
            state.snapshot = Some(snapshot.clone());
        });
        Ok(())
    }
}

fn apply_batch(state: &mut RecoveredState, batch: &PersistBatch) {
    if let Some(from) = batch.truncate_from {
        state.entries.retain(|entry| entry.index < from);
    }
    if let (Some(last), Some(first)) = (state.entries.last(), batch.entries.first()) {
        assert_eq!(
            first.index,
            last.index.next(),
            "the batch must not leave a gap"
        );
    }
    state.entries.extend(batch.entries.iter().map(Entry::clone));
    state.hard_state = batch.hard_state.unwrap_or(state.hard_state);
}
