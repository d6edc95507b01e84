//! Starting and stopping an entry.

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
use crate::error::EntryError;
use crate::http_api::HttpApi;
use crate::inbox::{Inbox, Input, post};
use crate::lane::Lanes;
use crate::session::Session;
use crate::status::Status;

/// The entry role.
#[derive(Debug)]
pub struct Entry;

impl Entry {
    /// Starts an entry. It becomes ready once a keeper has granted it a configuration lease.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings name an unknown placement policy, the HTTP server can't
    /// start, a state chart is invalid, or a thread can't be started.
    pub fn start(settings: EntrySettings) -> Result<EntryHandle, EntryError> {
        check_chart()?;
        let incarnation = Incarnation(rand::random());
        let clock = SystemClock::start();
        let placement = placement_named(&settings.policy)?;
        let seed = settings.seed ^ incarnation.0;
        let router_settings = RouterSettings::new(incarnation, settings.domain.clone(), seed);
        let router = Router::new(router_settings, placement);
        let (inbox, input_receiver) = channel::unbounded();
        let status = Arc::new(Status::new(clock));
        let api = HttpApi::new(inbox.clone(), Arc::clone(&status), incarnation);
        let config =
            HttpServerConfig::new(settings.http_address).with_instance(incarnation.to_string());
        let server = HttpServer::start(config, Arc::new(api))?;
        let http_address = server.address();
        let identity = Identity {
            role: Role::Entry,
            incarnation,
            id: 0,
            cluster: settings.cluster.clone(),
            key: ClusterKey::new(settings.cluster_key.expose()),
            source_ip: None,
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
        let control_thread = std::thread::Builder::new()
            .name("entry-control".to_owned())
            .spawn(move || control.run(&input_receiver))?;
        Ok(EntryHandle {
            http_address,
            incarnation,
            inbox,
            control_thread: Mutex::new(Some(control_thread)),
        })
    }
}

/// A running entry.
#[derive(Debug)]
pub struct EntryHandle {
    http_address: SocketAddr,
    incarnation: Incarnation,
    inbox: Inbox,
    control_thread: Mutex<Option<JoinHandle<()>>>,
}

impl EntryHandle {
    /// The HTTP address for callers, with the port that the system assigned if the settings say 0.
    pub fn http_address(&self) -> SocketAddr {
        self.http_address
    }

    /// The random id of this run of the process.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Begins a planned stop: the entry refuses new work, finishes and answers the work it has
    /// admitted, and then ends.
    pub fn begin_drain(&self) {
        post(&self.inbox, Input::Drain);
    }

    /// Drains the entry and waits until every thread has ended.
    ///
    /// # Panics
    ///
    /// Panics if a thread of the entry has panicked.
    pub fn stop(&self) {
        self.begin_drain();
        self.join();
    }

    /// Ends at once without answering calls in progress, like a crash, and joins the threads.
    ///
    /// # Panics
    ///
    /// Panics if a thread of the entry has panicked.
    pub fn kill(&self) {
        post(&self.inbox, Input::Kill);
        self.join();
    }

    /// Waits until the entry has ended, and joins its threads.
    ///
    /// # Panics
    ///
    /// Panics if a thread of the entry has panicked.
    pub fn join(&self) {
        let mut control_thread = self
            .control_thread
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let Some(control_thread) = control_thread.take() else {
            return;
        };
        if let Err(panic) = control_thread.join() {
            std::panic::resume_unwind(panic);
        }
    }
}

impl Drop for EntryHandle {
    fn drop(&mut self) {
        post(&self.inbox, Input::Kill);
        let mut control_thread = self
            .control_thread
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(control_thread) = control_thread.take() {
            // The panic hook has printed a panic of the thread; another panic here would obscure it.
            drop(control_thread.join());
        }
    }
}
