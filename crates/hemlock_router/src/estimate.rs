//! Learnt service times, in place of declared ones.

use std::collections::HashMap;

use hemlock_types::prelude::*;
use rand::RngExt;
use rand_pcg::Pcg64;

use crate::contracts::ContractKey;
use crate::queue::ServiceKey;

/// Samples held per operation; a new one replaces an old one at random.
const RESERVOIR: usize = 64;
/// Fewest samples that quantiles are drawn from.
const FEWEST_SAMPLES: usize = 16;
/// New samples after which the quantiles are drawn again.
const REFRESH_SAMPLES: u32 = 16;
/// Expected service time of an operation that was never seen, in microseconds.
const PRIOR_US: u64 = 300_000;

/// Names the learnt times of one operation of one contract.
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
struct Sampled {
    samples: Vec<u32>,
    since_refresh: u32,
    quantiles: Option<Quantiles>,
}

/// Learnt service times of every operation.
#[derive(Debug, Default)]
pub struct Estimates {
    operations: Vec<Sampled>,
    by_name: HashMap<(ContractKey, ServiceKey), HashMap<OperationName, OperationKey>>,
}

impl Estimates {
    /// The key of an operation, made on its first use.
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
        self.operations.push(Sampled::default());
        names.insert(operation.clone(), key);
        key
    }

    /// Notes how long one task took at an endpoint.
    pub fn learn(&mut self, operation: OperationKey, service_us: u64, rng: &mut Pcg64) {
        let sampled = &mut self.operations[operation.0 as usize];
        let sample = u32::try_from(service_us).unwrap_or(u32::MAX);
        match sampled.samples.len() < RESERVOIR {
            true => sampled.samples.push(sample),
            false => sampled.samples[rng.random_range(0..RESERVOIR)] = sample,
        }
        sampled.since_refresh += 1;
        let due = sampled.quantiles.is_none() || sampled.since_refresh >= REFRESH_SAMPLES;
        if due && sampled.samples.len() >= FEWEST_SAMPLES {
            sampled.since_refresh = 0;
            sampled.quantiles = Some(quantiles_of(&sampled.samples));
        }
    }

    /// The operation's quantiles, once enough of it was seen.
    pub fn quantiles(&self, operation: OperationKey) -> Option<Quantiles> {
        self.operations[operation.0 as usize].quantiles
    }

    /// Expected service time in microseconds, from a prior until enough was seen.
    pub fn expected_us(&self, operation: OperationKey) -> u64 {
        self.quantiles(operation)
            .map_or(PRIOR_US, |quantiles| quantiles.mean_us)
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
