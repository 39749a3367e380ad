//! The design's bucket for each tenant, in each proxy door: tokens = min(B, tokens + r × elapsed), spend or refuse and
//! say when. r and B are this door's slice of the tenant's quota; about once a meter period the slice is set anew from
//! this door's own let-through over the metered use, the sum of what doors reported to the control plane.

use std::collections::BTreeMap;
use std::time::Duration;
use vanewharf_clock::Timestamp;
use vanewharf_protocol::messages::TenantUsage;

/// Seconds over which own let-through and metered use are averaged.
const SPAN: f64 = 3.0;
/// A share out of fewer requests than this is mostly chance.
const PRIOR: f64 = 10.0;
/// Of the even slice: a door must be able to learn that traffic has come back to it.
const FLOOR: f64 = 0.25;
/// The part of a slice's burst that lets in a request where the slice is below one.
const ENOUGH: f64 = 0.5;
/// Of what the rules allow beyond the quota once: the doors' buckets may be so much deeper, all together. The rest is
/// kept for slices that sum past the quota while readings are late.
const DEEPER: f64 = 0.6;
/// Of what the doors' slices leave of the whole, a door takes so much of its share at each reading: the others take
/// theirs of the same before they hear of it.
const TAKEN: f64 = 0.5;
/// Of a quota, what doors hold where postmasters lend: for doors that reach none of them.
const RESERVE: f64 = 0.1;
/// When to come back to a door that was not told yet.
const UNTOLD: Duration = Duration::from_millis(200);
/// Seconds that a client is told to wait at most.
const LONGEST: f64 = 30.0;
/// A door that hears nothing for so long counts itself as cut off: the others are told of its slice no more.
const SILENT: Duration = Duration::from_secs(50);

/// A tenant's quota over all doors. A rate of 0 is no limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    pub rate: f64,
    pub burst: f64,
}

#[derive(Clone, Debug)]
struct Bucket {
    slice: f64,
    tokens: f64,
    last: Timestamp,
    let_through: u64,
    /// As it was at the last reading, and averaged, a second.
    let_before: u64,
    let_rate: f64,
    metered: f64,
}

impl Bucket {
    fn new(slice: f64, tokens: f64, last: Timestamp) -> Bucket {
        Bucket { slice, tokens, last, let_through: 0, let_before: 0, let_rate: 0.0, metered: 0.0 }
    }
}

/// All tenants' buckets at one door, or at one lender.
#[derive(Clone, Debug)]
pub struct TokenBuckets {
    /// Where postmasters lend, a door's own buckets are for when none answers: so much of the quota is left to them.
    reserve: Option<f64>,
    /// When a lender last answered: what doors have of their own for when none does fills from then on. Filled before, a
    /// token in each of many doors would come on top of all that was lent just before.
    answered: Timestamp,
    /// By how many doors what all may do together is divided; the system supplies it.
    doors: f64,
    /// The whole allowance beyond a quota that the rules make, once.
    allowance: f64,
    started: Timestamp,
    /// Whether a tenant not yet seen starts full: only at the first start of all, else restarts would give twice.
    full: bool,
    buckets: BTreeMap<String, Bucket>,
    read_at: Timestamp,
    /// Whether it was ever told by what the quotas are divided; until then nothing is let in.
    told: bool,
}

impl TokenBuckets {
    pub fn new(allowance: f64, full: bool, now: Timestamp) -> TokenBuckets {
        let buckets = BTreeMap::new();
        TokenBuckets {
            reserve: None,
            answered: now,
            doors: 1.0,
            allowance,
            started: now,
            full,
            buckets,
            read_at: now,
            told: false,
        }
    }

    /// How much deeper each bucket is than its slice's burst.
    fn deeper(&self) -> f64 {
        DEEPER * self.allowance / self.doors
    }

    fn refilled(&mut self, tenant: &str, quota: Quota, now: Timestamp) -> &mut Bucket {
        let even = 1.0 / self.doors;
        if !self.buckets.contains_key(tenant) {
            let most = quota.burst * even + self.deeper();
            let since = now.since(self.started).as_secs_f64() * quota.rate * even;
            let tokens = if self.full { most } else { since.min(most) };
            self.buckets.insert(tenant.to_owned(), Bucket::new(even, tokens, now));
        }
        let deeper = self.deeper();
        let bucket = self.buckets.get_mut(tenant).expect("just put there");
        let most = quota.burst * bucket.slice + deeper;
        let gap = now.since(bucket.last).as_secs_f64();
        bucket.tokens = (bucket.tokens + quota.rate * bucket.slice * gap).min(most);
        bucket.last = now;
        bucket
    }

    /// Whether postmasters lend: the door's own buckets then hold a small part, by whole requests and never in debt.
    pub fn set_token_leasing(&mut self, lent: bool) {
        if lent != self.reserve.is_some() {
            self.reserve = lent.then_some(RESERVE);
            self.buckets.clear();
            (self.full, self.started) = (false, self.read_at);
        }
    }

    /// A lender answered, whatever it said.
    pub fn record_lender_answer(&mut self, now: Timestamp) {
        self.answered = now;
    }

    /// Tokens for another, as far as they go.
    pub fn lease_tokens(&mut self, tenant: &str, wanted: u32, quota: Quota, now: Timestamp) -> u32 {
        (0..wanted).take_while(|_| self.try_admit(tenant, quota, now).is_ok()).count() as u32
    }

    /// One request: spent, or when the next try is worth its while.
    pub fn try_admit(&mut self, tenant: &str, quota: Quota, now: Timestamp) -> Result<(), Duration> {
        if quota.rate <= 0.0 {
            return Ok(());
        }
        if !self.told {
            return Err(UNTOLD);
        }
        if let Some(part) = self.reserve {
            let (rate, since) = (quota.rate * part / self.doors, self.started.max(self.answered));
            let new = || Bucket::new(0.0, 0.0, since);
            let bucket = self.buckets.entry(tenant.to_owned()).or_insert_with(new);
            if bucket.last < since {
                (bucket.tokens, bucket.last) = (0.0, since);
            }
            bucket.tokens = (bucket.tokens + rate * now.since(bucket.last).as_secs_f64()).min(1.0);
            bucket.last = now;
            if bucket.tokens < 1.0 {
                return Err(Duration::from_secs_f64(((1.0 - bucket.tokens) / rate.max(1e-3)).min(LONGEST)));
            }
            bucket.tokens -= 1.0;
            return Ok(());
        }
        let depth = quota.burst / self.doors + self.deeper();
        let bucket = self.refilled(tenant, quota, now);
        // A slice whose burst is below one request would never admit it: a fair part of a full one is enough, the rest
        // is debt.
        let needed = (ENOUGH * depth).min(1.0);
        if bucket.tokens < needed {
            let rate = (quota.rate * bucket.slice).max(1e-3);
            return Err(Duration::from_secs_f64(((needed - bucket.tokens) / rate).min(LONGEST)));
        }
        bucket.tokens -= 1.0;
        bucket.let_through += 1;
        Ok(())
    }

    /// What was let in and never sent on gives its token back.
    pub fn refund(&mut self, tenant: &str) {
        if let Some(bucket) = self.buckets.get_mut(tenant) {
            bucket.tokens += 1.0;
            bucket.let_through = bucket.let_through.saturating_sub(1);
        }
    }

    /// A new ledger: how many doors there are, and each tenant's use and the slices that the doors hold together.
    pub fn apply_usage(
        &mut self,
        doors: u32,
        uses: &BTreeMap<String, TenantUsage>,
        quota: impl Fn(&str) -> Quota,
        now: Timestamp,
    ) {
        // Nobody is counted: whoever says so has heard of nobody yet.
        if doors == 0 {
            return;
        }
        let doors = f64::from(doors);
        self.told = true;
        if self.reserve.is_some() {
            (self.doors, self.read_at) = (doors, now);
            return;
        }
        let even = 1.0 / doors;
        let gap = now.since(self.read_at).as_secs_f64().max(1e-3);
        let weight = 1.0 - (-gap / SPAN).exp();
        self.read_at = now;
        let names: Vec<_> = self.buckets.keys().cloned().collect();
        for name in names {
            let quota = quota(&name);
            let bucket = self.refilled(&name, quota, now);
            let let_now = bucket.let_through.saturating_sub(bucket.let_before) as f64 / gap;
            bucket.let_before = bucket.let_through;
            bucket.let_rate += weight * (let_now - bucket.let_rate);
            // A ledger that does not know the tenant yet says nothing of what others hold.
            let Some(reading) = uses.get(&name).copied() else {
                bucket.slice = bucket.slice.min(even);
                continue;
            };
            bucket.metered += weight * (reading.requests_per_s - bucket.metered);
            let target = if reading.requests_per_s > 0.0 && bucket.metered > 0.0 {
                let prior = PRIOR / SPAN;
                (bucket.let_rate + prior * even) / (bucket.metered + prior)
            } else {
                bucket.slice + weight * (even - bucket.slice)
            };
            let target = target.max(FLOOR * even).min(2.0 * bucket.slice).min(1.0);
            // Readings come late and misaligned, so that targets sum past the whole when requests rise: a slice grows
            // into what the others left, and where they sum past it each gives its part back.
            let left = (1.0 - reading.quota_shares).max(0.0) * TAKEN * target;
            let grown = target.min(bucket.slice + left);
            bucket.slice = grown / reading.quota_shares.max(1.0);
        }
        self.doors = doors;
        let (deeper, full) = (self.deeper(), self.full);
        self.buckets.retain(|name, bucket| {
            let quota = quota(name);
            let most = quota.burst * bucket.slice + deeper;
            let idle = bucket.let_rate < 0.01 && bucket.tokens >= 0.99 * most;
            !(full && idle && (bucket.slice / even - 1.0).abs() < 0.05 && bucket.let_through == 0)
        });
    }

    /// A door that nobody hears of keeps the floor alone: by now the others' slices take up the rest.
    pub fn shrink_when_cut_off(&mut self, now: Timestamp) {
        if now.since(self.read_at) < SILENT {
            return;
        }
        let floor = FLOOR / self.doors;
        for bucket in self.buckets.values_mut() {
            bucket.slice = bucket.slice.min(floor);
        }
    }

    pub fn admitted_counts(&self) -> BTreeMap<String, u64> {
        // What is lent is counted where it is lent.
        if self.reserve.is_some() {
            return BTreeMap::new();
        }
        self.buckets.iter().map(|(name, bucket)| (name.clone(), bucket.let_through)).collect()
    }

    pub fn slices(&self) -> BTreeMap<String, f64> {
        if self.reserve.is_some() {
            return BTreeMap::new();
        }
        // Rounded: it is sent once a second.
        let slice = |bucket: &Bucket| (bucket.slice * 1e4).round() / 1e4;
        self.buckets.iter().map(|(name, bucket)| (name.clone(), slice(bucket))).collect()
    }
}

#[cfg(test)]
mod tests;
