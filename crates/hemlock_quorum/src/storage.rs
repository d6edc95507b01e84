//! Durable storage of a keeper.

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

/// Durable storage of a keeper. Methods return only once their effect would survive a crash.
///
/// After an error the state on disk is unknown and the keeper must stop. It can be restarted once
/// the cause has been fixed.
pub trait Storage: Send {
    /// Reads the stored state. Called once, before anything is written.
    ///
    /// # Errors
    ///
    /// Fails if the disk can't be read or holds corrupt records.
    fn recover(&mut self) -> Result<RecoveredState, StorageError>;

    /// Writes a batch with one sync.
    ///
    /// # Errors
    ///
    /// Fails if the disk can't be written.
    fn persist(&mut self, batch: &PersistBatch) -> Result<(), StorageError>;

    /// Stores a snapshot and removes the log entries that it covers.
    ///
    /// # Errors
    ///
    /// Fails if the disk can't be written.
    fn compact(&mut self, snapshot: &Snapshot) -> Result<(), StorageError>;

    /// Stores a snapshot and removes the whole log.
    ///
    /// # Errors
    ///
    /// Fails if the disk can't be written.
    fn install_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), StorageError>;

    /// Records a clean stop, after which nothing is written. The next start can then detect whether
    /// the disk has lost confirmed writes. Stopping without it is equal to a crash and loses no
    /// data.
    ///
    /// # Errors
    ///
    /// Fails if the disk can't be written.
    fn close(&mut self) -> Result<(), StorageError> {
        Ok(())
    }
}

/// Performs all queued work in order and returns the id of the last work. Adjacent batches share
/// one sync.
///
/// The disk thread calls this with everything that is queued and passes the result to the core with
/// [`Event::Synced`](crate::event::Event::Synced).
///
/// # Errors
///
/// Fails if the disk can't be written. None of the work may then be treated as durable.
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
