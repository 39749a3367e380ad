//! Leases quota tokens from the nearest controller, where proxies are too many for each to hold a slice of every quota.
//!
//! Requests that are queued together go out as one call. Each is answered, also where no controller answers. A
//! controller that failed is avoided for a while.

use crate::update::{TOKEN_REQUEST_TIMEOUT, TokenAnswer, TokenGrants, TokenRequest, Update};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use vanewharf_clock::Timestamp;
use vanewharf_config::settings::Settings;
use vanewharf_protocol::endpoints;
use vanewharf_protocol::messages::TokenCounts;
use vanewharf_rpc::Publisher;
use vanewharf_rpc::RpcClient;
use vanewharf_runtime::environment::Environment;

/// For how long a controller that did not answer is avoided.
const BACKOFF: Duration = Duration::from_secs(2);
/// Token requests in one call at most.
const MAX_BATCH: usize = 64;
/// Controllers that are called for one batch, one after the other.
const MAX_CALLS: usize = 2;

/// The client of the controllers' token leases.
pub struct TokenClient {
    feed: Publisher,
    settings: Rc<Settings>,
    environment: Environment,
    updates: mpsc::UnboundedSender<Update>,
    /// Connections between calls; a call that fails drops its own.
    idle_callers: RefCell<Vec<RpcClient>>,
    /// When each of them last failed to answer.
    failed_at: RefCell<BTreeMap<IpAddr, Timestamp>>,
}

/// Divides leased tokens among the requests of a batch: those that wait come first, prefetches get what is left.
/// `leased` is none where no controller answered.
fn distribute(batch: &[TokenRequest], mut leased: Option<TokenCounts>) -> TokenGrants {
    let mut draw = |tenant: &Rc<str>, wanted: u32| {
        let left = leased.as_mut()?.entry(tenant.to_string()).or_default();
        let drawn = wanted.min(*left);
        *left -= drawn;
        Some(drawn)
    };
    let mut grants = TokenGrants::default();
    for request in batch {
        let Some(txn) = request.waiting else {
            continue;
        };
        let answer = match draw(&request.tenant, 1) {
            None => TokenAnswer::NoAnswer,
            Some(0) => TokenAnswer::Refused,
            Some(_) => TokenAnswer::Granted,
        };
        grants.waiting.push((txn, answer));
    }
    for request in batch.iter().filter(|request| request.prefetch > 0) {
        let drawn = draw(&request.tenant, request.prefetch).unwrap_or(0);
        grants.prefetched.push((Rc::clone(&request.tenant), drawn));
    }
    grants
}

impl TokenClient {
    /// A client that sends answers to `updates`.
    pub fn new(
        feed: Publisher,
        settings: Rc<Settings>,
        environment: Environment,
        updates: mpsc::UnboundedSender<Update>,
    ) -> TokenClient {
        let (idle_callers, failed_at) = (RefCell::default(), RefCell::default());
        TokenClient { feed, settings, environment, updates, idle_callers, failed_at }
    }

    /// Serves requests until their senders are gone; each batch in a task of its own.
    pub async fn run(self: Rc<Self>, mut requests: mpsc::UnboundedReceiver<TokenRequest>) {
        let mut batch = Vec::new();
        while requests.recv_many(&mut batch, MAX_BATCH).await > 0 {
            let (client, batch) = (Rc::clone(&self), std::mem::take(&mut batch));
            tokio::task::spawn_local(async move {
                let leased = client.lease(&batch).await;
                // The receiver lives as long as the program.
                let _ = client.updates.send(Update::TokenGrants(distribute(&batch, leased)));
            });
        }
    }

    /// The tokens leased for a batch; none where nobody answered.
    async fn lease(&self, batch: &[TokenRequest]) -> Option<TokenCounts> {
        let mut wanted = TokenCounts::new();
        for request in batch {
            let waiting = u32::from(request.waiting.is_some());
            *wanted.entry(request.tenant.to_string()).or_default() += waiting + request.prefetch;
        }
        for _ in 0..MAX_CALLS {
            let ip = self.nearest_controller()?;
            let mut caller = self.caller(self.settings.controller_address(ip));
            match caller.call(endpoints::LEASE_TOKENS, &wanted, TOKEN_REQUEST_TIMEOUT).await {
                Ok(leased) => {
                    self.idle_callers.borrow_mut().push(caller);
                    return Some(leased);
                }
                Err(_) => drop(self.failed_at.borrow_mut().insert(ip, self.feed.now())),
            }
        }
        None
    }

    /// An idle connection to that address, or a new one.
    fn caller(&self, address: SocketAddr) -> RpcClient {
        let mut idle = self.idle_callers.borrow_mut();
        let position = idle.iter().position(|caller| caller.address == address);
        match position {
            Some(position) => idle.swap_remove(position),
            None => RpcClient::new(address, &self.environment.network),
        }
    }

    /// Of those that are equally near, each proxy has an order of its own, so that none is every proxy's first.
    fn preference(&self, ip: IpAddr) -> u64 {
        let mut hasher = DefaultHasher::new();
        (&self.settings.name, ip).hash(&mut hasher);
        hasher.finish()
    }

    /// The nearest controller that is not avoided: in this zone, else in this region, else anywhere.
    fn nearest_controller(&self) -> Option<IpAddr> {
        let (now, store) = (self.feed.now(), self.feed.store());
        let failed_at = self.failed_at.borrow();
        let settings = &self.settings;
        let controllers = store.fleet_summary.as_ref()?.controllers.iter();
        let available =
            controllers.filter(|row| failed_at.get(&row.ip).is_none_or(|at| now.since(*at) > BACKOFF));
        let distance =
            |zone: &String| (*zone != settings.zone, settings.zones.get(zone) != Some(&settings.region));
        available.min_by_key(|row| (distance(&row.zone), self.preference(row.ip))).map(|row| row.ip)
    }
}

#[cfg(test)]
mod tests;
