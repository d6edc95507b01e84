//! The gate of one endpoint instance: the place where a start is accepted or truly refused.
//!
//! A [`Gate`] is a pure state machine. It is told [`Event`]s and appends [`Action`]s; the
//! agent carries them out. It starts a task of a submission at most once while it remembers
//! the submission, never under a fenced epoch, never while a planned stop covers the endpoint,
//! and never more at once than the endpoint has slots.
//!
//! ```
//! use hemlock_gate::prelude::*;
//! use hemlock_types::prelude::*;
//!
//! let mut gate = Gate::new(GateConfig::new(Incarnation(7)))?;
//! let mut actions = Actions::new();
//! let entry = Event::Opened { link: LinkId(1), entry: Incarnation(9) };
//! gate.handle(Instant::ZERO, entry, &mut actions);
//! gate.handle(Instant::ZERO, Event::Announced(Offer {
//!     service: "loovutus-portaal".into(),
//!     slots: 8,
//!     connections: 64,
//!     address: ([127, 0, 0, 1], 8080).into(),
//! }), &mut actions);
//! assert_eq!(actions, [Action::Grant { link: LinkId(1), slots: 8 }]);
//! # Ok::<(), hemlock_chart::ChartError>(())
//! ```

mod arena;
mod config;
mod counters;
mod credit;
mod endpoint;
mod entries;
mod event;
mod gate;
mod memory;
mod task;

pub use config::GateConfig;
pub use counters::{Counters, GateStatus, Refusal};
pub use credit::{CreditPolicy, Deal, DealtCredits, NoCredits, Spare};
pub use endpoint::{EndpointPhase, Offer};
pub use event::{Action, Actions, CallId, Event, LinkId, RunKey};
pub use gate::Gate;

/// The items that most callers need.
pub mod prelude {
    pub use crate::config::GateConfig;
    pub use crate::counters::{Counters, GateStatus, Refusal};
    pub use crate::credit::{CreditPolicy, Deal, DealtCredits, NoCredits, Spare};
    pub use crate::endpoint::{EndpointPhase, Offer};
    pub use crate::event::{Action, Actions, CallId, Event, LinkId, RunKey};
    pub use crate::gate::Gate;
}
