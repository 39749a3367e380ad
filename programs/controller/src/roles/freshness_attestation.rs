//! Attests that the published register is the newest acknowledged one.
//!
//! While this process holds the lease no other process acknowledges orders, so its register is the newest.

use super::LEASE_CHECK_INTERVAL;
use crate::state::ControllerState;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

const ATTESTATION_INTERVAL: Duration = Duration::from_millis(80);

/// Attests freshness while this process holds the lease; never returns.
pub async fn attest_freshness(state: Rc<ControllerState>) {
    loop {
        // The clock must be read before the lease is checked. In the other order a process that is suspended in between
        // would attest a time at which it may no longer have held the lease.
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
