//! Admission control: rules that accept or refuse work, given the current load.

use hemlock_types::prelude::*;

use crate::estimate::Quantiles;

/// Milliseconds in a second.
const MS_PER_S: u64 = 1_000;
/// Microseconds in a millisecond.
const US_PER_MS: u64 = 1_000;

/// Load that an admission rule considers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Number of tasks to admit.
    pub tasks: u64,
    /// Waiting tasks of the contract.
    pub contract_queued: u64,
    /// Maximum number of tasks of the contract that may wait.
    pub contract_max_queued: u64,
    /// Maximum number of tasks of the contract that this entry may have running.
    pub contract_share: u64,
    /// Waiting tasks of all contracts in the entry.
    pub entry_queued: u64,
    /// Maximum number of tasks that may wait in the entry.
    pub entry_max_queued: u64,
    /// Waiting tasks of the service at the same or a more urgent level; zero while an endpoint can
    /// take a task at once.
    pub queued_ahead: u64,
    /// Starts per second of the service while it is backlogged; `None` when unknown.
    pub starts_per_s: Option<u64>,
    /// Total number of slots of the service's endpoints.
    pub slots: u64,
    /// Expected service time of the longest task, in microseconds.
    pub expected_us: u64,
    /// Service time quantiles of the task with the longest median.
    pub quantiles: Option<Quantiles>,
    /// Time left until the deadline, in milliseconds.
    pub remaining_ms: u64,
}

impl Load {
    /// Expected time until the last of the tasks starts, in milliseconds: by the speed of the
    /// service or by the contract's share, whichever is longer.
    pub fn wait_ms(&self) -> u64 {
        let earlier = self.queued_ahead + self.tasks.saturating_sub(1);
        let service_wait_ms = match self.starts_per_s {
            Some(starts_per_s) => earlier * MS_PER_S / starts_per_s.max(1),
            None => earlier * self.expected_us / US_PER_MS / self.slots.max(1),
        };
        let contract_tasks = self.contract_queued + self.tasks.saturating_sub(1);
        let over_share = contract_tasks.saturating_sub(self.contract_share);
        let share_wait_ms = over_share * self.expected_us / US_PER_MS / self.contract_share.max(1);
        match self.contract_share {
            0 => service_wait_ms,
            _ => service_wait_ms.max(share_wait_ms),
        }
    }
}

/// A rule that admits work or refuses it before anything is sent.
pub trait Admission: Send {
    /// Admits or refuses work.
    ///
    /// # Errors
    ///
    /// Returns the reason for a refusal.
    fn admit(&self, load: &Load) -> Result<(), NotRunReason>;
}

/// The simplest rule: admits work while the queues have room, whatever its deadline.
#[derive(Clone, Copy, Debug, Default)]
pub struct BoundedQueues;

impl Admission for BoundedQueues {
    fn admit(&self, load: &Load) -> Result<(), NotRunReason> {
        match load {
            load if load.contract_queued + load.tasks > load.contract_max_queued => {
                Err(NotRunReason::OverLimit)
            }
            load if load.entry_queued + load.tasks > load.entry_max_queued => {
                Err(NotRunReason::QueueFull)
            }
            _ => Ok(()),
        }
    }
}

/// Like [`BoundedQueues`], but also refuses work that is not expected to end by its deadline.
#[derive(Clone, Copy, Debug, Default)]
pub struct DeadlineAware;

impl Admission for DeadlineAware {
    fn admit(&self, load: &Load) -> Result<(), NotRunReason> {
        BoundedQueues.admit(load)?;
        let service_ms = load.quantiles.map_or(0, |times| times.p50_us / US_PER_MS);
        match load.wait_ms() + service_ms > load.remaining_ms {
            true => Err(NotRunReason::Deadline),
            false => Ok(()),
        }
    }
}
