//! Rescaling of a process's share of a tenant's quota.
//!
//! The target is the fraction of all admitted requests that this process admits. The fleet summary gives the admitted
//! rate (requests per second) and the sum of the shares of all processes:
//!
//! ```text
//! target = (own rate + p × even share) / (metered rate + p)      p = 10 requests / 3 s
//! target = share + weight × (even share − share)                 if no usage is metered
//! target = min(max(target, even share / 4), 2 × share, 1)
//! share  = min(target, share + target × max(0, 1 − sum) / 2) / max(1, sum)
//! weight = 1 − exp(−elapsed / 3 s), the weight of the newest value in both averages
//! ```
//!
//! Meter readings are late and not aligned between processes. When traffic moves, the targets of all processes can
//! therefore sum to more than 1. So a share grows only into the part of the quota that no process holds, and if the sum
//! of the shares exceeds 1, each process divides its share by the sum.

use crate::bucket::Bucket;
use vanewharf_protocol::messages::TenantUsage;

/// Time constant of the exponential averages of both rates: about four meter periods, so that one late reading does not
/// halve a share.
const AVERAGING_SECONDS: f64 = 3.0;

/// Requests, distributed by the even shares, that are added to the admitted ones: the ratio of fewer requests is mostly
/// noise.
const PRIOR_REQUESTS: f64 = 10.0;

/// The smallest share, as a fraction of the even share: a process without a share could not notice that traffic has
/// returned to it.
pub(crate) const MIN_FRACTION_OF_EVEN_SHARE: f64 = 0.25;

/// The largest factor by which one rescaling may increase a share, so that one wrong reading does not give a process the
/// whole quota.
const MAX_GROWTH_FACTOR: f64 = 2.0;

/// A rescaling may add to a share this fraction of the quota that no process holds, times the target: other processes
/// grow into the same part before they see that this one has.
const UNHELD_QUOTA_FRACTION: f64 = 0.5;

/// The shortest interval between two rescalings that rates are computed with, so that two at the same instant do not
/// divide by zero.
const MIN_ELAPSED_SECONDS: f64 = 1e-3;

/// The parameters of one rescaling that all buckets of a process have in common.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Rescaling {
    /// Seconds since the last rescaling.
    elapsed: f64,
    /// Weight of the newest value in the averages.
    weight: f64,
    /// One over the number of processes that hold shares.
    even_share: f64,
}

impl Rescaling {
    pub(crate) fn new(elapsed: f64, even_share: f64) -> Rescaling {
        let elapsed = elapsed.max(MIN_ELAPSED_SECONDS);
        Rescaling { elapsed, weight: 1.0 - (-elapsed / AVERAGING_SECONDS).exp(), even_share }
    }

    /// Rescales the share of one bucket by the usage at all processes. `usage` is `None` if the summary does not have the
    /// tenant yet.
    pub(crate) fn apply(self, bucket: &mut Bucket, usage: Option<TenantUsage>) {
        self.measure_own_rate(bucket);
        match usage {
            Some(usage) => self.rescale(bucket, usage),
            // The shares of the other processes are unknown, so this one keeps no more than the even share.
            None => bucket.share = bucket.share.min(self.even_share),
        }
    }

    fn measure_own_rate(self, bucket: &mut Bucket) {
        let admitted = bucket.admitted.saturating_sub(bucket.admitted_at_rescaling);
        let rate = admitted as f64 / self.elapsed;
        bucket.admitted_at_rescaling = bucket.admitted;
        bucket.own_rate += self.weight * (rate - bucket.own_rate);
    }

    fn rescale(self, bucket: &mut Bucket, usage: TenantUsage) {
        bucket.metered_rate += self.weight * (usage.requests_per_s - bucket.metered_rate);
        let target = self.target(bucket, usage);
        let max_growth = (1.0 - usage.quota_shares).max(0.0) * UNHELD_QUOTA_FRACTION * target;
        let grown = target.min(bucket.share + max_growth);
        bucket.share = grown / usage.quota_shares.max(1.0);
    }

    /// Returns the share that the rates alone call for, within its bounds.
    fn target(self, bucket: &Bucket, usage: TenantUsage) -> f64 {
        let target = if usage.requests_per_s > 0.0 && bucket.metered_rate > 0.0 {
            let prior_rate = PRIOR_REQUESTS / AVERAGING_SECONDS;
            (bucket.own_rate + prior_rate * self.even_share) / (bucket.metered_rate + prior_rate)
        } else {
            bucket.share + self.weight * (self.even_share - bucket.share)
        };
        let min = MIN_FRACTION_OF_EVEN_SHARE * self.even_share;
        target.max(min).min(MAX_GROWTH_FACTOR * bucket.share).min(1.0)
    }
}
