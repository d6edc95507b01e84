//! Writes and syncs files, counts them, and converts I/O errors.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use super::StorageError;

/// Extension of a file that is still being written.
const TEMP_EXTENSION: &str = "tmp";

/// Disk counters, readable from any thread.
#[derive(Debug, Default)]
pub struct StorageStats {
    syncs: AtomicU64,
    sync_us: AtomicU64,
    written_bytes: AtomicU64,
}

impl StorageStats {
    /// Number of syncs of files and folders so far.
    pub fn syncs(&self) -> u64 {
        self.syncs.load(Ordering::Relaxed)
    }

    /// Total duration of the syncs in microseconds, including the configured delay.
    pub fn sync_us(&self) -> u64 {
        self.sync_us.load(Ordering::Relaxed)
    }

    /// Number of bytes written so far.
    pub fn written_bytes(&self) -> u64 {
        self.written_bytes.load(Ordering::Relaxed)
    }
}

/// Writes the files in a folder.
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
        file.write_all(bytes)
            .map_err(|error| storage_error(path, error))?;
        self.stats
            .written_bytes
            .fetch_add(bytes.len() as u64, Ordering::Relaxed);
        self.sync_file(file, path)
    }

    /// Replaces a file atomically: after a crash either the old or the new content is present.
    pub(super) fn replace(&self, path: &Path, bytes: &[u8]) -> Result<(), StorageError> {
        let partial = path.with_extension(TEMP_EXTENSION);
        let mut file = File::create(&partial).map_err(|error| storage_error(&partial, error))?;
        self.append(&mut file, &partial, bytes)?;
        fs::rename(&partial, path).map_err(|error| storage_error(path, error))?;
        self.sync_folder()
    }

    /// Makes the content and length of a file durable.
    pub(super) fn sync_file(&self, file: &File, path: &Path) -> Result<(), StorageError> {
        let start = Instant::now();
        file.sync_data()
            .map_err(|error| storage_error(path, error))?;
        if !self.sync_delay.is_zero() {
            std::thread::sleep(self.sync_delay);
        }
        let took_us = u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX);
        self.stats.syncs.fetch_add(1, Ordering::Relaxed);
        self.stats.sync_us.fetch_add(took_us, Ordering::Relaxed);
        Ok(())
    }

    pub(super) fn sync_folder(&self) -> Result<(), StorageError> {
        let folder =
            File::open(&self.folder).map_err(|error| storage_error(&self.folder, error))?;
        self.sync_file(&folder, &self.folder)
    }

    /// Returns the names of the files in the folder. Deletes files that were not completely
    /// written.
    pub(super) fn file_names(&self) -> Result<Vec<String>, StorageError> {
        let folder = &self.folder;
        let mut names = Vec::new();
        for item in fs::read_dir(folder).map_err(|error| storage_error(folder, error))? {
            let path = item.map_err(|error| storage_error(folder, error))?.path();
            match path.extension() {
                Some(extension) if extension == TEMP_EXTENSION => delete(&path)?,
                _ => names.extend(path.file_name().map(|name| name.to_string_lossy().into())),
            }
        }
        names.sort();
        Ok(names)
    }
}

pub(super) fn read(path: &Path) -> Result<Vec<u8>, StorageError> {
    fs::read(path).map_err(|error| storage_error(path, error))
}

pub(super) fn delete(path: &Path) -> Result<(), StorageError> {
    fs::remove_file(path).map_err(|error| storage_error(path, error))
}

/// Converts an I/O error.
pub(super) fn storage_error(path: &Path, error: io::Error) -> StorageError {
    match error.kind() {
        io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => {
            StorageError::Full(path.to_owned())
        }
        _ => StorageError::Io(path.to_owned(), error),
    }
}
