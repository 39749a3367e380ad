//! Attests that the published register is the newest that was acknowledged.
//!
//! While the lease lasts no other process acknowledges anything, so the leaseholder knows that its register is the newest.

use super::LEASE_CHECK_INTERVAL;
use crate::state::ControllerState;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

const ATTESTATION_INTERVAL: Duration = Duration::from_millis(80);

/// Attests freshness while this process holds the lease; never returns.
pub async fn attest_freshness(state: Rc<ControllerState>) {
    loop {
        // The clock is read before the lease is looked at: a process that is suspended in between must not attest a later
        // time than that at which it held the lease.
        let now = state.publisher.now();
        if state.replica.holds_lease() {
            state.publisher.update(|store| {
                store.attest(now);
                false
            });
        }
        sleep(if state.replica.holds_lease() { ATTESTATION_INTERVAL } else { LEASE_CHECK_INTERVAL }).await;
    }
}
