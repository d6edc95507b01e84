//! How fast things happen and go wrong in one run.

use rand::RngExt;
use rand_pcg::Pcg32;

/// Rates of one run.
pub(crate) struct Tempo {
    /// Longest time between a client's requests.
    pub(crate) client_us: u64,
    /// Longest time between faults.
    pub(crate) mischief_us: u64,
    /// Chance that a keeper crashes as it hands a write to its disk.
    pub(crate) write_crash: f64,
    /// The same for a write that contains a vote.
    pub(crate) vote_crash: f64,
    /// Whether elections are prompt.
    pub(crate) prompt: bool,
    /// The longest election timeout, if it is another than usual. A short one makes candidates race.
    pub(crate) election_max_ms: Option<u64>,
}

impl Default for Tempo {
    fn default() -> Self {
        Self {
            client_us: 8_000,
            mischief_us: 1_500_000,
            write_crash: 0.0,
            vote_crash: 0.0,
            prompt: false,
            election_max_ms: None,
        }
    }
}

impl Tempo {
    /// The usual rates, with prompt elections or others.
    pub(crate) fn calm(prompt: bool) -> Self {
        Self {
            prompt,
            ..Self::default()
        }
    }

    /// Draws all but whether elections are prompt, which all keepers must agree on.
    pub(crate) fn draw(rng: &mut Pcg32, prompt: bool) -> Self {
        let mut one_of = |values: [u64; 4]| values[rng.random_range(0..values.len())];
        Self {
            client_us: one_of([5_000, 50_000, 200_000, 3_000_000]),
            mischief_us: one_of([80_000, 200_000, 400_000, 800_000]),
            write_crash: one_of([0, 0, 1, 5]) as f64 / 1_000.0,
            vote_crash: one_of([0, 1, 5, 20]) as f64 / 100.0,
            prompt,
            election_max_ms: Some(match prompt {
                true => one_of([170, 200, 360, 360]),
                false => one_of([420, 500, 800, 800]),
            }),
        }
    }
}
