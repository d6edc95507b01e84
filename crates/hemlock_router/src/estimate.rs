//! Estimates of service times, from measured times instead of declared ones.

use std::collections::HashMap;

use hemlock_types::prelude::*;
use rand::RngExt;
use rand_pcg::Pcg64;

use crate::contracts::ContractKey;
use crate::queue::ServiceKey;

/// Number of samples held per operation; a new one replaces a random old one.
const RESERVOIR_SIZE: usize = 64;
/// Minimum number of samples for computing quantiles.
const MIN_SAMPLES: usize = 16;
/// Number of new samples after which the quantiles are computed again.
const REFRESH_AFTER_SAMPLES: u32 = 16;
/// Expected service time of an operation with too few samples, in microseconds.
const DEFAULT_SERVICE_US: u64 = 300_000;

/// Identifies the estimate of one operation of one service under one contract.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct OperationKey(u32);

/// Quantiles of an operation's service time, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quantiles {
    /// Mean.
    pub mean_us: u64,
    /// Median.
    pub p50_us: u64,
    /// 90th percentile.
    pub p90_us: u64,
    /// Largest sample held.
    pub max_us: u64,
}

#[derive(Debug, Default)]
struct OperationSamples {
    samples: Vec<u32>,
    since_refresh: u32,
    quantiles: Option<Quantiles>,
}

/// Service time estimates of all operations.
#[derive(Debug, Default)]
pub struct Estimates {
    operations: Vec<OperationSamples>,
    by_name: HashMap<(ContractKey, ServiceKey), HashMap<OperationName, OperationKey>>,
}

impl Estimates {
    /// The key of an operation, created on its first use.
    pub fn intern(
        &mut self,
        contract: ContractKey,
        service: ServiceKey,
        operation: &OperationName,
    ) -> OperationKey {
        let names = self.by_name.entry((contract, service)).or_default();
        if let Some(key) = names.get(operation) {
            return *key;
        }
        let key = OperationKey(self.operations.len() as u32);
        self.operations.push(OperationSamples::default());
        names.insert(operation.clone(), key);
        key
    }

    /// Records the service time of one task.
    pub fn record(&mut self, operation: OperationKey, service_us: u64, rng: &mut Pcg64) {
        let operation_samples = &mut self.operations[operation.0 as usize];
        let sample = u32::try_from(service_us).unwrap_or(u32::MAX);
        match operation_samples.samples.len() < RESERVOIR_SIZE {
            true => operation_samples.samples.push(sample),
            false => operation_samples.samples[rng.random_range(0..RESERVOIR_SIZE)] = sample,
        }
        operation_samples.since_refresh += 1;
        let due = operation_samples.quantiles.is_none()
            || operation_samples.since_refresh >= REFRESH_AFTER_SAMPLES;
        if due && operation_samples.samples.len() >= MIN_SAMPLES {
            operation_samples.since_refresh = 0;
            operation_samples.quantiles = Some(quantiles_of(&operation_samples.samples));
        }
    }

    /// The operation's quantiles; `None` until there are enough samples.
    pub fn quantiles(&self, operation: OperationKey) -> Option<Quantiles> {
        self.operations[operation.0 as usize].quantiles
    }

    /// Expected service time in microseconds; a default until there are enough samples.
    pub fn expected_us(&self, operation: OperationKey) -> u64 {
        self.quantiles(operation)
            .map_or(DEFAULT_SERVICE_US, |quantiles| quantiles.mean_us)
    }
}

fn quantiles_of(samples: &[u32]) -> Quantiles {
    let mut sorted = samples.to_vec();
    sorted.sort_unstable();
    let at = |percent: usize| u64::from(sorted[(sorted.len() - 1) * percent / 100]);
    let sum: u64 = sorted.iter().copied().map(u64::from).sum();
    Quantiles {
        mean_us: sum / sorted.len() as u64,
        p50_us: at(50),
        p90_us: at(90),
        max_us: at(100),
    }
}
