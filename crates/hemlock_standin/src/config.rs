//! Configuration of a stand-in endpoint.

use std::net::SocketAddr;

use crate::faults::Faults;
use crate::service_time::ServiceTime;

/// Configuration of a stand-in endpoint.
#[derive(Clone, Debug)]
pub struct StandinConfig {
    /// Name of the service, which is only reported in responses.
    pub service: String,
    /// Address to listen on. Port 0 takes a free port.
    pub address: SocketAddr,
    /// Service time of requests without `work_ms`.
    pub service_time: ServiceTime,
    /// Initial fault injection.
    pub faults: Faults,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Whether starts are counted for each task and key, to find duplicates. Takes memory for each
    /// task.
    pub record_starts: bool,
}

impl StandinConfig {
    /// An endpoint of `service` without faults, on a free loopback port, that responds at once.
    pub fn new(service: impl Into<String>) -> Self {
        Self {
            service: service.into(),
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            service_time: ServiceTime::Fixed { ms: 0 },
            faults: Faults::default(),
            seed: 1,
            record_starts: true,
        }
    }

    /// Sets the address to listen on.
    #[must_use]
    pub fn with_address(mut self, address: SocketAddr) -> Self {
        self.address = address;
        self
    }

    /// Sets the service time.
    #[must_use]
    pub fn with_service_time(mut self, service_time: ServiceTime) -> Self {
        self.service_time = service_time;
        self
    }

    /// Sets the initial fault injection.
    #[must_use]
    pub fn with_faults(mut self, faults: Faults) -> Self {
        self.faults = faults;
        self
    }

    /// Sets the seed of the random number generator.
    #[must_use]
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Sets whether starts are counted for each task and key.
    #[must_use]
    pub fn with_record_starts(mut self, record_starts: bool) -> Self {
        self.record_starts = record_starts;
        self
    }
}
