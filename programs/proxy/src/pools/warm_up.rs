//! The warm-up of a backend. Until it has ended, the rate of attempts at the backend is limited over all proxies, and
//! each proxy has an equal share of that limit.

use crate::ticks::to_ticks;
use std::time::Duration;
use vanewharf_clock::Timestamp;
use vanewharf_config::settings::LimitsTable;
use vanewharf_health::{SlowStart, SlowStartLimit, SlowStartPolicy};
use vanewharf_policy::interface::Ticks;

/// The warm-up of one backend.
pub(super) struct WarmUp {
    /// The end of the warm-up.
    pub(super) until: Timestamp,
    /// The token bucket of this proxy's share, created by the first attempt during the warm-up.
    bucket: Option<SlowStart>,
}

impl WarmUp {
    pub(super) fn new(until: Timestamp) -> WarmUp {
        WarmUp { until, bucket: None }
    }

    /// Extends the warm-up. It is never shortened, because reported ends of the warm-up are only lower bounds.
    pub(super) fn extend(&mut self, until: Timestamp) {
        self.until = self.until.max(until);
    }

    /// Computes the backend's start time from the length of a complete warm-up. Returns `None` once the backend has
    /// warmed up.
    pub(super) fn started_at(&self, warm_up: Duration, now: Ticks, at: Timestamp) -> Option<Ticks> {
        let remaining = self.until.since(at);
        (!remaining.is_zero()).then(|| now - to_ticks(warm_up.saturating_sub(remaining)))
    }

    /// Returns whether one more attempt may be sent. While the backend warms up, this spends a token of this proxy's
    /// share.
    pub(super) fn try_spend(&mut self, limit: impl FnOnce() -> SlowStartLimit, at: Timestamp) -> bool {
        if self.until <= at {
            return true;
        }
        let limit = limit();
        self.bucket.get_or_insert_with(|| SlowStart::new(limit, at)).try_spend(limit, at)
    }
}

/// Returns one proxy's share of the limit for a backend that is warming up. `rate_per_s` is the rate that the service's
/// backends sustain during their warm-up.
pub(super) fn proxy_limit(limits: &LimitsTable, rate_per_s: f64, proxy_count: f64) -> SlowStartLimit {
    SlowStartLimit::per_proxy(SlowStartPolicy {
        rate_per_s,
        overshoot: limits.warmup_overshoot,
        allowance: limits.warmup_allowance,
        proxies: proxy_count,
    })
}
