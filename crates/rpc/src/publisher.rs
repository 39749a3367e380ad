//! A process' store, those who wait for something new in it, and the loop that pulls from others.

use crate::call::{RpcClient, RpcError};
use std::cell::{Ref, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::timeout_at;
use vanewharf_clock::{MonotonicClock, Timestamp};
use vanewharf_protocol::endpoints;
use vanewharf_protocol::messages::{PullRequest, PullResponse};
use vanewharf_protocol::version_store::{AppliedUpdates, RegisterForm, VersionStore};

/// The longest that an answer is held back.
const LONGEST: Duration = Duration::from_secs(2);
/// Beyond what an answer may be held back for.
const ON_THE_WAY: Duration = Duration::from_millis(350);

#[derive(Clone)]
pub struct Publisher {
    pub clock: MonotonicClock,
    store: Rc<RefCell<VersionStore>>,
    /// Whoever waits is woken in the order in which they came.
    changed: Rc<Notify>,
}

impl Publisher {
    pub fn new(clock: MonotonicClock) -> Publisher {
        Publisher { clock, store: Rc::default(), changed: Rc::default() }
    }

    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    pub fn store(&self) -> Ref<'_, VersionStore> {
        self.store.borrow()
    }

    /// Whoever waits is woken where the change says so.
    pub fn update(&self, change: impl FnOnce(&mut VersionStore) -> bool) {
        let changed = change(&mut self.store.borrow_mut());
        if changed {
            self.changed.notify_waiters();
        }
    }

    /// The answer to a pull, as soon as there is something new or the reader would wait no longer.
    pub async fn respond(&self, pull: &PullRequest) -> PullResponse {
        let begun = self.now();
        let until = self.clock.instant(begun.after(Duration::from_millis(pull.wait_ms).min(LONGEST)));
        loop {
            let now = self.now();
            if self.store().is_newer_than(&pull.versions) || self.clock.instant(now) >= until {
                // A postmaster keeps the register as it was sent.
                let form =
                    if pull.follower.is_some() { RegisterForm::Verbatim } else { RegisterForm::Incremental };
                return self.store().response_to(&pull.versions, form, now.since(begun), now);
            }
            // Nothing else runs between the look at the store and the first poll here.
            let _ = timeout_at(until, self.changed.notified()).await;
        }
    }

    /// One pull: what was new.
    pub async fn pull(&self, from: &mut RpcClient, pull: &PullRequest) -> Result<AppliedUpdates, RpcError> {
        let (asked, wait) = (self.now(), Duration::from_millis(pull.wait_ms));
        let within = wait + ON_THE_WAY;
        let mail: PullResponse = from.post(endpoints::PULL, pull, within).await?;
        let mut news = AppliedUpdates::default();
        self.update(|store| {
            news = store.apply(mail, asked, self.clock.now());
            news.any()
        });
        Ok(news)
    }
}
