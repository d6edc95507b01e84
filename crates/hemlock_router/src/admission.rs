//! Whether work is taken, given what waits already.

use hemlock_types::prelude::*;

use crate::estimate::Quantiles;

/// Milliseconds in a second.
const MS_PER_S: u64 = 1_000;
/// Microseconds in a millisecond.
const US_PER_MS: u64 = 1_000;

/// What an admission rule looks at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Tasks that ask to be taken.
    pub tasks: u64,
    /// Tasks of the contract that wait.
    pub contract_queued: u64,
    /// Most tasks of the contract that may wait.
    pub contract_max_queued: u64,
    /// Tasks that the contract may have running here.
    pub contract_share: u64,
    /// Tasks of all contracts that wait in the entry.
    pub entry_queued: u64,
    /// Most tasks that may wait in the entry.
    pub entry_max_queued: u64,
    /// Tasks that wait for the service and are served earlier.
    pub ahead: u64,
    /// Starts per second of the service while it is backlogged, when known.
    pub rate: Option<u64>,
    /// Slots of the service over all its endpoints.
    pub slots: u64,
    /// Expected service time of one task, in microseconds.
    pub expected_us: u64,
    /// Learnt service times of the task that takes longest.
    pub quantiles: Option<Quantiles>,
    /// Time left until the deadline, in milliseconds.
    pub remaining_ms: u64,
}

impl Load {
    /// Expected time until the last of the tasks starts, in milliseconds.
    pub fn wait_ms(&self) -> u64 {
        let behind = self.ahead + self.tasks.saturating_sub(1);
        let by_service = match self.rate {
            Some(rate) => behind * MS_PER_S / rate.max(1),
            None => behind * self.expected_us / US_PER_MS / self.slots.max(1),
        };
        let own = self.contract_queued + self.tasks.saturating_sub(1);
        let over_share = own.saturating_sub(self.contract_share);
        let by_share = over_share * self.expected_us / US_PER_MS / self.contract_share.max(1);
        match self.contract_share {
            0 => by_service,
            _ => by_service.max(by_share),
        }
    }
}

/// A rule that takes work or refuses it before anything is sent.
pub trait Admission: Send {
    /// Whether the work is taken.
    ///
    /// # Errors
    ///
    /// Why it is refused.
    fn admit(&self, load: &Load) -> Result<(), NotRunReason>;
}

/// Takes work while the queues have room, whatever its deadline: the naive rule.
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

/// Also refuses work that is not expected to end within its deadline.
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
