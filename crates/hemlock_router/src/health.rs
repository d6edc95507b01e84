//! Outlier ejection of endpoints.
//!
//! An endpoint that fails or is slow several times in a row, while the others of its service do
//! better, is ejected temporarily. It then enters probation, in which it gets one idempotent
//! request at a time, and is healthy again after a few successful answers.

use hemlock_types::prelude::*;

/// The newest sample counts for one part in this many of the moving average.
const EWMA_DIVISOR: u32 = 4;
/// Bad rate at which every sample is bad, in the unit of [`Health::bad_rate`].
const FULL_RATE: u32 = 1_000;
/// Bad rate from which an endpoint may be ejected, in thousandths.
const EJECTION_BAD_RATE: u32 = 600;
/// Duration of the first ejection, in milliseconds; each further one in a row doubles it.
const FIRST_EJECTION_MS: u64 = 5_000;
/// Maximum number of times that the duration of an ejection doubles.
const MAX_EJECTION_DOUBLINGS: u32 = 4;
/// Successful answers on probation after which an endpoint is healthy again.
const PROBATION_SUCCESSES: u8 = 3;

/// One observation of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sample {
    /// A complete answer within the usual time.
    Good,
    /// No complete answer, or one that reports a server error.
    Failed,
    /// A start that takes far longer than its operation usually does.
    Slow,
}

/// Determines whether an endpoint gets work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthState {
    /// It gets work without restriction.
    Healthy,
    /// It gets no work until the given time.
    Ejected {
        /// When probation begins.
        until: Instant,
    },
    /// It gets one idempotent request at a time.
    Probation {
        /// Successful answers since probation began.
        successes: u8,
    },
}

/// Effect of a sample on the health of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthChange {
    /// The state is unchanged.
    Unchanged,
    /// Its bad rate is high enough for an ejection. The router decides, by comparing it with the
    /// other endpoints and by its limit on ejected ones.
    Outlier,
    /// It failed on probation and has to be ejected again.
    FailedProbation,
    /// It passed its probation and is healthy.
    Reinstated,
}

/// Health of one endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Health {
    state: HealthState,
    bad_rate: u32,
    ejections: u32,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            state: HealthState::Healthy,
            bad_rate: 0,
            ejections: 0,
        }
    }
}

impl Health {
    /// The state that determines whether it gets work.
    pub fn state(&self) -> HealthState {
        self.state
    }

    /// Moving average of the share of bad samples, in thousandths.
    pub fn bad_rate(&self) -> u32 {
        self.bad_rate
    }

    /// Whether it gets work without restriction.
    pub fn is_healthy(&self) -> bool {
        self.state == HealthState::Healthy
    }

    /// Whether it is on probation.
    pub fn is_on_probation(&self) -> bool {
        matches!(self.state, HealthState::Probation { .. })
    }

    /// Records a sample and returns its effect.
    pub fn record(&mut self, sample: Sample) -> HealthChange {
        let value = match sample {
            Sample::Good => 0,
            Sample::Failed | Sample::Slow => FULL_RATE,
        };
        let weighted = self.bad_rate * (EWMA_DIVISOR - 1);
        self.bad_rate = (weighted + value) / EWMA_DIVISOR;
        match (self.state, sample) {
            (HealthState::Healthy, _) if self.bad_rate >= EJECTION_BAD_RATE => {
                HealthChange::Outlier
            }
            (HealthState::Probation { successes }, Sample::Good) => {
                self.record_probation_success(successes + 1)
            }
            (HealthState::Probation { .. }, _) => HealthChange::FailedProbation,
            (HealthState::Healthy | HealthState::Ejected { .. }, _) => HealthChange::Unchanged,
        }
    }

    fn record_probation_success(&mut self, successes: u8) -> HealthChange {
        if successes < PROBATION_SUCCESSES {
            self.state = HealthState::Probation { successes };
            return HealthChange::Unchanged;
        }
        *self = Self::default();
        HealthChange::Reinstated
    }

    /// Ejects the endpoint and returns when its probation begins.
    pub fn eject(&mut self, now: Instant) -> Instant {
        let doublings = self.ejections.min(MAX_EJECTION_DOUBLINGS);
        let until = now + DurationMs::new(FIRST_EJECTION_MS << doublings);
        self.ejections += 1;
        self.state = HealthState::Ejected { until };
        until
    }

    /// Begins probation once the ejection is over.
    pub fn begin_probation(&mut self, now: Instant) {
        match self.state {
            HealthState::Ejected { until } if now >= until => {
                self.state = HealthState::Probation { successes: 0 };
                self.bad_rate = 0;
            }
            HealthState::Ejected { .. } | HealthState::Healthy | HealthState::Probation { .. } => {}
        }
    }
}
