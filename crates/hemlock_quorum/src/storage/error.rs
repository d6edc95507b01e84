//! Errors of the durable storage.

use std::io;
use std::path::PathBuf;

use quick_error::quick_error;

quick_error! {
    /// Reasons why the storage can't be used. Each message says what the operator can do.
    #[derive(Debug)]
    pub enum StorageError {
        /// The data folder can't be created or opened.
        Folder(path: PathBuf, error: io::Error) {
            source(error)
            display("the data folder {} can't be used ({error}); make it writable for this user",
                    path.display())
        }
        /// The disk is full.
        Full(path: PathBuf) {
            display("no space is left to write {}; free some space and restart; no confirmed \
                     data is lost", path.display())
        }
        /// Reading or writing failed.
        Io(path: PathBuf, error: io::Error) {
            source(error)
            display("{} can't be read or written ({error}); check the disk and restart",
                    path.display())
        }
        /// Stored data is missing or corrupt, other than an incomplete last write.
        Corrupt(path: PathBuf, offset_bytes: u64, reason: &'static str) {
            display("{} is corrupt at byte {offset_bytes} ({reason}); restore the folder from its \
                     disk, or clear it so that the keeper joins again as a learner",
                    path.display())
        }
        /// A file was written in another format version.
        WrongVersion(path: PathBuf, found: u32, expected: u32) {
            display("{} has format version {found}, but this program reads version {expected}; \
                     start the version of the program that wrote it", path.display())
        }
        /// The disk belongs to another cluster or keeper.
        ForeignDisk(path: PathBuf, field: &'static str, found: String, expected: String) {
            display("{} belongs to {field} {found}, not {expected}; mount the right disk, or \
                     configure an empty folder", path.display())
        }
        /// Another process uses the folder.
        InUse(path: PathBuf) {
            display("{} is in use by another process; stop it first", path.display())
        }
        /// An earlier write failed, so the state on disk is unknown.
        Stopped(path: PathBuf) {
            display("an earlier write to {} failed; fix the cause and restart the keeper",
                    path.display())
        }
        /// A record exceeds the size limit.
        TooLarge(size_bytes: usize) {
            display("a record of {size_bytes} bytes is too large for the log; split the command")
        }
    }
}
