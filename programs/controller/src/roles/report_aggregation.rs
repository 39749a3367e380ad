//! Aggregates proxies' reports.

use super::ALERT;
use crate::state::ControllerState;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// By then all that start together have been heard.
const GATHERED: Duration = Duration::from_millis(1500);
/// About a meter period.
const SUMMED: Duration = Duration::from_millis(700);

impl ControllerState {
    pub async fn sum(self: Rc<Self>) {
        let mut held = false;
        // Timestamp the first start of all, buckets are full: nobody may divide by fewer than there are.
        if self.settings.initial_start {
            sleep(GATHERED).await;
        }
        loop {
            let holds = self.replica.holds();
            if holds && !std::mem::replace(&mut held, holds) {
                let (now, before) = (self.feed.now(), self.feed.store().fleet_summary.clone());
                self.sums.borrow_mut().start_aggregating(self.replica.doors(), now);
                before.iter().for_each(|ledger| self.sums.borrow_mut().inherit_summary(ledger, now));
            }
            held = holds;
            let ready = self.sums.borrow().is_ready(self.feed.now());
            if holds && ready {
                let (now, last) = (self.feed.now(), self.feed.store().versions().fleet_summary);
                let allowance = self.settings.limits_table.rate_allowance;
                let mut sums = self.sums.borrow_mut();
                sums.record_controller(self.row.clone(), now);
                sums.record_lease_report(self.lent(), now);
                let ledger = sums.summarize(self.version(last), allowance, now);
                drop(sums);
                self.feed.update(|store| store.set_fleet_summary(ledger, now));
                self.read_ledger();
            }
            // A new holder is waited for by all doors.
            sleep(if holds && ready { SUMMED } else { ALERT }).await;
        }
    }
}
