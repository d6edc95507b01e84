//! Storage in the files of a folder.

use std::fs::{self, File, TryLockError};
use std::path::Path;
use std::sync::Arc;

use super::clean_stop::CleanStop;
use super::disk_io::{self, DiskIo, StorageStats};
use super::frame::corrupt;
use super::identity::{self, DiskIdentity};
use super::segment::{self, FIRST_SEGMENT, Segment};
use super::snapshot_file::{self, StoredSnapshot};
use super::{Storage, StorageError};
use crate::disk_work::{HardState, PersistBatch, RecoveredState};
use crate::ids::LogIndex;
use crate::snapshot::Snapshot;

const LOCK_NAME: &str = "lock";

/// Storage in the files of a folder, locked against use by other processes.
///
/// The log is split into segments. Each compaction starts a new segment and deletes the segments
/// that the snapshot covers, so the folder holds one snapshot and at most the log entries of two
/// compactions.
#[derive(Debug)]
pub struct FileStorage {
    io: DiskIo,
    identity: DiskIdentity,
    hard_state: HardState,
    /// Ordered from oldest to newest. The last one is written to.
    segments: Vec<Segment>,
    active: Option<File>,
    snapshot: Option<LogIndex>,
    failed: bool,
    _lock: File,
}

impl FileStorage {
    /// Opens a keeper's folder and creates it if necessary. An empty folder gets the `expected`
    /// identity; a folder in use keeps its own incarnation, see [`identity`](Self::identity). Each
    /// sync is followed by a delay of `sync_delay_ms`.
    ///
    /// # Errors
    ///
    /// Fails if the folder can't be used, belongs to another cluster or keeper, has another format
    /// version, or is in use by another process.
    pub fn open(
        folder: &Path,
        expected: DiskIdentity,
        sync_delay_ms: u64,
    ) -> Result<Self, StorageError> {
        let refused = |error| StorageError::Folder(folder.to_owned(), error);
        fs::create_dir_all(folder).map_err(refused)?;
        let lock = File::create(folder.join(LOCK_NAME)).map_err(refused)?;
        lock.try_lock().map_err(|error| match error {
            TryLockError::WouldBlock => StorageError::InUse(folder.to_owned()),
            TryLockError::Error(error) => refused(error),
        })?;
        let io = DiskIo::new(folder, sync_delay_ms);
        let identity = identity::load_or_create(&io, expected)?;
        Ok(Self {
            io,
            identity,
            hard_state: HardState::default(),
            segments: Vec::new(),
            active: None,
            snapshot: None,
            failed: false,
            _lock: lock,
        })
    }

    /// Identity of the disk.
    pub fn identity(&self) -> &DiskIdentity {
        &self.identity
    }

    /// Counters of the disk.
    pub fn stats(&self) -> Arc<StorageStats> {
        self.io.stats()
    }

    /// Performs a write, unless an earlier one failed.
    fn run_unless_failed(
        &mut self,
        write: impl FnOnce(&mut Self) -> Result<(), StorageError>,
    ) -> Result<(), StorageError> {
        if self.failed {
            return Err(StorageError::Stopped(self.io.folder().to_owned()));
        }
        let result = write(self);
        self.failed = result.is_err();
        result
    }

    fn append(&mut self, batch: &PersistBatch) -> Result<(), StorageError> {
        self.hard_state = batch.hard_state.unwrap_or(self.hard_state);
        let (Some(segment), Some(file)) = (self.segments.last_mut(), &mut self.active) else {
            return Err(StorageError::Stopped(self.io.folder().to_owned()));
        };
        segment.append(&self.io, file, batch)
    }

    /// Creates a new segment for all later writes. Files whose deletion is undone by a crash are
    /// deleted again at the next start.
    fn begin_segment(&mut self) -> Result<u64, StorageError> {
        let last = self.segments.last().map_or(0, |last| last.number);
        let number = last + 1;
        let segment = Segment::create(&self.io, number, self.hard_state)?;
        self.active = Some(segment.open(&self.io)?);
        self.segments.push(segment);
        Ok(number)
    }

    /// Writes a snapshot and deletes the snapshot and the segments that it replaces.
    fn replace_snapshot(&mut self, snapshot: &Snapshot, first: u64) -> Result<(), StorageError> {
        let index = snapshot.head.index;
        let stored = StoredSnapshot {
            snapshot: snapshot.clone(),
            first_segment: first,
        };
        stored.write(&self.io)?;
        let earlier = self.snapshot.replace(index);
        if let Some(earlier) = earlier.filter(|earlier| *earlier != index) {
            disk_io::delete(&StoredSnapshot::path(&self.io, earlier))?;
        }
        for segment in self
            .segments
            .extract_if(.., |segment| segment.number < first)
        {
            disk_io::delete(&Segment::path(&self.io, segment.number))?;
        }
        Ok(())
    }

    /// Number of the first segment with entries after `index`, or of the last segment.
    fn first_needed_segment(&self, index: LogIndex) -> u64 {
        let needed = self.segments.iter().find(|segment| segment.highest > index);
        let needed = needed.or(self.segments.last());
        needed.map_or(0, |segment| segment.number)
    }

    fn load_snapshot(&mut self, names: &[String]) -> Result<Option<StoredSnapshot>, StorageError> {
        let indexes: Vec<_> = names
            .iter()
            .filter_map(|name| snapshot_file::index(name))
            .collect();
        let Some((latest, earlier)) = indexes.split_last() else {
            return Ok(None);
        };
        let stored = StoredSnapshot::load(&self.io, *latest)?;
        for index in earlier {
            disk_io::delete(&StoredSnapshot::path(&self.io, *index))?;
        }
        self.snapshot = Some(*latest);
        Ok(Some(stored))
    }

    fn load_segments(
        &mut self,
        names: &[String],
        first: u64,
        state: &mut RecoveredState,
    ) -> Result<(), StorageError> {
        let numbers: Vec<_> = names
            .iter()
            .filter_map(|name| segment::number(name))
            .collect();
        let (void, needed): (Vec<u64>, Vec<u64>) =
            numbers.into_iter().partition(|number| *number < first);
        for number in void {
            disk_io::delete(&Segment::path(&self.io, number))?;
        }
        for (position, number) in needed.iter().enumerate() {
            self.check_order(*number, first)?;
            let is_last = position + 1 == needed.len();
            let segment = Segment::replay(&self.io, *number, is_last, state)?;
            self.segments.push(segment);
        }
        Ok(())
    }

    fn check_order(&self, number: u64, first: u64) -> Result<(), StorageError> {
        let expected = self.segments.last().map_or(first, |last| last.number + 1);
        match number == expected {
            true => Ok(()),
            false => {
                let path = Segment::path(&self.io, expected);
                Err(corrupt(&path, 0, "the segment is missing"))
            }
        }
    }
}

impl Storage for FileStorage {
    fn recover(&mut self) -> Result<RecoveredState, StorageError> {
        let names = self.io.file_names()?;
        let mut state = RecoveredState::empty(self.identity.incarnation);
        let stored = self.load_snapshot(&names)?;
        let first = stored
            .as_ref()
            .map_or(FIRST_SEGMENT, |stored| stored.first_segment);
        state.snapshot = stored.map(|stored| stored.snapshot);
        self.segments.clear();
        self.load_segments(&names, first, &mut state)?;
        let Some(last) = self.segments.last() else {
            let path = Segment::path(&self.io, first);
            return Err(corrupt(&path, 0, "the segment is missing"));
        };
        CleanStop::check(&self.io, &names, last.end())?;
        self.active = Some(last.open(&self.io)?);
        self.hard_state = state.hard_state;
        Ok(state)
    }

    fn persist(&mut self, batch: &PersistBatch) -> Result<(), StorageError> {
        self.run_unless_failed(|storage| storage.append(batch))
    }

    fn compact(&mut self, snapshot: &Snapshot) -> Result<(), StorageError> {
        self.run_unless_failed(|storage| {
            storage.begin_segment()?;
            let first = storage.first_needed_segment(snapshot.head.index);
            storage.replace_snapshot(snapshot, first)
        })
    }

    fn install_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), StorageError> {
        self.run_unless_failed(|storage| {
            let first = storage.begin_segment()?;
            storage.replace_snapshot(snapshot, first)
        })
    }

    fn close(&mut self) -> Result<(), StorageError> {
        self.run_unless_failed(|storage| match storage.segments.last() {
            Some(last) => last.end().write(&storage.io),
            None => Ok(()),
        })
    }
}
