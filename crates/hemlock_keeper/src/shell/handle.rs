//! Handle of a running keeper.

use std::net::SocketAddr;
use std::thread::JoinHandle;

use crossbeam::channel::Sender;
use hemlock_http::prelude::HttpServer;
use hemlock_types::prelude::*;
use tokio::sync::watch;

use super::input::{Input, LaneShutdown};
use crate::error::KeeperError;

/// Handle of a running keeper. Dropping it stops the keeper immediately, without a drain, and joins
/// its threads.
pub struct KeeperHandle {
    pub(super) incarnation: Incarnation,
    pub(super) wire_address: SocketAddr,
    pub(super) http_address: SocketAddr,
    pub(super) inputs: Sender<Input>,
    pub(super) lane_shutdown: watch::Sender<LaneShutdown>,
    pub(super) threads: Option<Threads>,
}

/// Threads and HTTP server of a running keeper.
pub(super) struct Threads {
    pub(super) control: JoinHandle<Result<(), KeeperError>>,
    pub(super) disk: JoinHandle<()>,
    pub(super) lane: JoinHandle<()>,
    pub(super) encoder: JoinHandle<()>,
    pub(super) http: HttpServer,
}

impl KeeperHandle {
    /// Returns the incarnation of this run of the keeper.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the bound wire address, which serves the other processes of the cluster.
    pub fn wire_address(&self) -> SocketAddr {
        self.wire_address
    }

    /// Returns the bound HTTP address, which serves operators.
    pub fn http_address(&self) -> SocketAddr {
        self.http_address
    }

    /// Begins a graceful stop, which transfers leadership and completes pending requests. Returns
    /// immediately; [`join`](Self::join) waits for the end.
    pub fn begin_drain(&self) {
        // Sending fails only if the keeper has already ended.
        drop(self.inputs.send(Input::Drain));
    }

    /// Returns `true` if the keeper has ended, after a drain or a failure.
    pub fn is_finished(&self) -> bool {
        self.threads
            .as_ref()
            .is_none_or(|threads| threads.control.is_finished())
    }

    /// Drains the keeper and waits until all threads have ended.
    ///
    /// # Errors
    ///
    /// Returns the error that stopped the keeper, if it failed.
    pub fn stop(self) -> Result<(), KeeperError> {
        self.begin_drain();
        self.join()
    }

    /// Stops the keeper immediately without a drain, as in a crash, and joins its threads.
    pub fn kill(self) {
        drop(self);
    }

    /// Waits until the keeper has ended and joins its threads.
    ///
    /// # Errors
    ///
    /// Returns the error that stopped the keeper, if it failed.
    pub fn join(mut self) -> Result<(), KeeperError> {
        self.join_threads(LaneShutdown::Flush)
    }

    fn join_threads(&mut self, shutdown: LaneShutdown) -> Result<(), KeeperError> {
        let Some(threads) = self.threads.take() else {
            return Ok(());
        };
        let result = threads
            .control
            .join()
            .unwrap_or(Err(KeeperError::Panicked("control")));
        self.lane_shutdown.send_replace(shutdown);
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
            // Sending fails only if the keeper has already ended. `drop` can't return the error of
            // a failed keeper.
            drop(self.inputs.send(Input::Kill));
            drop(self.join_threads(LaneShutdown::Immediate));
        }
    }
}
