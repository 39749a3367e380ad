//! Attests freshness.

use super::ALERT;
use crate::state::ControllerState;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

const ATTESTED: Duration = Duration::from_millis(80);

impl ControllerState {
    /// While the lease lasts nobody else acknowledges anything.
    pub async fn attest(self: Rc<Self>) {
        loop {
            // Read before the lease is looked at: a process that stands still in between attests nothing of
            // later.
            let now = self.feed.now();
            if self.replica.holds() {
                self.feed.update(|store| {
                    store.attest(now);
                    false
                });
            }
            sleep(if self.replica.holds() { ATTESTED } else { ALERT }).await;
        }
    }
}
