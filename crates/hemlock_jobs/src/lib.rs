//! Durable jobs: their specification, the replicated job store, and the commands that change it.
//!
//! The job store is a deterministic state machine: replicas that apply the same commands are equal.
//!
//! ```
//! use bytes::Bytes;
//! use hemlock_jobs::prelude::*;
//!
//! let mut store = JobStore::default();
//! let id = JobId(7);
//! let spec = JobSpec::new(Bytes::from_static(b"search"), vec![StepSpec::new(2)]);
//! let accept = Command::Accept(Box::new(Acceptance::new(id, "searches", "listings", 2, spec)));
//! assert_eq!(store.apply(&Batch::new(1_000, vec![accept])), vec![ApplyOutcome::Accepted]);
//! assert_eq!(store.job(id).map(JobRecord::is_open), Some(true));
//! ```

pub mod command;
pub mod config;
pub mod crash;
pub mod error;
pub mod evacuation;
pub mod ids;
pub mod instance;
pub mod record;
pub mod spec;
pub mod store;

/// The items that most callers need.
pub mod prelude {
    pub use crate::command::{Acceptance, Batch, Command, TaskEnd};
    pub use crate::config::{Configuration, Queue, QueueMatch, ServicePool};
    pub use crate::crash::{Suspicion, TaskCrashes};
    pub use crate::error::{ConfigurationError, JobSpecError, JobStoreError};
    pub use crate::evacuation::Evacuations;
    pub use crate::ids::{AgentId, JobId, RunNumber, TaskKey};
    pub use crate::instance::{InstanceId, InstanceReport};
    pub use crate::record::{JobOutcome, JobRecord, OpenJob, TaskProgress};
    pub use crate::spec::{JobSpec, MAX_RESOURCES, Resources, StepSpec};
    pub use crate::store::{ApplyOutcome, JobStore};
}
