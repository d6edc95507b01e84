//! How long a stand-in works on a request.

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

/// Distribution of the time that a request takes.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum ServiceTime {
    /// Always the same.
    Fixed {
        /// The time, in milliseconds.
        ms: u64,
    },
    /// Anything in between, equally likely.
    Uniform {
        /// The shortest time, in milliseconds.
        from_ms: u64,
        /// The longest time, in milliseconds.
        to_ms: u64,
    },
    /// Mostly short and a few long, each uniform.
    Mixed {
        /// The shortest time, in milliseconds.
        from_ms: u64,
        /// The longest time of a short request, in milliseconds.
        to_ms: u64,
        /// Share of long requests, in percent.
        long_percent: u8,
        /// The longest time of a long request, in milliseconds.
        long_to_ms: u64,
    },
}

impl ServiceTime {
    /// Draws one time, in milliseconds.
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
