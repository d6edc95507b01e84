//! Typed errors of the keeper's disk.

use std::io;
use std::path::PathBuf;

use quick_error::quick_error;

quick_error! {
    /// Why the keeper's disk can't be used. Each error says what to do.
    #[derive(Debug)]
    pub enum StorageError {
        /// The data folder can't be made or opened.
        Folder(path: PathBuf, error: io::Error) {
            source(error)
            display("the data folder {} can't be used ({error}); make it writable for this user",
                    path.display())
        }
        /// The disk is full.
        Full(path: PathBuf) {
            display("no space is left to write {}; free some space and start again; nothing that \
                     was confirmed is lost", path.display())
        }
        /// Reading or writing failed.
        Io(path: PathBuf, error: io::Error) {
            source(error)
            display("{} can't be read or written ({error}); check the disk and start again",
                    path.display())
        }
        /// A record is damaged, and durable records follow it.
        Corrupt(path: PathBuf, offset_bytes: u64, what: &'static str) {
            display("{} is damaged at byte {offset_bytes} ({what}); restore the folder from its \
                     disk, or clear it so that the keeper joins again as a learner",
                    path.display())
        }
        /// The files were written by another version of the program.
        WrongVersion(path: PathBuf, found: u32, expected: u32) {
            display("{} has format version {found}, this program reads {expected}; start the \
                     version that wrote it", path.display())
        }
        /// The disk belongs to another cluster or keeper.
        ForeignDisk(path: PathBuf, field: &'static str, found: String, expected: String) {
            display("{} is the disk of {field} {found}, not {expected}; mount the right disk, or \
                     point the keeper to an empty folder", path.display())
        }
        /// Another process uses the folder.
        InUse(path: PathBuf) {
            display("another process uses {}; stop it first", path.display())
        }
        /// An earlier write failed, so that the state on disk is unknown.
        Stopped(path: PathBuf) {
            display("an earlier write to {} failed; mend that and start the keeper again",
                    path.display())
        }
        /// An entry is larger than a record may be.
        TooLarge(size_bytes: usize) {
            display("a record of {size_bytes} bytes is too large for the log; split the command")
        }
    }
}
