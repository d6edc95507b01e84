//! What the HTTP threads may read of the control thread's state.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, PoisonError, RwLock};

use hemlock_contract::prelude::*;
use hemlock_types::prelude::*;

/// One customer's keys, with what the edge has to know of its contract.
#[derive(Clone, Debug)]
pub(crate) struct KeyHolder {
    customer: CustomerName,
    key_sha256: Vec<Digest>,
}

/// The keys of every contract in force.
#[derive(Debug, Default)]
pub(crate) struct KeyTable {
    holders: Vec<KeyHolder>,
}

impl KeyTable {
    /// The keys of the given contracts.
    pub(crate) fn new<'a>(contracts: impl Iterator<Item = &'a Contract>) -> Self {
        let holder = |contract: &Contract| KeyHolder {
            customer: contract.customer.clone(),
            key_sha256: contract.key_sha256.clone(),
        };
        Self {
            holders: contracts.map(holder).collect(),
        }
    }

    /// The customer whose key this is. Looks at every key, so that the time taken tells nothing.
    pub(crate) fn find(&self, key: &str) -> Option<CustomerName> {
        let presented = Digest::of_key(key.as_bytes());
        let mut found = None;
        for holder in &self.holders {
            for digest in &holder.key_sha256 {
                if digest.matches(&presented) {
                    found = Some(&holder.customer);
                }
            }
        }
        found.cloned()
    }
}

/// State that the control thread publishes.
#[derive(Debug)]
pub(crate) struct Status {
    clock: SystemClock,
    draining: AtomicBool,
    lease_until_us: AtomicU64,
    keys: RwLock<Arc<KeyTable>>,
}

impl Status {
    pub(crate) fn new(clock: SystemClock) -> Self {
        Self {
            clock,
            draining: AtomicBool::new(false),
            lease_until_us: AtomicU64::new(0),
            keys: RwLock::new(Arc::default()),
        }
    }

    /// Whether the entry takes work: it has a valid lease and isn't draining.
    pub(crate) fn is_ready(&self) -> bool {
        let lease_until = Instant::from_micros(self.lease_until_us.load(Ordering::Acquire));
        !self.draining.load(Ordering::Acquire) && self.clock.now() < lease_until
    }

    pub(crate) fn begin_drain(&self) {
        self.draining.store(true, Ordering::Release);
    }

    pub(crate) fn set_lease_until(&self, until: Instant) {
        self.lease_until_us
            .store(until.as_micros(), Ordering::Release);
    }

    pub(crate) fn keys(&self) -> Arc<KeyTable> {
        let keys = self.keys.read().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&keys)
    }

    pub(crate) fn set_keys(&self, table: KeyTable) {
        let mut keys = self.keys.write().unwrap_or_else(PoisonError::into_inner);
        *keys = Arc::new(table);
    }
}
