//! The link to the sorter on this machine: pulls what is new, and reports what was let through.

use crate::gate::Posted;
use crate::news::{News, Told};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::sleep;
use vanewharf_protocol::messages::{ProxyEntry, ProxyReport, PullRequest};
use vanewharf_rpc::Publisher;
use vanewharf_rpc::RpcClient;

const WAIT: Duration = Duration::from_millis(300);
const PAUSE: Duration = Duration::from_millis(50);

pub struct Link {
    pub feed: Publisher,
    pub sorter: RpcClient,
    pub row: ProxyEntry,
    pub life: u64,
    pub posted: Rc<Posted>,
    pub told: Rc<Told>,
    pub news: mpsc::UnboundedSender<News>,
}

impl Link {
    /// Whether this door may be named to clients.
    pub fn ready(posted: &Posted, told: &Told, feed: &Publisher) -> bool {
        let known = posted.tables.borrow().is_some()
            && feed.store().backend_list.is_some()
            && feed.store().fleet_summary.is_some();
        known && !told.ending.get() && !posted.lapsed()
    }

    pub async fn run(mut self) {
        loop {
            let ready = Link::ready(&self.posted, &self.told, &self.feed);
            let report = ProxyReport {
                proxy: ProxyEntry { ready, ..self.row.clone() },
                incarnation: self.life,
                age_ms: 0,
                quota_divisor: self
                    .feed
                    .store()
                    .fleet_summary
                    .as_ref()
                    .map_or(0, |ledger| ledger.quota_divisor),
                admitted: self.told.let_through.borrow().clone(),
                quota_shares: self.told.slices.borrow().clone(),
                hosts: self.told.hosts.borrow().clone(),
                attempts: self.told.tried.borrow().clone(),
            };
            let wait_ms = WAIT.as_millis() as u64;
            let pull = PullRequest {
                versions: self.feed.store().versions(),
                wait_ms,
                follower: None,
                token_leases: None,
                reports: vec![report],
            };
            match self.feed.pull(&mut self.sorter, &pull).await {
                Ok(fresh) => {
                    let store = self.feed.store();
                    self.posted.sure.set(store.attested_at);
                    let register = store.register.clone().filter(|_| fresh.register).map(News::Register);
                    let list = store.backend_list.clone().filter(|_| fresh.backend_list);
                    let list = list.map(|list| News::List(list, store.backend_list_taken_at));
                    let ledger =
                        store.fleet_summary.clone().filter(|_| fresh.fleet_summary).map(News::Ledger);
                    // Route ends with the program only.
                    for news in [register, list, ledger].into_iter().flatten() {
                        let _ = self.news.send(news);
                    }
                }
                Err(failed) => {
                    spdlog::debug!("nothing from the sorter: {}", failed);
                    sleep(PAUSE).await;
                }
            }
        }
    }
}
