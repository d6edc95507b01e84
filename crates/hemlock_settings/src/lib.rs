//! Settings of keepers, entries and agents, and customers' contracts, read from YAML files.
//!
//! All invalid fields of a file are reported at once, each with its line.
//!
//! ```
//! use hemlock_settings::prelude::*;
//!
//! let text = "
//! cluster: ee-kesk
//! cluster_key: a-long-shared-cluster-key
//! http_address: 127.0.0.1:8080
//! domain: harju-1
//! keepers: [127.0.0.1:7101]
//! seed: 1
//! ";
//! let settings: EntrySettings = parse(text).unwrap();
//! assert_eq!(settings.domain.as_str(), "harju-1");
//!
//! let error = parse::<EntrySettings>("cluster: ee-kesk\nlanse: 2").unwrap_err();
//! assert!(error.to_string().contains("line 2: lanse: unknown field"));
//! ```

pub mod agent;
pub mod contract;
pub mod document;
pub mod entry;
pub mod error;
pub mod keeper;
pub mod kind;
mod lines;
pub mod secret;
pub mod section;

/// The items that most callers need.
pub mod prelude {
    pub use crate::agent::{AgentSettings, EndpointSettings};
    pub use crate::document::{Settings, load, parse};
    pub use crate::entry::EntrySettings;
    pub use crate::error::{FieldError, FieldProblem, SettingsError};
    pub use crate::keeper::{KeeperAddress, KeeperSettings};
    pub use crate::kind::FileKind;
    pub use crate::secret::SecretKey;
}

pub use prelude::*;

use crate::section::Section;

/// Maximum number of keepers of one cluster.
pub const KEEPERS_MAX: usize = 7;
/// Minimum length of a cluster key, in bytes.
const CLUSTER_KEY_MIN_BYTES: usize = 16;
/// Description of an address field for error messages.
const ADDRESS: &str = "an IP address and port, such as 10.0.0.1:7100";

/// Reads the shared secret with which the processes of a cluster authenticate each other.
fn cluster_key(section: &mut Section<'_>) -> Option<SecretKey> {
    let expected = "a shared secret of at least 16 characters";
    let key: SecretKey = section.required("cluster_key", expected)?;
    if key.expose().len() >= CLUSTER_KEY_MIN_BYTES {
        return Some(key);
    }
    section.report("cluster_key", FieldProblem::InvalidValue(expected));
    None
}
