//! The lane: the thread that owns the connections to entries and keepers.

use std::cell::Cell;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::rc::Rc;
use std::sync::Arc;
use std::thread::JoinHandle;

use crossbeam::channel::Sender;
use hemlock_types::prelude::*;
use hemlock_wire::prelude::*;
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Runtime};
use tokio::sync::watch;
use tokio::task::LocalSet;

use crate::announce::AnnouncedState;
use crate::command::Command;
use crate::keepers::KeeperSync;
use crate::service::EntryService;

/// Delay before the connections close, so that the last answers are sent.
const CLOSE_DELAY: DurationMs = DurationMs::new(50);

/// Poll interval while waiting until every answer has been passed to its connection.
const FLUSH_POLL_INTERVAL: DurationMs = DurationMs::new(2);

/// Longest wait until every answer has been passed to its connection.
const FLUSH_TIMEOUT: DurationMs = DurationMs::new(2_000);

/// The shutdown that is requested from the lane.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Shutdown {
    /// No shutdown is requested.
    NotRequested,
    /// Withdraw from the directory, send the last answers, then close the connections.
    Graceful,
    /// Close the connections at once.
    Immediate,
}

/// Inputs of the lane's thread.
pub(crate) struct Lane {
    pub(crate) listener: StdListener,
    pub(crate) identity: Identity,
    pub(crate) keepers: Vec<SocketAddr>,
    pub(crate) commands: Sender<Command>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) announced: watch::Receiver<AnnouncedState>,
    pub(crate) shutdown: watch::Receiver<Shutdown>,
}

impl Lane {
    /// Starts the thread, which notifies the control thread when it ends.
    ///
    /// # Errors
    /// Returns the system's error if the thread or its event loop can't be created.
    pub(crate) fn start(self) -> Result<JoinHandle<()>, std::io::Error> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        std::thread::Builder::new()
            .name("lane".to_owned())
            .spawn(move || {
                let commands = self.commands.clone();
                self.run(&runtime);
                // If the control thread has ended, no notification is needed.
                let _ = commands.send(Command::LaneEnded);
            })
    }

    fn run(self, runtime: &Runtime) {
        let local = LocalSet::new();
        local.block_on(runtime, self.serve());
    }

    async fn serve(self) {
        let Ok(listener) = TcpListener::from_std(self.listener) else {
            return;
        };
        let identity = Rc::new(self.identity);
        let unanswered = Rc::new(Cell::new(0));
        let service = Rc::new(EntryService {
            commands: self.commands.clone(),
            clock: self.clock,
            unanswered: Rc::clone(&unanswered),
        });
        let sync = KeeperSync::new(Rc::clone(&identity), self.commands, self.keepers);
        let stop = announce_until_shutdown(sync, self.announced, self.shutdown.clone(), unanswered);
        let mut shutdown = self.shutdown;
        tokio::select! {
            () = serve(listener, identity, service, stop) => {}
            _ = shutdown.wait_for(|shutdown| *shutdown == Shutdown::Immediate) => {}
        }
    }
}

/// Announces the endpoint until a shutdown is requested, then withdraws it and waits until the
/// answers are sent.
async fn announce_until_shutdown(
    mut sync: KeeperSync,
    mut announced: watch::Receiver<AnnouncedState>,
    mut shutdown: watch::Receiver<Shutdown>,
    unanswered: Rc<Cell<usize>>,
) {
    tokio::select! {
        () = sync.run(&mut announced) => {}
        _ = shutdown.wait_for(|shutdown| *shutdown != Shutdown::NotRequested) => {}
    }
    sync.withdraw().await;
    let flushed = async {
        while unanswered.get() > 0 {
            tokio::time::sleep(FLUSH_POLL_INTERVAL.as_std()).await;
        }
    };
    // An answer that is still unsent after the timeout has lost its connection.
    let _ = tokio::time::timeout(FLUSH_TIMEOUT.as_std(), flushed).await;
    tokio::time::sleep(CLOSE_DELAY.as_std()).await;
}
