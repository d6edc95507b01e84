//! The session with the leading keeper: reports, claims, ends and lookups.

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

/// One thing for the session.
#[derive(Debug)]
pub(crate) enum SessionCommand {
    /// Claim a submission.
    Claim(ClaimAttempt, ClaimRequest),
    /// Report a submission's end.
    End(EndRecord),
    /// Look a submission up for a call.
    Lookup(CallId, SubmissionId),
    /// Record a cancellation for a call.
    Cancel(CallId, SubmissionId),
    /// Report demand soon.
    SyncSoon,
    /// Hand everything over, give the lease back and end.
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

    /// Hands a command to the session.
    pub(crate) fn send(&self, command: SessionCommand) {
        // The session ends only after `Leave`, when nothing else is left to hand over.
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
