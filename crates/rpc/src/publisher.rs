//! The publisher of a process: it answers pulls, with long polling, and pulls newer versions from other processes.

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

/// The maximum delay of a response, regardless of the wait that the reader requests.
const MAX_LONG_POLL_WAIT: Duration = Duration::from_secs(2);
/// The time that a pull may take on the network, in addition to the wait that it requests.
const NETWORK_ALLOWANCE: Duration = Duration::from_millis(350);

/// The [`VersionStore`] of a process, which wakes pulls that wait for an update. Clones share the same store.
#[derive(Clone)]
pub struct Publisher {
    /// The clock of this process.
    pub clock: MonotonicClock,
    store: Rc<RefCell<VersionStore>>,
    /// Wakes the waiting pulls in the order of their arrival.
    updated: Rc<Notify>,
}

impl Publisher {
    /// Creates a publisher with an empty store.
    pub fn new(clock: MonotonicClock) -> Publisher {
        Publisher { clock, store: Rc::default(), updated: Rc::default() }
    }

    /// Returns the current time by the clock of this process.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Borrows the store for reading. The borrow must not be held across an await.
    pub fn store(&self) -> Ref<'_, VersionStore> {
        self.store.borrow()
    }

    /// Changes the store, and wakes the waiting pulls if `change` returns true.
    pub fn update(&self, change: impl FnOnce(&mut VersionStore) -> bool) {
        let has_changed = change(&mut self.store.borrow_mut());
        if has_changed {
            self.updated.notify_waiters();
        }
    }

    /// Returns the response to a pull as soon as any dataset is newer than the reader's, or the requested wait is over.
    ///
    /// # Cancel safety
    ///
    /// The future can be dropped at any time: it changes nothing.
    pub async fn respond(&self, request: &PullRequest) -> PullResponse {
        let received_at = self.now();
        let wait = Duration::from_millis(request.wait_ms).min(MAX_LONG_POLL_WAIT);
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
            // No update is missed: no other task runs between the check of the store and the first poll here.
            let _ = timeout_at(deadline, self.updated.notified()).await;
        }
    }

    /// Asks another process when its state was last attested to be the newest, without receiving any of that state.
    /// Returns `None` if there was no attestation. Also sends the given reports.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails.
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
        // The response is not applied to the store, as its attestation covers state that was not received.
        let response: PullResponse = source.call(endpoints::PULL, &request, NETWORK_ALLOWANCE).await?;
        Ok(response.attested_at(sent_at))
    }

    /// Pulls once from another process and applies every newer dataset.
    ///
    /// # Errors
    ///
    /// Returns an error, and changes nothing, if the call fails.
    pub async fn pull(
        &self,
        source: &mut RpcClient,
        request: &PullRequest,
    ) -> Result<AppliedUpdates, RpcError> {
        let sent_at = self.now();
        let inactivity_timeout = Duration::from_millis(request.wait_ms) + NETWORK_ALLOWANCE;
        let response: PullResponse = source.call(endpoints::PULL, request, inactivity_timeout).await?;
        let mut updates = AppliedUpdates::default();
        self.update(|store| {
            updates = store.apply(response, sent_at, self.clock.now());
            updates.any()
        });
        Ok(updates)
    }
}
