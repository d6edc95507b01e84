//! The keeper's disk behind a trait.

mod clean_stop;
mod disk_io;
mod error;
mod file;
mod frame;
mod header;
mod identity;
mod memory;
mod segment;
mod snapshot_file;

pub use disk_io::StorageStats;
pub use error::StorageError;
pub use file::FileStorage;
pub use header::FORMAT_VERSION;
pub use identity::DiskIdentity;
pub use memory::MemoryStorage;

use crate::disk_work::{DiskWork, PersistBatch, RecoveredState};
use crate::ids::WorkId;
use crate::snapshot::Snapshot;

/// Durable storage of one keeper. Every method returns only when its effect would survive a crash.
///
/// After an error the state on disk is unknown, and the keeper must stop: it may be started again
/// once the fault is mended.
pub trait Storage: Send {
    /// Reads what the disk holds. Called once, before anything is written.
    ///
    /// # Errors
    ///
    /// Fails when the disk can't be read, or holds damaged records.
    fn recover(&mut self) -> Result<RecoveredState, StorageError>;

    /// Writes a batch with one sync.
    ///
    /// # Errors
    ///
    /// Fails when the disk can't be written.
    fn persist(&mut self, batch: &PersistBatch) -> Result<(), StorageError>;

    /// Stores a snapshot and drops the log that it stands in for.
    ///
    /// # Errors
    ///
    /// Fails when the disk can't be written.
    fn compact(&mut self, snapshot: &Snapshot) -> Result<(), StorageError>;

    /// Stores a snapshot and drops the whole log.
    ///
    /// # Errors
    ///
    /// Fails when the disk can't be written.
    fn install_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), StorageError>;

    /// Notes a clean stop, after which nothing is written. A later start then finds out whether the
    /// disk still holds all that it had confirmed. Leaving it out is a crash, which loses nothing.
    ///
    /// # Errors
    ///
    /// Fails when the disk can't be written.
    fn close(&mut self) -> Result<(), StorageError> {
        Ok(())
    }
}

/// Does all waiting work in order, adjacent batches by one sync, and returns the last work's
/// number.
///
/// The disk thread takes everything that waits, calls this, and feeds
/// [`Event::Synced`](crate::event::Event::Synced) with the result.
///
/// # Errors
///
/// Fails when the disk can't be written; nothing of the work may then be called durable.
pub fn perform(
    storage: &mut dyn Storage,
    work: impl IntoIterator<Item = DiskWork>,
) -> Result<Option<WorkId>, StorageError> {
    let mut done = None;
    let mut waiting: Option<PersistBatch> = None;
    for item in work {
        done = Some(item.id());
        match item {
            DiskWork::Append(batch) => match &mut waiting {
                Some(earlier) => earlier.merge(batch),
                None => waiting = Some(batch),
            },
            DiskWork::Compact { snapshot, .. } => {
                flush(storage, &mut waiting)?;
                storage.compact(&snapshot)?;
            }
            DiskWork::Install { snapshot, .. } => {
                flush(storage, &mut waiting)?;
                storage.install_snapshot(&snapshot)?;
            }
        }
    }
    flush(storage, &mut waiting)?;
    Ok(done)
}

fn flush(
    storage: &mut dyn Storage,
    waiting: &mut Option<PersistBatch>,
) -> Result<(), StorageError> {
    match waiting.take() {
        Some(batch) => storage.persist(&batch),
        None => Ok(()),
    }
}
