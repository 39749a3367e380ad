//! Retry budgets: retries to a service are limited to a fraction of its requests, so that retries do not overload a
//! failing service.

use std::collections::BTreeMap;
use std::rc::Rc;
use vanewharf_config::settings::LimitsTable;
use vanewharf_health::{RetryBudget, RetryPolicy};

/// This proxy's share of the retry budgets of all services.
pub(super) struct RetryBudgets {
    /// Retries allowed per request.
    ratio: f64,
    /// Retries of all proxies together that are allowed on top, as a burst.
    allowance: f64,
    /// Whether new budgets start full. After a restart they start empty, because this process's predecessor may have
    /// spent them.
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

    /// Adds what one request contributes to the service's budget.
    pub(super) fn record_request(&mut self, service: &Rc<str>, proxy_count: f64) {
        let policy = self.policy(proxy_count);
        let start_full = self.start_full;
        let new_budget = || if start_full { RetryBudget::full(&policy) } else { RetryBudget::empty() };
        self.by_service.entry(Rc::clone(service)).or_insert_with(new_budget).record_request(&policy);
    }

    /// Takes one retry from the service's budget; returns false if it has none.
    pub(super) fn try_spend(&mut self, service: &Rc<str>) -> bool {
        self.by_service.get_mut(service).is_some_and(RetryBudget::try_spend)
    }
}
