//! The thread of the connections to entries and keepers.

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

use crate::announce::Announced;
use crate::command::Command;
use crate::keepers::KeeperSync;
use crate::service::EntryService;

/// Time for the last answers to leave before the connections close.
const LINGER: DurationMs = DurationMs::new(50);

/// Pause between looks at whether every answer has been handed to its connection.
const FLUSH_POLL: DurationMs = DurationMs::new(2);

/// Longest wait for that.
const FLUSH_TIMEOUT: DurationMs = DurationMs::new(2_000);

/// How far the thread has been told to end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ending {
    /// Not at all.
    No,
    /// Withdraw from the directory, send the last answers, and close.
    Finish,
    /// Close at once.
    Cut,
}

/// What the thread needs.
pub(crate) struct Lane {
    pub(crate) listener: StdListener,
    pub(crate) identity: Identity,
    pub(crate) keepers: Vec<SocketAddr>,
    pub(crate) commands: Sender<Command>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) announced: watch::Receiver<Announced>,
    pub(crate) ending: watch::Receiver<Ending>,
}

impl Lane {
    /// Starts the thread, which tells the control thread when it has ended.
    ///
    /// # Errors
    /// The system's error if it gives no thread or no event queue.
    pub(crate) fn start(self) -> Result<JoinHandle<()>, std::io::Error> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        std::thread::Builder::new()
            .name("lane".to_owned())
            .spawn(move || {
                let commands = self.commands.clone();
                self.run(&runtime);
                // Without a control thread there is nobody to tell.
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
        let stop = finish(sync, self.announced, self.ending.clone(), unanswered);
        let mut ending = self.ending;
        tokio::select! {
            () = serve(listener, identity, service, stop) => {}
            _ = ending.wait_for(|ending| *ending == Ending::Cut) => {}
        }
    }
}

/// Announces until told to end; then withdraws and returns when every answer is on its way.
async fn finish(
    mut sync: KeeperSync,
    mut announced: watch::Receiver<Announced>,
    mut ending: watch::Receiver<Ending>,
    unanswered: Rc<Cell<usize>>,
) {
    tokio::select! {
        () = sync.run(&mut announced) => {}
        _ = ending.wait_for(|ending| *ending != Ending::No) => {}
    }
    sync.withdraw().await;
    let flushed = async {
        while unanswered.get() > 0 {
            tokio::time::sleep(FLUSH_POLL.as_std()).await;
        }
    };
    // An answer that can't be sent by now has lost its connection.
    let _ = tokio::time::timeout(FLUSH_TIMEOUT.as_std(), flushed).await;
    tokio::time::sleep(LINGER.as_std()).await;
}
