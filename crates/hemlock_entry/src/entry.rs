//! Starting and ending an entry.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;

use crossbeam::channel;
use hemlock_http::prelude::*;
use hemlock_router::prelude::*;
use hemlock_settings::prelude::EntrySettings;
use hemlock_types::prelude::*;
use hemlock_wire::prelude::*;

use crate::control::Control;
use crate::counters::Counters;
use crate::edge::Edge;
use crate::error::EntryError;
use crate::inbox::{Inbox, Input, post};
use crate::lane::Lanes;
use crate::session::Session;
use crate::status::Status;

/// The entry role.
#[derive(Debug)]
pub struct Entry;

impl Entry {
    /// Starts an entry. It is ready once a keeper has given it a configuration lease.
    ///
    /// # Errors
    ///
    /// When the settings name an unknown policy, the HTTP address can't be served, or a thread
    /// can't be made.
    pub fn start(settings: EntrySettings) -> Result<EntryHandle, EntryError> {
        check_chart()?;
        let incarnation = Incarnation(rand::random());
        let clock = SystemClock::start();
        let placement = placement_named(&settings.policy)?;
        let seed = settings.seed ^ incarnation.0;
        let router_settings = RouterSettings::new(incarnation, settings.domain.clone(), seed);
        let router = Router::new(router_settings, placement);
        let (inbox, inputs) = channel::unbounded();
        let status = Arc::new(Status::new(clock));
        let edge = Edge::new(inbox.clone(), Arc::clone(&status), incarnation);
        let config =
            HttpServerConfig::new(settings.http_address).with_instance(incarnation.to_string());
        let server = HttpServer::start(config, Arc::new(edge))?;
        let http_address = server.address();
        let identity = Identity {
            role: Role::Entry,
            incarnation,
            id: 0,
            cluster: settings.cluster.clone(),
            key: ClusterKey::new(settings.cluster_key.expose()),
        };
        let lanes = Lanes::start(settings.lanes, &identity, &inbox)?;
        let session = Session::start(settings.domain, settings.keepers, identity, &inbox)?;
        let control = Control::new(
            router,
            clock,
            status,
            Counters::new(incarnation),
            lanes,
            session,
            server,
            inbox.clone(),
        );
        let thread = std::thread::Builder::new()
            .name("entry-control".to_owned())
            .spawn(move || control.run(&inputs))?;
        Ok(EntryHandle {
            http_address,
            incarnation,
            inbox,
            thread: Mutex::new(Some(thread)),
        })
    }
}

/// A running entry.
#[derive(Debug)]
pub struct EntryHandle {
    http_address: SocketAddr,
    incarnation: Incarnation,
    inbox: Inbox,
    thread: Mutex<Option<JoinHandle<()>>>,
}

impl EntryHandle {
    /// The address for callers, with the real port.
    pub fn http_address(&self) -> SocketAddr {
        self.http_address
    }

    /// The entry's incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Begins a planned stop: nothing more is admitted, what runs is finished and answered, then
    /// the entry ends.
    pub fn begin_drain(&self) {
        post(&self.inbox, Input::Drain);
    }

    /// Drains, and waits until every thread has ended.
    ///
    /// # Panics
    ///
    /// When a thread of the entry has panicked.
    pub fn stop(&self) {
        self.begin_drain();
        self.join();
    }

    /// Ends at once, without answering what runs, as a crash would, and joins the threads.
    ///
    /// # Panics
    ///
    /// When a thread of the entry has panicked.
    pub fn kill(&self) {
        post(&self.inbox, Input::Kill);
        self.join();
    }

    /// Waits until the entry has ended and every thread of it is joined.
    ///
    /// # Panics
    ///
    /// When a thread of the entry has panicked.
    pub fn join(&self) {
        let mut thread = self.thread.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(thread) = thread.take() else {
            return;
        };
        if let Err(panic) = thread.join() {
            std::panic::resume_unwind(panic);
        }
    }
}

impl Drop for EntryHandle {
    fn drop(&mut self) {
        post(&self.inbox, Input::Kill);
        let mut thread = self.thread.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(thread) = thread.take() {
            // A panic there has been printed; a second one here would hide it.
            drop(thread.join());
        }
    }
}
