//! Retry budgets. The retries to a service are limited to a fraction of its requests, so that they do not overload a
//! failing service.

use std::collections::BTreeMap;
use std::rc::Rc;
use vanewharf_config::settings::LimitsTable;
use vanewharf_health::{RetryBudget, RetryPolicy};

/// This proxy's share of the retry budgets of all services.
pub(super) struct RetryBudgets {
    /// The number of retries allowed per request.
    ratio: f64,
    /// The number of additional retries that all proxies together may send in a burst.
    allowance: f64,
    /// Whether new budgets start full. After a restart they start empty, because the previous process may just
    /// have spent them.
    start_full: bool,
    pub(super) by_service: BTreeMap<Rc<str>, RetryBudget>,
}

impl RetryBudgets {
    pub(super) fn new(limits: &LimitsTable, initial_start: bool) -> RetryBudgets {
        RetryBudgets {
            ratio: limits.retry_ratio,
            allowance: limits.retry_allowance,
            start_full: initial_start,
            by_service: BTreeMap::new(),
        }
    }

    fn policy(&self, proxy_count: f64) -> RetryPolicy {
        RetryPolicy { ratio: self.ratio, allowance: self.allowance, proxies: proxy_count }
    }

    /// Adds the contribution of one request to the service's budget.
    pub(super) fn record_request(&mut self, service: &Rc<str>, proxy_count: f64) {
        let policy = self.policy(proxy_count);
        let start_full = self.start_full;
        let new_budget = || if start_full { RetryBudget::full(&policy) } else { RetryBudget::empty() };
        self.by_service.entry(Rc::clone(service)).or_insert_with(new_budget).record_request(&policy);
    }

    /// Spends one retry of the service's budget. Returns false if none is left.
    pub(super) fn try_spend(&mut self, service: &Rc<str>) -> bool {
        self.by_service.get_mut(service).is_some_and(RetryBudget::try_spend)
    }
}
