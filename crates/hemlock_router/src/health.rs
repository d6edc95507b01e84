//! Which endpoints are outliers, and how they come back.
//!
//! An endpoint that fails or is slow several times in a row, while the others of its service do
//! better, is ejected for a while. It returns on probation, with one idempotent request at a
//! time, and is whole again after a few good answers.

use hemlock_types::prelude::*;

/// Weight of the newest sample: one part in this many.
const SAMPLE_PARTS: u32 = 4;
/// A bad rate of one, in the scale of [`Health::bad_rate`].
const FULL_RATE: u32 = 1_000;
/// Bad rate from which an endpoint is an outlier.
const EJECT_RATE: u32 = 600;
/// First ejection, in milliseconds; each further one in a row doubles it.
const EJECT_MS: u64 = 5_000;
/// Longest ejection, in doublings of the first.
const EJECT_DOUBLINGS_MAX: u32 = 4;
/// Good answers on probation after which an endpoint is whole again.
const PROBATION_PASSES: u8 = 3;

/// One finding about an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sample {
    /// A whole answer in ordinary time.
    Good,
    /// No whole answer, or one that reports a failure of the server.
    Failed,
    /// A start that takes far longer than its operation does elsewhere.
    Slow,
}

/// Whether an endpoint gets work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It gets work.
    Healthy,
    /// It gets none until the given time.
    Ejected {
        /// When probation begins.
        until: Instant,
    },
    /// It gets one idempotent request at a time.
    Probation {
        /// Good answers since probation began.
        passes: u8,
    },
}

/// What a finding led to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing changes.
    Unchanged,
    /// It looks like an outlier; the router decides, within its cap.
    Suspicious,
    /// It failed on probation and is ejected again.
    FailedProbation,
    /// It passed its probation.
    Reinstated,
}

/// The record of one endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Health {
    standing: Standing,
    bad_rate: u32,
    ejections: u32,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            standing: Standing::Healthy,
            bad_rate: 0,
            ejections: 0,
        }
    }
}

impl Health {
    /// Whether it gets work.
    pub fn standing(&self) -> Standing {
        self.standing
    }

    /// Recent share of bad samples, in thousandths.
    pub fn bad_rate(&self) -> u32 {
        self.bad_rate
    }

    /// Whether it gets work freely.
    pub fn is_healthy(&self) -> bool {
        self.standing == Standing::Healthy
    }

    /// Whether it is on probation.
    pub fn is_on_probation(&self) -> bool {
        matches!(self.standing, Standing::Probation { .. })
    }

    /// Takes a finding into account.
    pub fn note(&mut self, sample: Sample) -> Verdict {
        let worst = match sample {
            Sample::Good => 0,
            Sample::Failed | Sample::Slow => FULL_RATE,
        };
        let kept = self.bad_rate * (SAMPLE_PARTS - 1);
        self.bad_rate = (kept + worst) / SAMPLE_PARTS;
        match (self.standing, sample) {
            (Standing::Healthy, _) if self.bad_rate >= EJECT_RATE => Verdict::Suspicious,
            (Standing::Probation { passes }, Sample::Good) => self.pass(passes + 1),
            (Standing::Probation { .. }, _) => Verdict::FailedProbation,
            (Standing::Healthy | Standing::Ejected { .. }, _) => Verdict::Unchanged,
        }
    }

    fn pass(&mut self, passes: u8) -> Verdict {
        if passes < PROBATION_PASSES {
            self.standing = Standing::Probation { passes };
            return Verdict::Unchanged;
        }
        *self = Self::default();
        Verdict::Reinstated
    }

    /// Ejects the endpoint; returns when its probation begins.
    pub fn eject(&mut self, now: Instant) -> Instant {
        let doublings = self.ejections.min(EJECT_DOUBLINGS_MAX);
        let until = now + DurationMs::new(EJECT_MS << doublings);
        self.ejections += 1;
        self.standing = Standing::Ejected { until };
        until
    }

    /// Begins probation once the ejection is over.
    pub fn begin_probation(&mut self, now: Instant) {
        match self.standing {
            Standing::Ejected { until } if now >= until => {
                self.standing = Standing::Probation { passes: 0 };
                self.bad_rate = 0;
            }
            Standing::Ejected { .. } | Standing::Healthy | Standing::Probation { .. } => {}
        }
    }
}
