//! Stand-in endpoints for demonstrations, tests and measurements.
//!
//! A stand-in is a mock endpoint: it serves `POST /{service}/{operation}` over HTTP/1.1, simulates
//! work of a configured or requested duration, counts the starts of each task and each key, and
//! injects faults. Tests compare these counts with the results that the system reports. One thread
//! can serve hundreds of stand-ins, because simulated work does not block it.
//!
//! The body of a request may be JSON with `work_ms` (duration of the work), `key` (counted, and
//! returned in the response) and `answer_bytes` (padding of the response).
//!
//! The crate also has [`InstanceModel`], a model of an instance that runs tasks under leases.
//!
//! ```
//! use hemlock_standin::prelude::*;
//!
//! let endpoint = StandinEndpoint::start(StandinConfig::new("loovutus-portaal"))?;
//! assert_eq!(endpoint.counts().started, 0);
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
pub use record::RequestCounts;
pub use service_time::ServiceTime;

/// The items that most callers need.
pub mod prelude {
    pub use crate::config::StandinConfig;
    pub use crate::endpoint::{StandinEndpoint, StandinError, StandinHost};
    pub use crate::faults::Faults;
    pub use crate::instance::{ENDS_PER_LISTING, InstanceModel, ModelRun};
    pub use crate::ports::free_address;
    pub use crate::record::RequestCounts;
    pub use crate::service_time::ServiceTime;
}
