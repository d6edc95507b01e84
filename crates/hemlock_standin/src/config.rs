//! What a stand-in endpoint offers.

use std::net::SocketAddr;

use crate::faults::Faults;
use crate::service_time::ServiceTime;

/// What a stand-in endpoint offers.
#[derive(Clone, Debug)]
pub struct StandinConfig {
    /// Name of the service; only for its answers.
    pub service: String,
    /// Where it listens; port 0 takes a free one.
    pub address: SocketAddr,
    /// How long it works on a request that does not say so itself.
    pub service_time: ServiceTime,
    /// What goes wrong from the start.
    pub faults: Faults,
    /// Seed of everything random.
    pub seed: u64,
    /// Whether it remembers every start by name, to find duplicates.
    pub record: bool,
}

impl StandinConfig {
    /// A sound endpoint of `service` on a free loopback port that answers at once.
    pub fn new(service: impl Into<String>) -> Self {
        Self {
            service: service.into(),
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            service_time: ServiceTime::Fixed { ms: 0 },
            faults: Faults::default(),
            seed: 1,
            record: true,
        }
    }

    /// Sets where it listens.
    #[must_use]
    pub fn with_address(mut self, address: SocketAddr) -> Self {
        self.address = address;
        self
    }

    /// Sets how long it works.
    #[must_use]
    pub fn with_service_time(mut self, service_time: ServiceTime) -> Self {
        self.service_time = service_time;
        self
    }

    /// Sets what goes wrong from the start.
    #[must_use]
    pub fn with_faults(mut self, faults: Faults) -> Self {
        self.faults = faults;
        self
    }

    /// Sets the seed of everything random.
    #[must_use]
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Sets whether it remembers every start by name.
    #[must_use]
    pub fn with_record(mut self, record: bool) -> Self {
        self.record = record;
        self
    }
}
