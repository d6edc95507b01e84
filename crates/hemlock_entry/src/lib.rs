//! The entry role: accepts callers' requests over HTTP, starts their tasks on endpoints through
//! the agents, and returns to each caller the complete answer to its own request.
//!
//! A control thread owns the [`Router`](hemlock_router::Router). Threads called lanes own the
//! connections to agents, a session thread owns the connection to the keepers, and HTTP threads
//! serve the callers' connections.
//!
//! ```no_run
//! use hemlock_entry::Entry;
//! use hemlock_settings::prelude::*;
//!
//! let settings: EntrySettings = load("entry.yaml".as_ref())?;
//! let entry = Entry::start(settings)?;
//! println!("listening on {}", entry.http_address());
//! entry.stop();
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod calls;
mod control;
mod counters;
mod entry;
mod error;
mod http_api;
mod inbox;
mod lane;
mod session;
mod spans;
mod status;

pub use entry::{Entry, EntryHandle};
pub use error::EntryError;

/// The items that most users of this crate need.
pub mod prelude {
    pub use crate::{Entry, EntryError, EntryHandle};
}
