//! Stand-in endpoints for demonstrations, tests and measurements.
//!
//! A stand-in serves `POST /{service}/{operation}` over HTTP/1.1, works for a set or asked
//! time, counts every start by the task's name and by its key, and goes wrong on demand. Its
//! counts come from what it saw, not from what the system claims. Hundreds of them share one
//! thread; work that waits holds none.
//!
//! The body may be JSON with `work_ms` (time to work), `key` (counted, and told in the answer)
//! and `answer_bytes` (padding of the answer).
//!
//! ```
//! use hemlock_standin::prelude::*;
//!
//! let endpoint = StandinEndpoint::start(StandinConfig::new("loovutus-portaal"))?;
//! assert_eq!(endpoint.seen().started, 0);
//! endpoint.stop();
//! # Ok::<(), StandinError>(())
//! ```

mod config;
mod connection;
mod endpoint;
mod faults;
mod instance;
mod ports;
mod record;
mod request;
mod service_time;
mod timer;

pub use config::StandinConfig;
pub use endpoint::{StandinEndpoint, StandinError, StandinHost};
pub use faults::Faults;
pub use instance::{ENDS_PER_LISTING, InstanceModel, ModelRun};
pub use ports::free_address;
pub use record::Seen;
pub use service_time::ServiceTime;

/// The items that most callers need.
pub mod prelude {
    pub use crate::config::StandinConfig;
    pub use crate::endpoint::{StandinEndpoint, StandinError, StandinHost};
    pub use crate::faults::Faults;
    pub use crate::instance::{ENDS_PER_LISTING, InstanceModel, ModelRun};
    pub use crate::ports::free_address;
    pub use crate::record::Seen;
    pub use crate::service_time::ServiceTime;
}
