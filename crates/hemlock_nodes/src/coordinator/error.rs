//! Why a coordinator ends.

use std::net::SocketAddr;

use hemlock_jobs::prelude::JobStoreError;
use hemlock_quorum::prelude::{QuorumError, StorageError};
use quick_error::quick_error;

quick_error! {
    /// Why a coordinator can't start or go on.
    #[derive(Debug)]
    pub enum CoordinatorError {
        /// An address can't be listened on.
        Bind(address: SocketAddr, source: std::io::Error) {
            display("cannot listen on {address}: {source}")
            source(source)
        }
        /// The disk can't be used.
        Storage(source: StorageError) {
            display("{source}")
            source(source)
            from()
        }
        /// The log doesn't fit the settings.
        Quorum(source: QuorumError) {
            display("{source}")
            source(source)
            from()
        }
        /// The record of jobs can't be read or written.
        Book(source: JobStoreError) {
            display("{source}")
            source(source)
            from()
        }
        /// A thread can't be made.
        Thread(source: std::io::Error) {
            display("a thread can't be started: {source}")
            source(source)
        }
    }
}
