//! TokenCounts leased to proxies.

use crate::state::ControllerState;
use vanewharf_config::config::Config;
use vanewharf_protocol::messages::{TokenCounts, TokenLeaseReport};
use vanewharf_quota::{Quota, TokenBuckets};

pub struct TokenLender {
    pub buckets: TokenBuckets,
    pub life: u64,
}

/// A tenant's quota by a configuration that knows it.
fn quota_of(config: Option<&Config>, tenant: &str) -> Option<Quota> {
    let customer = config?.customers.as_ref()?.get(tenant)?;
    Some(Quota { rate: customer.rate_per_s, burst: customer.burst_allowance })
}

impl ControllerState {
    /// TokenCounts for a door; none of a tenant that no configuration in hand knows.
    pub fn lend(&self, wanted: TokenCounts) -> TokenCounts {
        let (mut lending, now) = (self.lending.borrow_mut(), self.feed.now());
        let config = self.replica.config();
        let lent = |(tenant, wanted): (String, u32)| {
            let quota = quota_of(config.as_deref(), &tenant)?;
            let lent = lending.buckets.lease_tokens(&tenant, wanted, quota, now);
            Some((tenant, lent))
        };
        wanted.into_iter().filter_map(lent).collect()
    }

    /// A new ledger tells how many lend, and how much.
    pub fn read_ledger(&self) {
        let ledger = self.feed.store().fleet_summary.clone();
        let (mut lending, now) = (self.lending.borrow_mut(), self.feed.now());
        let config = self.replica.config();
        let none = Quota { rate: 0.0, burst: 0.0 };
        let quota = |tenant: &str| quota_of(config.as_deref(), tenant).unwrap_or(none);
        ledger.iter().for_each(|ledger| self.replica.count(ledger.quota_divisor));
        if let Some((ledger, lenders)) =
            ledger.as_ref().and_then(|ledger| Some((ledger, ledger.token_lenders?)))
        {
            lending.buckets.apply_usage(lenders, &ledger.tenants, quota, now);
        }
    }

    pub fn lent(&self) -> TokenLeaseReport {
        let lending = self.lending.borrow();
        let (let_through, slices) = (lending.buckets.admitted_counts(), lending.buckets.slices());
        TokenLeaseReport {
            ip: self.row.ip,
            incarnation: lending.life,
            admitted: let_through,
            quota_shares: slices,
        }
    }
}
