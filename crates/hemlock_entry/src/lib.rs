//! The entry role: takes callers' requests over HTTP, places them on endpoints through the
//! agents beside them, and gives each caller the whole answer to its own request.
//!
//! A control thread owns the [`Router`](hemlock_router::Router). Lanes are threads that own the
//! connections to agents, one thread owns the connection to the keepers, and HTTP threads read
//! and write callers' connections.
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
mod edge;
mod entry;
mod error;
mod inbox;
mod lane;
mod session;
mod spans;
mod status;

pub use entry::{Entry, EntryHandle};
pub use error::EntryError;

/// The items that most callers need.
pub mod prelude {
    pub use crate::{Entry, EntryError, EntryHandle};
}
