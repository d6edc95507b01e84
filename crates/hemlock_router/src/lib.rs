//! Scheduling decisions of an entry: admission, queueing, placement, retries, hedging, and the
//! answer to each caller.
//!
//! [`Router`] is a state machine without I/O, threads, clock or global randomness. It consumes
//! [`Event`](event::Event)s and emits [`Action`](action::Action)s, which the entry's event loop
//! performs.
//!
//! ```
//! use hemlock_router::prelude::*;
//! use hemlock_types::prelude::*;
//!
//! let settings = RouterSettings::new(Incarnation(7), "harju-1".into(), 1);
//! let mut router = Router::new(settings, placement_named("credits")?);
//! let mut actions = Actions::new();
//! router.handle(Instant::ZERO, Event::Tick, &mut actions);
//! assert!(!router.is_ready(Instant::ZERO), "nothing is admitted without a lease");
//! # Ok::<(), UnknownPolicy>(())
//! ```

pub mod action;
pub mod admission;
pub mod arena;
pub mod budget;
pub mod contracts;
pub mod estimate;
pub mod event;
pub mod fleet;
pub mod health;
pub mod meter;
pub mod placement;
pub mod queue;
pub mod router;
pub mod settings;
pub mod start_table;
pub mod submission;
pub mod submission_chart;
pub mod timers;
pub mod work;

pub use router::Router;

/// The most commonly used items.
pub mod prelude {
    pub use crate::action::{Action, Actions, CallResult, CallerFault, Observation, WasteCause};
    pub use crate::admission::{Admission, BoundedQueues, DeadlineAware};
    pub use crate::event::{
        CallId, ClaimAttempt, Event, LossKind, Submit, SyncUpdate, TaskRequest,
    };
    pub use crate::placement::{
        DEFAULT_POLICY, POLICIES, Placement, UnknownPolicy, check_policy, placement_named,
    };
    pub use crate::router::Router;
    pub use crate::settings::RouterSettings;
    pub use crate::submission_chart::check_chart;
    pub use crate::work::MAX_TASKS;
}
