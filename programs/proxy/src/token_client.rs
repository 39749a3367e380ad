//! Leases quota tokens from the nearest controller. Tokens are leased if there are too many proxies for each of them to
//! hold a share of every quota.
//!
//! Queued requests are batched into one call. Each request is answered, even if no controller responds. A controller
//! that failed to respond is avoided for [`CONTROLLER_BACKOFF`].

use crate::update::{
    PrefetchedTokens, TOKEN_REQUEST_TIMEOUT, TokenAnswer, TokenGrants, TokenRequest, Update, WaitingAnswer,
};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use vanewharf_clock::Timestamp;
use vanewharf_config::settings::Settings;
use vanewharf_protocol::endpoints;
use vanewharf_protocol::messages::TokenCounts;
use vanewharf_rpc::{ClientPool, Publisher};
use vanewharf_runtime::environment::Environment;

/// The time for which a controller is avoided after it failed to respond.
const CONTROLLER_BACKOFF: Duration = Duration::from_secs(2);
/// The maximum number of token requests in one call.
const MAX_BATCH_REQUESTS: usize = 64;
/// The maximum number of controllers that are called for one batch, one after the other.
const MAX_CALLS_PER_BATCH: usize = 2;

/// Leases quota tokens from controllers.
pub struct TokenClient {
    publisher: Publisher,
    settings: Rc<Settings>,
    updates: mpsc::UnboundedSender<Update>,
    /// The clients of the controllers. A failed call that reaches its controller after the next call leases nothing.
    clients: ClientPool,
    /// The time at which each controller last failed to respond.
    failed_at: RefCell<BTreeMap<IpAddr, Timestamp>>,
}

/// The distance of a controller; a smaller value is nearer.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Distance {
    SameZone,
    SameRegion,
    OtherRegion,
}

/// Distributes leased tokens among the requests of a batch: first to waiting requests, then to prefetches. `leased` is
/// `None` if no controller responded.
fn distribute(batch: &[TokenRequest], mut leased: Option<TokenCounts>) -> TokenGrants {
    let mut take_tokens = |tenant: &Rc<str>, requested: u32| {
        let available = leased.as_mut()?.entry(tenant.to_string()).or_default();
        let taken = requested.min(*available);
        *available -= taken;
        Some(taken)
    };
    let mut grants = TokenGrants::default();
    for request in batch {
        let Some(txn) = request.waiting else {
            continue;
        };
        let answer = match take_tokens(&request.tenant, 1) {
            None => TokenAnswer::NoAnswer,
            Some(0) => TokenAnswer::Refused,
            Some(_) => TokenAnswer::Granted,
        };
        grants.waiting.push(WaitingAnswer { txn, answer });
    }
    for request in batch.iter().filter(|request| request.prefetch > 0) {
        let tokens = take_tokens(&request.tenant, request.prefetch).unwrap_or(0);
        grants.prefetched.push(PrefetchedTokens { tenant: Rc::clone(&request.tenant), tokens });
    }
    grants
}

impl TokenClient {
    /// Creates a client that sends the answers to `updates`.
    pub fn new(
        publisher: Publisher,
        settings: Rc<Settings>,
        environment: &Environment,
        updates: mpsc::UnboundedSender<Update>,
    ) -> TokenClient {
        let clients = ClientPool::new(&environment.network);
        TokenClient { publisher, settings, updates, clients, failed_at: RefCell::default() }
    }

    /// Serves requests until all their senders are dropped. Each batch runs in its own task, so that a slow controller
    /// does not delay later batches.
    pub async fn run(self: Rc<Self>, mut requests: mpsc::UnboundedReceiver<TokenRequest>) {
        let mut batch = Vec::new();
        while requests.recv_many(&mut batch, MAX_BATCH_REQUESTS).await > 0 {
            let (client, batch) = (Rc::clone(&self), std::mem::take(&mut batch));
            tokio::task::spawn_local(async move {
                let leased = client.lease(&batch).await;
                // Fails only during shutdown, when the receiver has been dropped.
                let _ = client.updates.send(Update::TokenGrants(distribute(&batch, leased)));
            });
        }
    }

    /// Leases the tokens for a batch. Returns `None` if no controller responded.
    async fn lease(&self, batch: &[TokenRequest]) -> Option<TokenCounts> {
        let mut requested = TokenCounts::new();
        for request in batch {
            let waiting = u32::from(request.waiting.is_some());
            *requested.entry(request.tenant.to_string()).or_default() += waiting + request.prefetch;
        }
        for _ in 0..MAX_CALLS_PER_BATCH {
            let ip = self.nearest_controller()?;
            let mut client = self.clients.client(self.settings.controller_address(ip));
            match client.call(endpoints::LEASE_TOKENS, &requested, TOKEN_REQUEST_TIMEOUT).await {
                Ok(leased) => return Some(leased),
                Err(_) => drop(self.failed_at.borrow_mut().insert(ip, self.publisher.now())),
            }
        }
        None
    }

    /// Returns this proxy's rank of a controller among those at the same distance; lower is preferred. The ranks differ
    /// between proxies, to spread their load.
    fn preference(&self, ip: IpAddr) -> u64 {
        let mut hasher = DefaultHasher::new();
        (&self.settings.name, ip).hash(&mut hasher);
        hasher.finish()
    }

    fn distance(&self, zone: &str) -> Distance {
        let settings = &self.settings;
        if zone == settings.zone {
            Distance::SameZone
        } else if settings.zones.get(zone) == Some(&settings.region) {
            Distance::SameRegion
        } else {
            Distance::OtherRegion
        }
    }

    /// Returns the nearest controller that has not failed to respond recently.
    fn nearest_controller(&self) -> Option<IpAddr> {
        let (now, store) = (self.publisher.now(), self.publisher.store());
        let failed_at = self.failed_at.borrow();
        let controllers = store.fleet_summary.as_ref()?.controllers.iter();
        let available = controllers.filter(|controller| {
            failed_at.get(&controller.ip).is_none_or(|failed_at| now.since(*failed_at) > CONTROLLER_BACKOFF)
        });
        let nearest = available
            .min_by_key(|controller| (self.distance(&controller.zone), self.preference(controller.ip)));
        nearest.map(|controller| controller.ip)
    }
}

#[cfg(test)]
mod tests;
