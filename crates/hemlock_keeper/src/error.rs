//! Error types of the keeper.

use std::io;
use std::net::SocketAddr;

use hemlock_http::prelude::HttpError;
use hemlock_quorum::prelude::{QuorumError, StorageError};
use quick_error::quick_error;

quick_error! {
    /// Error of encoding or decoding the replicated state or a log command.
    #[derive(Debug)]
    pub enum StateError {
        /// The bytes are corrupt, or the value can't be encoded.
        Encoding(source: postcard::Error) {
            display("can't decode the replicated state: {}; clear the data folder to rejoin the cluster as a learner", source)
            source(source)
            from()
        }
        /// The bytes were written by a program version with another format.
        Format(found: u16, expected: u16) {
            display("the replicated state has format {}, but this version supports only format {}; run the version that wrote it", found, expected)
        }
    }
}

quick_error! {
    /// Error that keeps a keeper from starting or makes it stop.
    #[derive(Debug)]
    pub enum KeeperError {
        /// The wire address, which serves the other processes of the cluster, can't be bound.
        Bind(address: SocketAddr, source: io::Error) {
            display("can't listen on wire_address {}: {}", address, source)
            source(source)
        }
        /// A thread or its async runtime can't be created.
        Thread(source: io::Error) {
            display("can't start a thread: {}", source)
            source(source)
        }
        /// The HTTP server for operators can't be started.
        Http(source: HttpError) {
            display("http_address: {}", source)
            source(source)
            from()
        }
        /// The storage failed. Committed changes are durable; the outcome of pending ones is
        /// unknown.
        Storage(source: StorageError) {
            display("data_folder: {}", source)
            source(source)
            from()
        }
        /// The replicated log failed.
        Quorum(source: QuorumError) {
            display("{}", source)
            source(source)
            from()
        }
        /// The replicated state or a log command can't be encoded or decoded.
        State(source: StateError) {
            display("{}", source)
            source(source)
            from()
        }
        /// A thread of the keeper panicked.
        Panicked(thread: &'static str) {
            display("the keeper's {} thread panicked; see the log for the panic message", thread)
        }
    }
}
