//! Token buckets that limit extra sends, such as retries and hedges, to a percentage of requests.

/// Tokens that one request adds for each percent of the budget.
const TOKENS_PER_PERCENT: u32 = 1;
/// Tokens that one extra send costs.
const TOKENS_PER_SEND: u32 = 100;
/// Maximum number of extra sends that the bucket holds for a burst.
const BURST_SENDS: u32 = 10;

/// A token bucket that is filled by requests and emptied by extra sends.
#[derive(Clone, Copy, Debug, Default)]
pub struct Budget {
    tokens: u32,
}

impl Budget {
    /// Adds the tokens of one request under a budget of `percent`.
    pub fn deposit(&mut self, percent: u8) {
        let max_tokens = BURST_SENDS * TOKENS_PER_SEND;
        let earned = u32::from(percent) * TOKENS_PER_PERCENT;
        self.tokens = (self.tokens + earned).min(max_tokens);
    }

    /// Takes the tokens of one extra send; returns `false` when there are too few.
    pub fn try_spend(&mut self) -> bool {
        match self.tokens >= TOKENS_PER_SEND {
            true => {
                self.tokens -= TOKENS_PER_SEND;
                true
            }
            false => false,
        }
    }
}
