//! State that the control thread publishes to the HTTP threads.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, PoisonError, RwLock};

use hemlock_contract::prelude::*;
use hemlock_types::prelude::*;

/// The key digests of one customer's contract.
#[derive(Clone, Debug)]
pub(crate) struct CustomerKeys {
    customer: CustomerName,
    key_sha256: Vec<Digest>,
}

/// The key digests of the contracts in force.
#[derive(Debug, Default)]
pub(crate) struct KeyTable {
    customers: Vec<CustomerKeys>,
}

impl KeyTable {
    /// Builds the table from the given contracts.
    pub(crate) fn new<'a>(contracts: impl Iterator<Item = &'a Contract>) -> Self {
        let keys = |contract: &Contract| CustomerKeys {
            customer: contract.customer.clone(),
            key_sha256: contract.key_sha256.clone(),
        };
        Self {
            customers: contracts.map(keys).collect(),
        }
    }

    /// Returns the customer that a key belongs to. Compares the key with every digest, so that the
    /// response time does not reveal which one matched.
    pub(crate) fn find(&self, key: &str) -> Option<CustomerName> {
        let presented = Digest::of_key(key.as_bytes());
        let mut found = None;
        for keys in &self.customers {
            for digest in &keys.key_sha256 {
                if digest.matches(&presented) {
                    found = Some(&keys.customer);
                }
            }
        }
        found.cloned()
    }
}

/// State shared by the control thread, which writes it, and the HTTP threads.
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

    /// Whether the entry accepts work: it has a valid lease and is not draining.
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
