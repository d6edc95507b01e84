//! Admission control for one endpoint instance: accepts or refuses each request to start a task.
//!
//! A [`Gate`] is a state machine without I/O. It handles [`Event`]s and returns [`Action`]s, which
//! the agent carries out. A refusal is final: the refused start never runs. The gate starts a task
//! of a submission at most once while it keeps the submission's record, never under a fenced epoch,
//! never while a planned stop covers the endpoint, and never more tasks at once than the endpoint
//! has slots.
//!
//! ```
//! use hemlock_gate::prelude::*;
//! use hemlock_types::prelude::*;
//!
//! let mut gate = Gate::new(GateConfig::new(Incarnation(7)))?;
//! let mut actions = Actions::new();
//! let opened = Event::Opened { link: LinkId(1), entry: Incarnation(9) };
//! gate.handle(Instant::ZERO, opened, &mut actions);
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
mod task;
mod task_store;

pub use config::GateConfig;
pub use counters::{Counters, GateStatus, Refusal};
pub use credit::{CreditChanges, CreditPolicy, NoCredits, ReservingCredits, Surplus};
pub use endpoint::{EndpointPhase, Offer};
pub use event::{Action, Actions, CallId, Event, LinkId, RunKey};
pub use gate::Gate;

/// The items that most callers need.
pub mod prelude {
    pub use crate::config::GateConfig;
    pub use crate::counters::{Counters, GateStatus, Refusal};
    pub use crate::credit::{CreditChanges, CreditPolicy, NoCredits, ReservingCredits, Surplus};
    pub use crate::endpoint::{EndpointPhase, Offer};
    pub use crate::event::{Action, Actions, CallId, Event, LinkId, RunKey};
    pub use crate::gate::Gate;
}
