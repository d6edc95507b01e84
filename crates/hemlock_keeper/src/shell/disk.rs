//! The disk thread: performs the core's disk work, with one sync for all queued work.

use std::time::Instant;

use crossbeam::channel::{Receiver, Sender};
use hemlock_quorum::prelude::{DiskWork, Storage, perform};

use super::input::Input;

const MS_PER_S: f64 = 1_000.0;

/// Performs disk work until the control thread ends or the storage fails.
pub(super) fn run(
    mut storage: Box<dyn Storage>,
    work: &Receiver<Vec<DiskWork>>,
    control: &Sender<Input>,
    instance: &str,
) {
    let label = instance.to_owned();
    let sync_ms = metrics::histogram!("hemlock_keeper_sync_ms", "instance" => label);
    while let Ok(first) = work.recv() {
        let waiting = first.into_iter().chain(work.try_iter().flatten());
        let started = Instant::now();
        let done = perform(storage.as_mut(), waiting);
        sync_ms.record(started.elapsed().as_secs_f64() * MS_PER_S);
        let input = match done {
            Ok(Some(up_to)) => Input::Synced(up_to),
            Ok(None) => continue,
            Err(error) => Input::DiskFailed(error),
        };
        let failed = matches!(input, Input::DiskFailed(_));
        let ended = control.send(input).is_err();
        match (failed, ended) {
            (true, _) => return,
            (false, true) => break,
            (false, false) => {}
        }
    }
    if let Err(error) = storage.close() {
        tracing::warn!(%error, "failed to record the clean stop");
    }
}
