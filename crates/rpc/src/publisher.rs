//! The versions that a process has, those who wait for something newer, and the pull from another process.

use crate::client::RpcClient;
use crate::error::RpcError;
use std::cell::{Ref, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::timeout_at;
use vanewharf_clock::{MonotonicClock, Timestamp};
use vanewharf_protocol::endpoints;
use vanewharf_protocol::messages::{ProxyReport, PullRequest, PullResponse, VersionVector};
use vanewharf_protocol::version_store::{AppliedUpdates, RegisterForm, VersionStore};

/// The longest that a response is delayed, whatever wait is requested.
const MAX_WAIT: Duration = Duration::from_secs(2);
/// For the network, in addition to the wait that a pull requests.
const NETWORK_ALLOWANCE: Duration = Duration::from_millis(350);

/// A process' [`VersionStore`] with those who wait for an update of it. Clones share both.
#[derive(Clone)]
pub struct Publisher {
    /// The process' clock.
    pub clock: MonotonicClock,
    store: Rc<RefCell<VersionStore>>,
    /// Wakes waiting responses in the order in which their requests came.
    updated: Rc<Notify>,
}

impl Publisher {
    /// One with an empty store.
    pub fn new(clock: MonotonicClock) -> Publisher {
        Publisher { clock, store: Rc::default(), updated: Rc::default() }
    }

    /// The present instant by the process' clock.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// The store, to read from; the borrow must not be held across an await.
    pub fn store(&self) -> Ref<'_, VersionStore> {
        self.store.borrow()
    }

    /// Changes the store, and wakes waiting responses where `change` returns true.
    pub fn update(&self, change: impl FnOnce(&mut VersionStore) -> bool) {
        let has_changed = change(&mut self.store.borrow_mut());
        if has_changed {
            self.updated.notify_waiters();
        }
    }

    /// The response to a pull, as soon as there is something newer or the request's wait is over.
    ///
    /// # Cancel safety
    ///
    /// The future changes nothing.
    pub async fn respond(&self, request: &PullRequest) -> PullResponse {
        let received_at = self.now();
        let wait = Duration::from_millis(request.wait_ms).min(MAX_WAIT);
        let deadline = self.clock.instant(received_at.after(wait));
        loop {
            let now = self.now();
            if self.store().is_newer_than(&request.versions) || self.clock.instant(now) >= deadline {
                let form = match &request.follower {
                    Some(_) => RegisterForm::Verbatim,
                    None => RegisterForm::Incremental,
                };
                return self.store().response_to(&request.versions, form, now.since(received_at), now);
            }
            // No update is missed: nothing else runs between the look at the store and the first poll here.
            let _ = timeout_at(deadline, self.updated.notified()).await;
        }
    }

    /// Asks another process how new what it has is, without any of it: when that was attested to be the newest, or `None`
    /// where it never was. Brings it these reports.
    ///
    /// # Errors
    ///
    /// Where the call fails.
    pub async fn probe(
        &self,
        source: &mut RpcClient,
        reports: Vec<ProxyReport>,
    ) -> Result<Option<Timestamp>, RpcError> {
        let sent_at = self.now();
        let request = PullRequest {
            versions: VersionVector::HIGHEST,
            wait_ms: 0,
            follower: None,
            token_leases: None,
            reports,
        };
        // Not applied: the attestation is of what the source has, which is not received.
        let response: PullResponse = source.call(endpoints::PULL, &request, NETWORK_ALLOWANCE).await?;
        Ok(response.attested_at(sent_at))
    }

    /// Pulls once and applies what is newer.
    ///
    /// # Errors
    ///
    /// Where the call fails; nothing has changed then.
    pub async fn pull(
        &self,
        source: &mut RpcClient,
        request: &PullRequest,
    ) -> Result<AppliedUpdates, RpcError> {
        let sent_at = self.now();
        let within = Duration::from_millis(request.wait_ms) + NETWORK_ALLOWANCE;
        let response: PullResponse = source.call(endpoints::PULL, request, within).await?;
        let mut updates = AppliedUpdates::default();
        self.update(|store| {
            updates = store.apply(response, sent_at, self.clock.now());
            updates.any()
        });
        Ok(updates)
    }
}
