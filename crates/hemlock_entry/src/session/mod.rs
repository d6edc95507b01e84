//! The session with the leading keeper, which carries reports, claims, ends, lookups and
//! cancellations.

mod batches;
mod client;
mod connection;
mod sync;

use std::net::SocketAddr;
use std::thread::JoinHandle;

use hemlock_ledger::prelude::*;
use hemlock_router::prelude::*;
use hemlock_types::prelude::*;
use hemlock_wire::prelude::*;
use tokio::sync::mpsc;
use tokio::task::LocalSet;

use crate::inbox::Inbox;
use client::Client;

/// A command from the control thread to the session.
#[derive(Debug)]
pub(crate) enum SessionCommand {
    /// Claim a submission.
    Claim(ClaimAttempt, ClaimRequest),
    /// Report the end of a submission.
    End(EndRecord),
    /// Look a submission up for a call.
    Lookup(CallId, SubmissionId),
    /// Record the cancellation that a call requests.
    Cancel(CallId, SubmissionId),
    /// Send the next report early, because the demand has changed.
    SyncSoon,
    /// Report the remaining ends and release the lease.
    Leave,
}

/// The thread that owns the connection to the keepers.
#[derive(Debug)]
pub(crate) struct Session {
    commands: mpsc::UnboundedSender<SessionCommand>,
    thread: JoinHandle<()>,
}

impl Session {
    /// Starts the session's thread.
    pub(crate) fn start(
        domain: FailureDomainName,
        keepers: Vec<SocketAddr>,
        identity: Identity,
        inbox: &Inbox,
    ) -> Result<Self, std::io::Error> {
        let (commands, receiver) = mpsc::unbounded_channel();
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_io()
            .enable_time()
            .build()?;
        let inbox = inbox.clone();
        let thread = std::thread::Builder::new()
            .name("entry-session".to_owned())
            .spawn(move || {
                let client = Client::new(identity, domain, keepers, inbox);
                LocalSet::new().block_on(&runtime, client.run(receiver));
            })?;
        Ok(Self { commands, thread })
    }

    /// Sends a command to the session.
    pub(crate) fn send(&self, command: SessionCommand) {
        // The receiver lives until `join` drops this sender, unless the thread has panicked.
        drop(self.commands.send(command));
    }

    /// Ends the session and joins its thread.
    pub(crate) fn join(self) {
        drop(self.commands);
        if let Err(panic) = self.thread.join() {
            std::panic::resume_unwind(panic);
        }
    }
}
