//! Validation of a contract's content.

use std::collections::HashSet;
use std::hash::Hash;

use hemlock_types::names::is_valid_name;

use crate::contract::Contract;
use crate::fault::{ContractFault, FaultKind};

/// Largest number of keys of a contract.
pub const MAX_KEYS: usize = 16;
/// Largest number of services of a contract.
pub const MAX_SERVICES: usize = 256;
/// Largest number of non-idempotent operations that a contract lists.
pub const MAX_OPERATIONS: usize = 4_096;
/// Largest limit on running tasks that a contract may set.
pub const MAX_RUNNING: u32 = 1_000_000;
/// Largest limit on queued tasks in one entry that a contract may set.
pub const MAX_QUEUED: u32 = 1_000_000;
/// Largest weight of a contract.
pub const MAX_WEIGHT: u32 = 1_000_000;
/// Largest deadline that a contract may set, in milliseconds.
pub const MAX_DEADLINE_MS: u64 = 600_000;
/// Largest percentage.
const MAX_PERCENT: u64 = 100;

impl Contract {
    /// Checks all fields.
    ///
    /// # Errors
    ///
    /// Returns all faults, each with the path of its field.
    pub fn check(&self) -> Result<(), Vec<ContractFault>> {
        let mut faults = Faults::default();
        faults.check_name("customer", self.customer.as_str());
        faults.check_range("revision", self.revision.0, 1, u64::MAX);
        self.check_lists(&mut faults);
        self.check_limits(&mut faults);
        self.check_deadlines(&mut faults);
        match faults.0.is_empty() {
            true => Ok(()),
            false => Err(faults.0),
        }
    }

    fn check_lists(&self, faults: &mut Faults) {
        faults.check_size("key_sha256", self.key_sha256.len(), MAX_KEYS);
        faults.check_distinct("key_sha256", &self.key_sha256);
        faults.check_size("services", self.services.len(), MAX_SERVICES);
        faults.check_distinct("services", &self.services);
        for (index, service) in self.services.iter().enumerate() {
            faults.check_name(&format!("services[{index}]"), service.as_str());
        }
        if self.non_idempotent.len() > MAX_OPERATIONS {
            faults.add("non_idempotent", FaultKind::TooMany(MAX_OPERATIONS));
        }
        faults.check_distinct("non_idempotent", &self.non_idempotent);
        for (index, listed) in self.non_idempotent.iter().enumerate() {
            let field = format!("non_idempotent[{index}]");
            faults.check_name(&format!("{field}.operation"), listed.operation.as_str());
            if !self.allows_service(&listed.service) {
                faults.add(&format!("{field}.service"), FaultKind::UnlistedService);
            }
        }
    }

    fn check_limits(&self, faults: &mut Faults) {
        faults.check_range(
            "max_running",
            self.max_running.into(),
            1,
            MAX_RUNNING.into(),
        );
        faults.check_range("max_queued", self.max_queued.into(), 0, MAX_QUEUED.into());
        faults.check_range("weight", self.weight.into(), 1, MAX_WEIGHT.into());
        let retry_percent = self.retry_budget_percent.into();
        faults.check_range("retry_budget_percent", retry_percent, 0, MAX_PERCENT);
        let hedge_percent = self.hedging.budget_percent.into();
        faults.check_range("hedging.budget_percent", hedge_percent, 0, MAX_PERCENT);
    }

    fn check_deadlines(&self, faults: &mut Faults) {
        faults.check_range("deadline_ms", self.deadline_ms, 1, MAX_DEADLINE_MS);
        faults.check_range("deadline_cap_ms", self.deadline_cap_ms, 1, MAX_DEADLINE_MS);
        if self.deadline_ms > self.deadline_cap_ms {
            faults.add("deadline_ms", FaultKind::AboveCap);
        }
    }
}

/// The faults found so far.
#[derive(Default)]
struct Faults(Vec<ContractFault>);

impl Faults {
    fn add(&mut self, field: &str, kind: FaultKind) {
        let field = field.to_owned();
        self.0.push(ContractFault { field, kind });
    }

    fn check_name(&mut self, field: &str, text: &str) {
        if !is_valid_name(text) {
            self.add(field, FaultKind::BadName);
        }
    }

    fn check_range(&mut self, field: &str, value: u64, min: u64, max: u64) {
        if !(min..=max).contains(&value) {
            self.add(field, FaultKind::OutOfRange(min, max));
        }
    }

    fn check_size(&mut self, field: &str, length: usize, max: usize) {
        match length {
            0 => self.add(field, FaultKind::Empty),
            length if length > max => self.add(field, FaultKind::TooMany(max)),
            _ => {}
        }
    }

    fn check_distinct<T: Eq + Hash>(&mut self, field: &str, items: &[T]) {
        let mut seen = HashSet::new();
        for (index, item) in items.iter().enumerate() {
            if !seen.insert(item) {
                self.add(&format!("{field}[{index}]"), FaultKind::Duplicate);
            }
        }
    }
}
