//! Writes and syncs, with their errors typed and their number counted.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use super::StorageError;

/// Ending of a file that is still being written.
const PARTIAL_ENDING: &str = "tmp";

/// Counters of a disk, which any thread may read.
#[derive(Debug, Default)]
pub struct StorageStats {
    syncs: AtomicU64,
    sync_us: AtomicU64,
    written_bytes: AtomicU64,
}

impl StorageStats {
    /// Syncs of files and folders so far.
    pub fn syncs(&self) -> u64 {
        self.syncs.load(Ordering::Relaxed)
    }

    /// Time that the syncs took, in microseconds, the configured delay counted in.
    pub fn sync_us(&self) -> u64 {
        self.sync_us.load(Ordering::Relaxed)
    }

    /// Bytes written so far.
    pub fn written_bytes(&self) -> u64 {
        self.written_bytes.load(Ordering::Relaxed)
    }
}

/// Writes files of one folder.
#[derive(Debug)]
pub(super) struct DiskIo {
    folder: PathBuf,
    sync_delay: Duration,
    stats: Arc<StorageStats>,
}

impl DiskIo {
    pub(super) fn new(folder: &Path, sync_delay_ms: u64) -> Self {
        Self {
            folder: folder.to_owned(),
            sync_delay: Duration::from_millis(sync_delay_ms),
            stats: Arc::default(),
        }
    }

    pub(super) fn folder(&self) -> &Path {
        &self.folder
    }

    pub(super) fn stats(&self) -> Arc<StorageStats> {
        Arc::clone(&self.stats)
    }

    /// Appends to an open file and syncs it.
    pub(super) fn append(
        &self,
        file: &mut File,
        path: &Path,
        bytes: &[u8],
    ) -> Result<(), StorageError> {
        file.write_all(bytes).map_err(|error| at(path, error))?;
        self.stats
            .written_bytes
            .fetch_add(bytes.len() as u64, Ordering::Relaxed);
        self.sync_file(file, path)
    }

    /// Puts a whole file in place: a crash leaves the earlier file or the new one.
    pub(super) fn replace(&self, path: &Path, bytes: &[u8]) -> Result<(), StorageError> {
        let partial = path.with_extension(PARTIAL_ENDING);
        let mut file = File::create(&partial).map_err(|error| at(&partial, error))?;
        self.append(&mut file, &partial, bytes)?;
        fs::rename(&partial, path).map_err(|error| at(path, error))?;
        self.sync_folder()
    }

    /// Makes a file's content and length durable.
    pub(super) fn sync_file(&self, file: &File, path: &Path) -> Result<(), StorageError> {
        let start = Instant::now();
        file.sync_data().map_err(|error| at(path, error))?;
        if !self.sync_delay.is_zero() {
            std::thread::sleep(self.sync_delay);
        }
        let took_us = u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX);
        self.stats.syncs.fetch_add(1, Ordering::Relaxed);
        self.stats.sync_us.fetch_add(took_us, Ordering::Relaxed);
        Ok(())
    }

    pub(super) fn sync_folder(&self) -> Result<(), StorageError> {
        let folder = File::open(&self.folder).map_err(|error| at(&self.folder, error))?;
        self.sync_file(&folder, &self.folder)
    }

    /// The names of the folder's files, without those that were never finished, which are deleted.
    pub(super) fn file_names(&self) -> Result<Vec<String>, StorageError> {
        let folder = &self.folder;
        let mut names = Vec::new();
        for item in fs::read_dir(folder).map_err(|error| at(folder, error))? {
            let path = item.map_err(|error| at(folder, error))?.path();
            match path.extension() {
                Some(ending) if ending == PARTIAL_ENDING => delete(&path)?,
                _ => names.extend(path.file_name().map(|name| name.to_string_lossy().into())),
            }
        }
        names.sort();
        Ok(names)
    }
}

pub(super) fn read(path: &Path) -> Result<Vec<u8>, StorageError> {
    fs::read(path).map_err(|error| at(path, error))
}

pub(super) fn delete(path: &Path) -> Result<(), StorageError> {
    fs::remove_file(path).map_err(|error| at(path, error))
}

/// Types an error of the operating system.
pub(super) fn at(path: &Path, error: io::Error) -> StorageError {
    match error.kind() {
        io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => {
            StorageError::Full(path.to_owned())
        }
        _ => StorageError::Io(path.to_owned(), error),
    }
}
