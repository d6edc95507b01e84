//! Distributions of the service time.

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

/// Distribution of the service time of a request.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum ServiceTime {
    /// Every request takes the same time.
    Fixed {
        /// The time, in milliseconds.
        ms: u64,
    },
    /// Uniform distribution.
    Uniform {
        /// Minimum time, in milliseconds.
        from_ms: u64,
        /// Maximum time, in milliseconds.
        to_ms: u64,
    },
    /// Mixture of short and long requests, each uniformly distributed.
    Mixed {
        /// Minimum time, in milliseconds.
        from_ms: u64,
        /// Maximum time of a short request, and minimum time of a long one, in milliseconds.
        to_ms: u64,
        /// Percentage of long requests.
        long_percent: u8,
        /// Maximum time of a long request, in milliseconds.
        long_to_ms: u64,
    },
}

impl ServiceTime {
    /// Draws a service time, in milliseconds.
    pub fn draw_ms(&self, random: &mut Pcg64Mcg) -> u64 {
        match *self {
            Self::Fixed { ms } => ms,
            Self::Uniform { from_ms, to_ms } => random.random_range(from_ms..=to_ms.max(from_ms)),
            Self::Mixed {
                to_ms,
                long_percent,
                long_to_ms,
                ..
            } if random.random_range(0..100) < long_percent => {
                random.random_range(to_ms..=long_to_ms.max(to_ms))
            }
            Self::Mixed { from_ms, to_ms, .. } => random.random_range(from_ms..=to_ms.max(from_ms)),
        }
    }
}
