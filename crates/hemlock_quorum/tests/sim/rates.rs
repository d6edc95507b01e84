//! Rates of client requests and faults in one run.

use rand::RngExt;
use rand_pcg::Pcg32;

/// Rates of client requests and faults in one run.
pub(crate) struct Rates {
    /// Longest time between client requests.
    pub(crate) request_interval_us: u64,
    /// Longest time between faults.
    pub(crate) fault_interval_us: u64,
    /// Probability that a keeper crashes while a write is pending.
    pub(crate) write_crash: f64,
    /// The same for a write that contains a vote.
    pub(crate) vote_crash: f64,
    /// Whether fast elections are used.
    pub(crate) fast_elections: bool,
    /// Longest election timeout, if not the default. A short one makes candidates compete.
    pub(crate) election_max_ms: Option<u64>,
}

impl Default for Rates {
    fn default() -> Self {
        Self {
            request_interval_us: 8_000,
            fault_interval_us: 1_500_000,
            write_crash: 0.0,
            vote_crash: 0.0,
            fast_elections: false,
            election_max_ms: None,
        }
    }
}

impl Rates {
    /// The default rates, without faults.
    pub(crate) fn without_faults(fast_elections: bool) -> Self {
        Self {
            fast_elections,
            ..Self::default()
        }
    }

    /// Random rates. `fast_elections` is given, because all keepers must use the same setting.
    pub(crate) fn draw(rng: &mut Pcg32, fast_elections: bool) -> Self {
        let mut one_of = |values: [u64; 4]| values[rng.random_range(0..values.len())];
        Self {
            request_interval_us: one_of([5_000, 50_000, 200_000, 3_000_000]),
            fault_interval_us: one_of([80_000, 200_000, 400_000, 800_000]),
            write_crash: one_of([0, 0, 1, 5]) as f64 / 1_000.0,
            vote_crash: one_of([0, 1, 5, 20]) as f64 / 100.0,
            fast_elections,
            election_max_ms: Some(match fast_elections {
                true => one_of([170, 200, 360, 360]),
                false => one_of([420, 500, 800, 800]),
            }),
        }
    }
}
