//! Rescaling of a process's share of a tenant's quota.
//!
//! The target is the process's own part of the admitted requests, where the fleet summary gives the rate (requests per
//! second) and the sum of the shares over all processes:
//!
//! ```text
//! target = (own rate + p × even share) / (metered rate + p)      p = 10 requests / 3 s
//! target = share + weight × (even share − share)                 where nothing is metered
//! target = min(max(target, even share / 4), 2 × share, 1)
//! share  = min(target, share + target × max(0, 1 − sum) / 2) / max(1, sum)
//! weight = 1 − exp(−elapsed / 3 s), by which both rates are averaged
//! ```
//!
//! Readings come late and are not aligned between processes, so that when traffic moves the targets of all sum past the
//! whole quota. Hence a share grows only into what the sum of all shares leaves, and where the sum is past the whole, each
//! process gives its part of the excess back.

use crate::bucket::Bucket;
use vanewharf_protocol::messages::TenantUsage;

/// Seconds over which own and metered rate are averaged, exponentially: about four meter periods, so that one late
/// reading does not halve a share.
const AVERAGING_SPAN: f64 = 3.0;

/// Requests, at the even share, that are counted in besides the real ones: a ratio of fewer requests is mostly chance.
const PRIOR_REQUESTS: f64 = 10.0;

/// The least share, as a fraction of the even share: with none at all, a process could not learn that traffic has come
/// back to it.
pub(crate) const MIN_OF_EVEN: f64 = 0.25;

/// How many times its value a share may grow to at one rescaling: one odd reading must not hand over a whole quota.
const MAX_GROWTH: f64 = 2.0;

/// The fraction of what the sum of shares leaves of the quota into which a process may grow at once, times its target:
/// the others grow into the same before they see that it has.
const CLAIMED_FRACTION: f64 = 0.5;

/// The shortest time between two rescalings, in seconds, that rates are computed with: two at the same instant must not
/// divide by zero.
const MIN_ELAPSED: f64 = 1e-3;

/// What is common to all buckets of a process at one rescaling.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Rescaling {
    /// Seconds since the last rescaling.
    elapsed: f64,
    /// Weight of the newest reading in an average.
    weight: f64,
    /// The even share, as a fraction: one over the number of processes with shares.
    even_share: f64,
}

impl Rescaling {
    pub(crate) fn new(elapsed: f64, even_share: f64) -> Rescaling {
        let elapsed = elapsed.max(MIN_ELAPSED);
        Rescaling { elapsed, weight: 1.0 - (-elapsed / AVERAGING_SPAN).exp(), even_share }
    }

    /// Rescales the share of one bucket by what all processes admitted; none: the summary does not know the tenant yet.
    pub(crate) fn apply(self, bucket: &mut Bucket, usage: Option<TenantUsage>) {
        self.measure_own_rate(bucket);
        match usage {
            Some(usage) => self.rescale(bucket, usage),
            // Nothing is known of what the others hold.
            None => bucket.share = bucket.share.min(self.even_share),
        }
    }

    fn measure_own_rate(self, bucket: &mut Bucket) {
        let admitted = bucket.admitted.saturating_sub(bucket.admitted_before);
        let rate = admitted as f64 / self.elapsed;
        bucket.admitted_before = bucket.admitted;
        bucket.own_rate += self.weight * (rate - bucket.own_rate);
    }

    fn rescale(self, bucket: &mut Bucket, usage: TenantUsage) {
        bucket.metered_rate += self.weight * (usage.requests_per_s - bucket.metered_rate);
        let target = self.target(bucket, usage);
        let unclaimed = (1.0 - usage.quota_shares).max(0.0) * CLAIMED_FRACTION * target;
        let grown = target.min(bucket.share + unclaimed);
        bucket.share = grown / usage.quota_shares.max(1.0);
    }

    /// The share by the rates alone, within its bounds.
    fn target(self, bucket: &Bucket, usage: TenantUsage) -> f64 {
        let target = if usage.requests_per_s > 0.0 && bucket.metered_rate > 0.0 {
            let prior_rate = PRIOR_REQUESTS / AVERAGING_SPAN;
            (bucket.own_rate + prior_rate * self.even_share) / (bucket.metered_rate + prior_rate)
        } else {
            bucket.share + self.weight * (self.even_share - bucket.share)
        };
        target.max(MIN_OF_EVEN * self.even_share).min(MAX_GROWTH * bucket.share).min(1.0)
    }
}
