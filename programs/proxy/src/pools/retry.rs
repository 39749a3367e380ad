//! Retry budgets: each service gets no more retries than a part of its requests, so that a failing service is not buried
//! under repeated attempts.

use std::collections::BTreeMap;
use std::rc::Rc;
use vanewharf_config::settings::LimitsTable;
use vanewharf_health::{RetryBudget, RetryPolicy};

/// This proxy's share of the retry budgets of all services.
pub(super) struct RetryBudgets {
    /// Retries for each request.
    ratio: f64,
    /// Retries of all proxies beyond that, once.
    allowance: f64,
    /// Whether a new budget is full. After a restart it is empty, as this proxy may have spent it just before.
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

    /// Fills the service's budget by what one request adds.
    pub(super) fn record_request(&mut self, service: &Rc<str>, proxy_count: f64) {
        let policy = self.policy(proxy_count);
        let start_full = self.start_full;
        let new_budget = || if start_full { RetryBudget::full(&policy) } else { RetryBudget::empty() };
        self.by_service.entry(Rc::clone(service)).or_insert_with(new_budget).record_request(&policy);
    }

    /// Spends one retry, where the service's budget has one.
    pub(super) fn try_spend(&mut self, service: &Rc<str>) -> bool {
        self.by_service.get_mut(service).is_some_and(RetryBudget::try_spend)
    }
}
