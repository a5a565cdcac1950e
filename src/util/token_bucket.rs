use std::time::Instant;

/// A token bucket that is refilled with `rate` tokens per second up to `burst` tokens.
#[derive(Debug, Clone)]
pub(crate) struct TokenBucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub(crate) fn new(rate: f64, burst: f64, now: Instant) -> TokenBucket {
        TokenBucket { rate, burst, tokens: burst, refilled_at: now }
    }

    /// Takes `amount` tokens and returns `true` if the bucket holds as many; otherwise takes none.
    pub(crate) fn take(&mut self, now: Instant, amount: f64) -> bool {
        self.refill(now);
        if self.tokens < amount {
            return false;
        }
        self.tokens -= amount;
        true
    }

    /// Takes `amount` tokens even if the balance becomes negative, for messages that must not wait.
    pub(crate) fn debit(&mut self, now: Instant, amount: f64) {
        self.refill(now);
        self.tokens -= amount;
    }

    /// Returns the number of tokens, which [`TokenBucket::debit`] can make negative.
    pub(crate) fn available(&mut self, now: Instant) -> f64 {
        self.refill(now);
        self.tokens
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.rate).min(self.burst);
        self.refilled_at = self.refilled_at.max(now);
    }
}
