//! Typed failures of a keeper.

use std::io;
use std::net::SocketAddr;

use hemlock_http::prelude::HttpError;
use hemlock_quorum::prelude::{QuorumError, StorageError};
use quick_error::quick_error;

quick_error! {
    /// The replicated state or a command of the log can't be read or written.
    #[derive(Debug)]
    pub enum StateError {
        /// The bytes are damaged.
        Encoding(source: postcard::Error) {
            display("the replicated state can't be read: {}; clear the data folder to join again as a learner", source)
            source(source)
            from()
        }
        /// Another version of the program wrote them.
        Format(found: u16, expected: u16) {
            display("the replicated state has format {}, but this program reads {}; run the version that wrote it", found, expected)
        }
    }
}

quick_error! {
    /// A keeper can't start, or had to stop.
    #[derive(Debug)]
    pub enum KeeperError {
        /// The address for the system's processes can't be listened on.
        Bind(address: SocketAddr, source: io::Error) {
            display("can't listen on wire_address {}: {}", address, source)
            source(source)
        }
        /// A thread or its runtime can't be made.
        Thread(source: io::Error) {
            display("can't start a thread: {}", source)
            source(source)
        }
        /// The operators' address can't be served.
        Http(source: HttpError) {
            display("http_address: {}", source)
            source(source)
            from()
        }
        /// The disk failed. What was accepted before is safe; what was under way is unknown.
        Storage(source: StorageError) {
            display("data_folder: {}", source)
            source(source)
            from()
        }
        /// The replicated log can't go on.
        Quorum(source: QuorumError) {
            display("{}", source)
            source(source)
            from()
        }
        /// The replicated state can't be read.
        State(source: StateError) {
            display("{}", source)
            source(source)
            from()
        }
        /// A thread of the keeper has panicked.
        Panicked(thread: &'static str) {
            display("the keeper's {} thread has panicked; see the log", thread)
        }
    }
}
