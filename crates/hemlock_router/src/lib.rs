//! The decisions of an entry: what is admitted, what runs where and when, what is sent again,
//! and what each caller is told.
//!
//! [`Router`] is a state machine without I/O, threads, clock or global randomness. It takes an
//! [`Event`](event::Event) and puts out [`Action`](action::Action)s.
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
pub mod flight;
pub mod health;
pub mod meter;
pub mod placement;
pub mod queue;
pub mod router;
pub mod settings;
pub mod submission;
pub mod submission_chart;
pub mod timers;
pub mod work;

pub use router::Router;

/// The items that most callers need.
pub mod prelude {
    pub use crate::action::{Action, Actions, CallResult, CallerFault, Observation, WasteCause};
    pub use crate::admission::{Admission, BoundedQueues, DeadlineAware};
    pub use crate::event::{CallId, ClaimAttempt, Event, Loss, Submit, SyncNews, TaskRequest};
    pub use crate::placement::{
        DEFAULT_POLICY, POLICIES, Placement, UnknownPolicy, check_policy, placement_named,
    };
    pub use crate::router::Router;
    pub use crate::settings::RouterSettings;
    pub use crate::submission_chart::check_chart;
    pub use crate::work::MAX_TASKS;
}
