//! Errors that end a coordinator.

use std::net::SocketAddr;

use hemlock_jobs::prelude::JobStoreError;
use hemlock_quorum::prelude::{QuorumError, StorageError};
use quick_error::quick_error;

quick_error! {
    /// An error that prevents a coordinator from starting or continuing.
    #[derive(Debug)]
    pub enum CoordinatorError {
        /// Listening on the address failed.
        Bind(address: SocketAddr, source: std::io::Error) {
            display("cannot listen on {address}: {source}")
            source(source)
        }
        /// Reading or writing the disk failed.
        Storage(source: StorageError) {
            display("{source}")
            source(source)
            from()
        }
        /// The recovered log contradicts the settings.
        Quorum(source: QuorumError) {
            display("{source}")
            source(source)
            from()
        }
        /// A snapshot of the job store can't be read or written.
        JobStore(source: JobStoreError) {
            display("{source}")
            source(source)
            from()
        }
        /// The disk thread can't be started.
        Thread(source: std::io::Error) {
            display("cannot start the disk thread: {source}")
            source(source)
        }
    }
}
