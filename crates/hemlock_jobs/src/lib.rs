//! Durable jobs: what a job is, the commands that change the replicated record of jobs, and that
//! record itself, a deterministic state machine.
//!
//! ```
//! use bytes::Bytes;
//! use hemlock_jobs::prelude::*;
//!
//! let mut book = JobBook::default();
//! let id = JobId(7);
//! let spec = JobSpec::new(Bytes::from_static(b"search"), vec![StepSpec::new(2)]);
//! let accept = Command::Accept(Box::new(Acceptance::new(id, "searches", "listings", 2, spec)));
//! assert_eq!(book.apply(&Batch::new(1_000, vec![accept])), vec![Applied::Accepted]);
//! assert_eq!(book.job(id).map(JobRecord::is_open), Some(true));
//! ```

pub mod book;
pub mod command;
pub mod config;
pub mod error;
pub mod ids;
pub mod instance;
pub mod record;
pub mod spec;

/// The items that most callers need.
pub mod prelude {
    pub use crate::book::{Applied, JobBook};
    pub use crate::command::{Acceptance, Batch, Command, TaskEnd};
    pub use crate::config::{Configuration, Queue, QueueMatch, ServicePool};
    pub use crate::error::{BookError, ConfigurationFault, SpecFault};
    pub use crate::ids::{AgentId, JobId, RunNumber, TaskKey};
    pub use crate::instance::{InstanceId, InstanceReport};
    pub use crate::record::{JobOutcome, JobRecord, OpenJob, TaskProgress};
    pub use crate::spec::{JobSpec, Resources, StepSpec};
}
