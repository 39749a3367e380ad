//! Leases tokens to proxies.
//!
//! Where proxies are too many for each to hold a part of a tenant's quota, controllers hold the parts, and proxies lease
//! tokens from them. Every controller does this, whether it holds the lease or not.

use std::net::IpAddr;
use vanewharf_clock::Timestamp;
use vanewharf_config::configuration::Config;
use vanewharf_protocol::messages::{FleetSummary, TokenCounts, TokenLeaseReport};
use vanewharf_quota::{InitialFill, Quota, TokenBuckets};

/// Holds this controller's part of each tenant's quota.
pub struct TokenLender {
    buckets: TokenBuckets,
    /// Identifies this start of the process: counts of leased tokens begin at 0 with it.
    incarnation: u64,
}

impl TokenLender {
    /// `allowance` is what the rules allow beyond a quota, in requests; at the first start of all the buckets are full.
    pub fn new(allowance: f64, initial_start: bool, incarnation: u64, now: Timestamp) -> TokenLender {
        TokenLender {
            buckets: TokenBuckets::new(allowance, InitialFill::at_start(initial_start), now),
            incarnation,
        }
    }

    /// Leases as many tokens as there are. Tenants that the configuration does not know get none, and no entry. `None` while
    /// no configuration is known, as after the loss of the disk: nothing is said of any tenant then.
    pub fn lease(
        &mut self,
        requested: TokenCounts,
        config: Option<&Config>,
        now: Timestamp,
    ) -> Option<TokenCounts> {
        let config = config?;
        let mut leased = TokenCounts::new();
        for (tenant, count) in requested {
            if let Some(quota) = quota_of(config, &tenant) {
                let count = self.buckets.lease_tokens(&tenant, count, quota, now);
                leased.insert(tenant, count);
            }
        }
        Some(leased)
    }

    /// Divides quotas by the number of lenders that the summary names, if controllers lease tokens at all.
    pub fn apply_summary(&mut self, summary: &FleetSummary, config: Option<&Config>, now: Timestamp) {
        if let Some(lenders) = summary.token_lenders {
            let known = |tenant: &str| config.and_then(|config| quota_of(config, tenant));
            let quota = |tenant: &str| known(tenant).unwrap_or(Quota::UNLIMITED);
            self.buckets.apply_usage(lenders, &summary.tenants, quota, now);
        }
    }

    /// What was leased since the process started, by tenant, for the leaseholder's aggregation.
    pub fn report(&self, ip: IpAddr) -> TokenLeaseReport {
        let admitted = self.buckets.admitted_counts();
        let quota_shares = self.buckets.quota_shares();
        TokenLeaseReport { ip, incarnation: self.incarnation, admitted, quota_shares }
    }
}

/// A tenant's quota, where the configuration knows the tenant.
fn quota_of(config: &Config, tenant: &str) -> Option<Quota> {
    let customer = config.customers.as_ref()?.get(tenant)?;
    Some(Quota { rate: customer.rate_per_s, burst: customer.burst_allowance })
}

#[cfg(test)]
mod tests;
