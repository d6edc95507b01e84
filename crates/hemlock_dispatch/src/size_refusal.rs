//! Admission of a queue's jobs by the work that they need.
//!
//! Load pattern: a burst beyond the capacity, in which the jobs of one queue differ several times
//! in work. The wait settles where the admitted work equals the capacity. If all jobs may wait for
//! the same share of their slack, long jobs may wait longest, and most of the rejected ones are
//! small, although each large job displaces several small ones. A job's allowed wait is therefore
//! scaled down with its work, so that the same capacity serves more callers.
//!
//! No size is starved: a size that has been admitted much less often than the queue as a whole is
//! allowed the longest wait, whatever its work.
//!
//! The state is kept by each dispatcher for its own callers' jobs. It is not stored or exchanged. A
//! restarted dispatcher treats all jobs alike until it has seen some.

use derive_more::Display;

use crate::estimate::MovingAverage;

/// Weight of the newest job in the mean work. Bursts last for hundreds of jobs.
const MEAN_WEIGHT: f64 = 0.05;
/// Exponent with which the allowed wait falls with the relative work. In proportion to the work, the
/// largest jobs would be rejected too often.
const SIZE_EXPONENT: f64 = 0.7;
/// Bounds of the factor of the allowed wait.
const FACTORS: (f64, f64) = (0.25, 2.0);
/// Smallest ratio of the admitted share of a size to that of the whole queue. Admitted jobs may
/// still be late, so this is above the half that callers of large jobs are due.
const MIN_SERVED_RATIO: f64 = 0.6;
/// Number of sizes, each twice the one before. They cover all values of work.
const SIZES: usize = 64;
/// Decay of the counts with each job, so that they cover about the last hundred jobs.
const KEPT_SHARE: f64 = 0.99;
/// Largest relative work of a small job, and smallest of a large one.
const SIZE_LIMITS: (f64, f64) = (0.5, 1.75);

/// Size of a job in comparison with its queue's recent jobs, as operators see it.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum RelativeSize {
    /// At most half of the mean work.
    #[display("small")]
    Small,
    /// About the mean work.
    #[display("usual")]
    Usual,
    /// At least 1.75 times the mean work.
    #[display("large")]
    Large,
}

/// Decaying counts of jobs.
#[derive(Clone, Copy, Debug, Default)]
struct Served {
    asked: f64,
    admitted: f64,
}

/// Work of a queue's recent jobs, and how often they were admitted by size.
#[derive(Clone, Debug)]
pub(crate) struct SizeProfile {
    mean_work: MovingAverage,
    sizes: [Served; SIZES],
}

impl Default for SizeProfile {
    fn default() -> Self {
        Self {
            mean_work: MovingAverage::with_weight(MEAN_WEIGHT),
            sizes: [Served::default(); SIZES],
        }
    }
}

/// The size of work, as an index: the position of its highest bit.
fn size_of(work: u64) -> usize {
    work.max(1).ilog2() as usize
}

impl SizeProfile {
    /// Adds a job to the mean work.
    pub(crate) fn note_asked(&mut self, work: u64) {
        self.mean_work.add(work as f64);
    }

    /// Ratio of the work to the mean.
    fn relative_work(&self, work: u64) -> f64 {
        let work = work.max(1) as f64;
        work / self.mean_work.value_or(work).max(1.0)
    }

    /// Factor of the wait that is allowed to a job with this work.
    pub(crate) fn wait_factor(&self, work: u64) -> f64 {
        let (least, most) = FACTORS;
        let own = self.sizes[size_of(work)];
        // One job that has not been seen yet counts as rejected.
        let own_share = own.admitted / (own.asked + 1.0);
        if own.asked > 0.0 && own_share < MIN_SERVED_RATIO * self.admitted_share() {
            return most;
        }
        let factor = self.relative_work(work).powf(-SIZE_EXPONENT);
        factor.clamp(least, most)
    }

    /// Records whether a job with this work was admitted.
    pub(crate) fn note_decision(&mut self, work: u64, admitted: bool) {
        for size in &mut self.sizes {
            size.asked *= KEPT_SHARE;
            size.admitted *= KEPT_SHARE;
        }
        let size = &mut self.sizes[size_of(work)];
        size.asked += 1.0;
        size.admitted += f64::from(u8::from(admitted));
    }

    /// Share of the recent jobs that were admitted.
    pub(crate) fn admitted_share(&self) -> f64 {
        let asked: f64 = self.sizes.iter().map(|size| size.asked).sum();
        let admitted: f64 = self.sizes.iter().map(|size| size.admitted).sum();
        if asked == 0.0 { 1.0 } else { admitted / asked }
    }

    /// Size of a job with this work in comparison with the queue's recent jobs.
    pub(crate) fn relative_size(&self, work: u64) -> RelativeSize {
        let (small, large) = SIZE_LIMITS;
        match self.relative_work(work) {
            relative if relative <= small => RelativeSize::Small,
            relative if relative >= large => RelativeSize::Large,
            _ => RelativeSize::Usual,
        }
    }
}
