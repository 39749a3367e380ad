//! Tokens borrowed from the nearest postmaster, where doors are too many to hold a slice of each quota: asks that wait are
//! sent together, and each is answered, also where no postmaster answers.

use crate::news::{Ask, LENT_WITHIN, Loans, News};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use vanewharf_clock::Timestamp;
use vanewharf_config::settings::Settings;
use vanewharf_protocol::messages::TokenCounts;
use vanewharf_rpc::Publisher;
use vanewharf_rpc::RpcClient;
use vanewharf_runtime::environment::Environment;

/// A postmaster that did not answer is not asked for so long.
const SPARED: Duration = Duration::from_secs(2);
const MOST_AT_ONCE: usize = 64;

pub struct Lending {
    pub feed: Publisher,
    pub settings: Rc<Settings>,
    premises: Environment,
    pub news: mpsc::UnboundedSender<News>,
    callers: RefCell<Vec<RpcClient>>,
    spared: RefCell<BTreeMap<IpAddr, Timestamp>>,
}

/// Requests that wait come first; what is left is for the lots.
fn shared_out(asks: &[Ask], mut given: Option<TokenCounts>) -> Loans {
    let mut loans = Loans::default();
    let mut take = |tenant: &Rc<str>, most: u32| {
        let left = given.as_mut()?.entry(tenant.to_string()).or_default();
        let taken = most.min(*left);
        *left -= taken;
        Some(taken)
    };
    for ask in asks {
        let lent = ask.txn.map(|txn| (txn, take(&ask.tenant, 1).map(|taken| taken > 0)));
        loans.asked.extend(lent);
    }
    for ask in asks.iter().filter(|ask| ask.more > 0) {
        loans.ahead.push((Rc::clone(&ask.tenant), take(&ask.tenant, ask.more).unwrap_or(0)));
    }
    loans
}

impl Lending {
    pub fn new(
        feed: Publisher,
        settings: Rc<Settings>,
        premises: Environment,
        news: mpsc::UnboundedSender<News>,
    ) -> Lending {
        Lending { feed, settings, premises, news, callers: RefCell::default(), spared: RefCell::default() }
    }

    pub async fn run(self: Rc<Self>, mut asks: mpsc::UnboundedReceiver<Ask>) {
        let mut batch = Vec::new();
        while asks.recv_many(&mut batch, MOST_AT_ONCE).await > 0 {
            let (lending, batch) = (Rc::clone(&self), std::mem::take(&mut batch));
            tokio::task::spawn_local(async move {
                let given = lending.borrow(&batch).await;
                // Route ends with the program only.
                let _ = lending.news.send(News::Lent(shared_out(&batch, given)));
            });
        }
    }

    /// What was lent; nothing where nobody answered.
    async fn borrow(&self, asks: &[Ask]) -> Option<TokenCounts> {
        let mut wanted = TokenCounts::new();
        for ask in asks {
            *wanted.entry(ask.tenant.to_string()).or_default() += u32::from(ask.txn.is_some()) + ask.more;
        }
        for _ in 0..2 {
            let ip = self.nearest()?;
            let address = self.settings.controller_address(ip);
            let kept = {
                let mut callers = self.callers.borrow_mut();
                callers.iter().position(|caller| caller.address == address).map(|at| callers.swap_remove(at))
            };
            let mut caller = kept.unwrap_or_else(|| RpcClient::new(address, &self.premises.network));
            match caller.post("/lend", &wanted, LENT_WITHIN).await {
                Ok(given) => {
                    self.callers.borrow_mut().push(caller);
                    return Some(given);
                }
                Err(_) => drop(self.spared.borrow_mut().insert(ip, self.feed.now())),
            }
        }
        None
    }

    fn order(&self, ip: IpAddr) -> u64 {
        let mut hasher = DefaultHasher::new();
        (&self.settings.name, ip).hash(&mut hasher);
        hasher.finish()
    }

    fn nearest(&self) -> Option<IpAddr> {
        let (now, store) = (self.feed.now(), self.feed.store());
        let spared = self.spared.borrow();
        let settings = &self.settings;
        let rows = store.fleet_summary.as_ref()?.controllers.iter();
        let open = rows.filter(|row| spared.get(&row.ip).is_none_or(|at| now.since(*at) > SPARED));
        let far =
            |zone: &String| (*zone != settings.zone, settings.zones.get(zone) != Some(&settings.region));
        // Of those that are equally near, each door has its own order, so that none is everybody's first.
        open.min_by_key(|row| (far(&row.zone), self.order(row.ip))).map(|row| row.ip)
    }
}

#[cfg(test)]
mod tests;
