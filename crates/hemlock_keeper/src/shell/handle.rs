//! A running keeper, as its owner holds it.

use std::net::SocketAddr;
use std::thread::JoinHandle;

use crossbeam::channel::Sender;
use hemlock_http::prelude::HttpServer;
use hemlock_types::prelude::*;
use tokio::sync::watch;

use super::input::{Input, LaneStop};
use crate::error::KeeperError;

/// A running keeper. Dropping it ends the keeper at once and joins its threads.
pub struct KeeperHandle {
    pub(super) incarnation: Incarnation,
    pub(super) wire_address: SocketAddr,
    pub(super) http_address: SocketAddr,
    pub(super) inputs: Sender<Input>,
    pub(super) stop_lane: watch::Sender<LaneStop>,
    pub(super) threads: Option<Threads>,
}

/// What a keeper has started.
pub(super) struct Threads {
    pub(super) control: JoinHandle<Result<(), KeeperError>>,
    pub(super) disk: JoinHandle<()>,
    pub(super) lane: JoinHandle<()>,
    pub(super) encoder: JoinHandle<()>,
    pub(super) http: HttpServer,
}

impl KeeperHandle {
    /// The process's incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Address for the system's own processes, with the real port.
    pub fn wire_address(&self) -> SocketAddr {
        self.wire_address
    }

    /// Address for operators, with the real port.
    pub fn http_address(&self) -> SocketAddr {
        self.http_address
    }

    /// Begins to stop: leadership is handed over and what is under way is finished. Returns at
    /// once; [`join`](Self::join) waits.
    pub fn begin_drain(&self) {
        // A keeper that has ended already needs no drain.
        drop(self.inputs.send(Input::Drain));
    }

    /// Whether the keeper has ended, by a drain or a failure.
    pub fn is_finished(&self) -> bool {
        self.threads
            .as_ref()
            .is_none_or(|threads| threads.control.is_finished())
    }

    /// Drains, and waits until every thread has ended.
    ///
    /// # Errors
    ///
    /// Why the keeper could not go on, if it failed before.
    pub fn stop(self) -> Result<(), KeeperError> {
        self.begin_drain();
        self.join()
    }

    /// Ends at once without a drain, as a crash would, and joins the threads.
    pub fn kill(self) {
        drop(self);
    }

    /// Waits until the keeper has ended, and joins its threads.
    ///
    /// # Errors
    ///
    /// Why the keeper could not go on, if it failed.
    pub fn join(mut self) -> Result<(), KeeperError> {
        self.join_threads(LaneStop::Flush)
    }

    fn join_threads(&mut self, stop: LaneStop) -> Result<(), KeeperError> {
        let Some(threads) = self.threads.take() else {
            return Ok(());
        };
        let result = threads
            .control
            .join()
            .unwrap_or(Err(KeeperError::Panicked("control")));
        self.stop_lane.send_replace(stop);
        let disk = threads
            .disk
            .join()
            .map_err(|_| KeeperError::Panicked("disk"));
        let lane = threads
            .lane
            .join()
            .map_err(|_| KeeperError::Panicked("lane"));
        let encoder = threads
            .encoder
            .join()
            .map_err(|_| KeeperError::Panicked("encoder"));
        threads.http.stop();
        threads.http.join();
        result.and(disk).and(lane).and(encoder)
    }
}

impl Drop for KeeperHandle {
    fn drop(&mut self) {
        if self.threads.is_some() {
            // A keeper that has ended already needs no telling, and a failure has no one to be
            // told to.
            drop(self.inputs.send(Input::Kill));
            drop(self.join_threads(LaneStop::AtOnce));
        }
    }
}
