//! Leases rate-limit tokens to proxies.
//!
//! If there are too many proxies for each to hold a share of a tenant's quota, the controllers hold the shares, and proxies
//! lease tokens from them. Every controller leases tokens, whether or not it is the leaseholder.

use std::net::IpAddr;
use vanewharf_clock::Timestamp;
use vanewharf_config::configuration::Config;
use vanewharf_protocol::messages::{FleetSummary, TokenCounts, TokenLeaseReport};
use vanewharf_quota::{InitialFill, Quota, TokenBuckets};

/// Holds this controller's share of each tenant's quota.
pub struct TokenLender {
    buckets: TokenBuckets,
    /// Identifies this run of the process. The counts of leased tokens start at 0 in each run.
    incarnation: u64,
}

impl TokenLender {
    /// Creates a lender. `allowance` is the number of requests beyond the quotas that the whole system may admit. At the
    /// first start of the whole system the token buckets are full.
    pub fn new(allowance: f64, initial_start: bool, incarnation: u64, now: Timestamp) -> TokenLender {
        TokenLender {
            buckets: TokenBuckets::new(allowance, InitialFill::at_start(initial_start), now),
            incarnation,
        }
    }

    /// Leases up to the requested number of tokens per tenant, as far as they are available. Tenants that are not in the
    /// configuration get no entry in the result. Returns `None` while no configuration is known, for example after the loss
    /// of the disk, since nothing can then be said about any tenant.
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

    /// Divides the quotas by the number of token lenders in the summary, if controllers lease tokens at all.
    pub fn apply_summary(&mut self, summary: &FleetSummary, config: Option<&Config>, now: Timestamp) {
        if let Some(lenders) = summary.token_lenders {
            let known = |tenant: &str| config.and_then(|config| quota_of(config, tenant));
            let quota = |tenant: &str| known(tenant).unwrap_or(Quota::UNLIMITED);
            self.buckets.apply_usage(lenders, &summary.tenants, quota, now);
        }
    }

    /// Reports the tokens leased per tenant since the process started, for aggregation by the leaseholder.
    pub fn report(&self, ip: IpAddr) -> TokenLeaseReport {
        let admitted = self.buckets.admitted_counts();
        let quota_shares = self.buckets.quota_shares();
        TokenLeaseReport { ip, incarnation: self.incarnation, admitted, quota_shares }
    }
}

/// Returns a tenant's quota, or `None` if the tenant is not in the configuration.
fn quota_of(config: &Config, tenant: &str) -> Option<Quota> {
    let customer = config.customers.as_ref()?.get(tenant)?;
    Some(Quota { rate: customer.rate_per_s, burst: customer.burst_allowance })
}

#[cfg(test)]
mod tests;
