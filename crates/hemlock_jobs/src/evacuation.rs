//! Evacuated failure domains, in which nothing may be started.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

/// The evacuated failure domains, as a versioned set.
///
/// ```
/// use hemlock_jobs::prelude::*;
///
/// let mut evacuations = Evacuations::default();
/// evacuations.begin("harju-1");
/// evacuations.begin("harju-1");
/// assert_eq!(evacuations.version(), 1);
/// assert!(evacuations.contains("harju-1"));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    version: u64,
    domains: BTreeSet<String>,
}

impl Evacuations {
    /// Number of changes of the set so far.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Names of the evacuated failure domains.
    pub fn domains(&self) -> &BTreeSet<String> {
        &self.domains
    }

    /// Whether a failure domain is evacuated.
    pub fn contains(&self, domain: &str) -> bool {
        self.domains.contains(domain)
    }

    /// Adds a failure domain. Nothing changes if it is evacuated already.
    pub fn begin(&mut self, domain: &str) {
        self.version += u64::from(self.domains.insert(domain.to_owned()));
    }

    /// Removes a failure domain. Nothing changes if it is not evacuated.
    pub fn end(&mut self, domain: &str) {
        self.version += u64::from(self.domains.remove(domain));
    }

    /// Takes over a set if its version is higher. Returns whether it was.
    ///
    /// An answer of an earlier leader may arrive after that of a later one, and must not revert it.
    pub fn update(&mut self, received: &Self) -> bool {
        let newer = received.version > self.version;
        if newer {
            self.clone_from(received);
        }
        newer
    }
}
