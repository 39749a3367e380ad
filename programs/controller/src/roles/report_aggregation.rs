//! Aggregates the reports of all proxies into the fleet summary and publishes it.

use super::LEASE_CHECK_INTERVAL;
use crate::state::ControllerState;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;
use vanewharf_runtime::invariants::Invariant;

/// Delay before the first summary at the first start of the whole system. Proxies started together with the controllers have
/// reported by then.
const INITIAL_REPORT_DELAY: Duration = Duration::from_millis(1500);
/// Interval between summaries, about the interval over which proxies measure rates.
const SUMMARY_INTERVAL: Duration = Duration::from_millis(700);

/// Publishes summaries while this process holds the lease; never returns.
pub async fn aggregate_reports(state: Rc<ControllerState>) {
    let mut held_lease = false;
    // At the first start the token buckets are full, so quotas must not be divided by fewer proxies than there are.
    if state.settings.initial_start {
        sleep(INITIAL_REPORT_DELAY).await;
    }
    loop {
        let holds_lease = state.replica.holds_lease();
        if holds_lease && !held_lease {
            begin_aggregation(&state);
        }
        held_lease = holds_lease;
        let publishes = holds_lease && state.aggregator.borrow().is_ready(state.publisher.now());
        if publishes {
            publish_summary(&state);
        }
        // While no summary can be published yet, the short interval is used: all proxies wait for a new leaseholder's first
        // summary.
        sleep(if publishes { SUMMARY_INTERVAL } else { LEASE_CHECK_INTERVAL }).await;
    }
}

/// Starts the aggregation from the last summary that an earlier leaseholder published.
fn begin_aggregation(state: &ControllerState) {
    let now = state.publisher.now();
    let mut aggregator = state.aggregator.borrow_mut();
    aggregator.start_aggregating(state.replica.quota_divisor_at_election(), now);
    if let Some(summary) = &state.publisher.store().fleet_summary {
        aggregator.inherit_summary(summary, now);
    }
}

fn publish_summary(state: &ControllerState) {
    let now = state.publisher.now();
    let version = state.next_version(state.publisher.store().versions().fleet_summary);
    let summary = {
        let mut aggregator = state.aggregator.borrow_mut();
        aggregator.record_controller(state.entry.clone(), now);
        aggregator.record_lease_report(state.token_lease_report(), now);
        aggregator.summarize(version, state.settings.limits_table.rate_allowance, now)
    };
    state.publisher.update(|store| Invariant::PublishedIsNewer.check(store.set_fleet_summary(summary, now)));
    state.apply_fleet_summary();
}
