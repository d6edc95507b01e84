//! The disk thread: performs disk work in order, with one sync for all queued work.

use std::thread::{Builder, JoinHandle};
use std::time::Instant;

use crossbeam::channel::{Receiver, Sender, unbounded};
use hemlock_quorum::prelude::{DiskWork, FileStorage, perform};
use tokio::sync::mpsc;

use super::error::CoordinatorError;
use super::input::Input;

const MS_PER_S: f64 = 1_000.0;

/// Handle of the disk thread. Dropping it finishes the queued work and joins the thread.
pub(super) struct Disk {
    work: Option<Sender<Vec<DiskWork>>>,
    thread: Option<JoinHandle<()>>,
}

impl Disk {
    /// Queues work, which is performed in order.
    pub(super) fn enqueue(&self, work: Vec<DiskWork>) {
        if let Some(queue) = &self.work {
            // Sending fails only when the thread has ended after reporting a failure.
            let _ = queue.send(work);
        }
    }
}

impl Drop for Disk {
    fn drop(&mut self) {
        drop(self.work.take());
        if let Some(Err(panic)) = self.thread.take().map(JoinHandle::join) {
            std::panic::resume_unwind(panic);
        }
    }
}

/// Starts the disk thread.
pub(super) fn start(
    storage: FileStorage,
    control: mpsc::UnboundedSender<Input>,
) -> Result<Disk, CoordinatorError> {
    let (work, queue) = unbounded();
    let thread = Builder::new()
        .name("coordinator-disk".to_owned())
        .spawn(move || run(storage, &queue, &control))
        .map_err(CoordinatorError::Thread)?;
    Ok(Disk {
        work: Some(work),
        thread: Some(thread),
    })
}

fn run(
    mut storage: FileStorage,
    queue: &Receiver<Vec<DiskWork>>,
    control: &mpsc::UnboundedSender<Input>,
) {
    let sync_ms = metrics::histogram!("hemlock_coordinator_sync_ms");
    while let Ok(first) = queue.recv() {
        let waiting = first.into_iter().chain(queue.try_iter().flatten());
        let started = Instant::now();
        let done = perform(&mut storage, waiting);
        sync_ms.record(started.elapsed().as_secs_f64() * MS_PER_S);
        let (input, failed) = match done {
            Ok(Some(up_to)) => (Input::Synced(up_to), false),
            Ok(None) => continue,
            Err(error) => (Input::DiskFailed(error), true),
        };
        if control.send(input).is_err() || failed {
            return;
        }
    }
}
